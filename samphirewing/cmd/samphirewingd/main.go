// Command samphirewingd is the scheduler daemon: entry, pool owner, journal writer
// and controller in one process.
package main

import (
	"os"

	"github.com/samphirewing/samphirewing/command"
)

func main() { os.Exit(command.RunDaemon(os.Args[1:], os.Stdout, os.Stderr)) }
