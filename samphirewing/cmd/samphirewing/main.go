// Command samphirewing is the operators' tool: statements, demo, load and
// experiment.
package main

import (
	"os"

	"github.com/samphirewing/samphirewing/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
