// Command samphirewing is the operators' tool: it sends statements and runs the
// demo, load, experiment and soak commands.
package main

import (
	"os"

	"github.com/samphirewing/samphirewing/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
