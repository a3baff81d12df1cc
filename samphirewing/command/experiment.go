package command

import (
	"fmt"
	"io"
	"runtime"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewing/samphirewing/experiment"
)

type experimentCommand struct {
	options experiment.Options
	output  string
	plots   string
}

func addExperiment(app *kingpin.Application) *experimentCommand {
	c := &experimentCommand{}
	cmd := app.Command("experiment", "Compare scheduling policies on seeded arrivals in virtual time. Example: samphirewing experiment --deployment parapluie --plots plots")
	o := &c.options
	cmd.Flag("deployment", "Which system: gemelo or parapluie.").Default(experiment.Gemelo).EnumVar(&o.Deployment, experiment.Gemelo, experiment.Parapluie)
	cmd.Flag("scenario", "Scenario to run; all when none is given.").StringsVar(&o.Scenarios)
	cmd.Flag("policy", "Policy to run; all when none is given.").StringsVar(&o.Policies)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("workers", "Runs at the same time; the report does not depend on it.").Default(itoa(max(1, runtime.NumCPU()/2))).IntVar(&o.Workers)
	cmd.Flag("plots", "Directory for PNG plots; none are written when empty.").StringVar(&c.plots)
	cmd.Flag("output", "Report format: table or json.").Default(outputTable).EnumVar(&c.output, outputTable, outputJSON)
	return c
}

func (c *experimentCommand) run(stdout, stderr io.Writer) int {
	c.options.Progress = func(done, all int, name string) {
		fmt.Fprintf(stderr, "%d/%d %s\n", done, all, name)
	}
	report, err := experiment.Run(c.options)
	if err == nil {
		err = writeReport(report, c.output, stdout)
	}
	if err == nil && c.plots != "" {
		err = report.WritePlots(c.plots)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}
