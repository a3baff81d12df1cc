package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewing/samphirewing/language/shell"
)

// Run executes the command line of the operators' tool and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("samphirewing", "Operators' tool of the samphirewing request scheduler.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	demoCmd := addDemo(app)
	loadCmd := addLoad(app)
	experimentCmd := addExperiment(app)
	soakCmd := addSoak(app)
	doCmd := addDo(app)
	applyCmd := addApply(app)
	shellCmd := addShell(app)
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	switch selected {
	case "demo":
		return demoCmd.run(stdout, stderr)
	case "load":
		return loadCmd.run(stdout, stderr)
	case "experiment":
		return experimentCmd.run(stdout, stderr)
	case "soak":
		return soakCmd.run(stdout, stderr)
	case "do":
		return doCmd.run(stdout, stderr, func(o shell.Options) int { return shell.Execute(o, doCmd.text) })
	case "apply":
		return applyCmd.run(stdout, stderr, func(o shell.Options) int { return shell.ApplyFile(o, applyCmd.path) })
	case "shell":
		return shellCmd.run(stdout, stderr, shell.Run)
	default:
		fmt.Fprintf(stderr, "command %q is not known; see --help\n", selected)
		return ExitSettings
	}
}
