package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/load"
)

// Output formats of reports.
const (
	outputTable = "table"
	outputJSON  = "json"
)

type loadCommand struct {
	options  load.Options
	rate     float64
	duration time.Duration
	seed     uint64
	output   string
}

func addLoad(app *kingpin.Application) *loadCommand {
	c := &loadCommand{}
	cmd := app.Command("load", "Send requests to a running system and check every answer. Example: samphirewing load --entry 127.0.0.1:7001 --file examples/gemelo.jsonl")
	o := &c.options
	cmd.Flag("entry", "Address of any entry; give several for safety.").Required().Envar(daemon.EnvName("entry")).StringsVar(&o.Entries)
	cmd.Flag("file", "File of requests, one JSON object a line.").Required().StringVar(&o.File)
	cmd.Flag("concurrency", "Requests open at a time without --rate.").Default("16").IntVar(&o.Concurrency)
	cmd.Flag("rate", "Mean requests a second, drawn from the file; 0 sends the file once.").Float64Var(&c.rate)
	cmd.Flag("duration", "How long to send with --rate.").Default("30s").DurationVar(&c.duration)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&c.seed)
	cmd.Flag("stand-ins", "Address of the demo's stand-in directory, to check dispatch counts.").StringVar(&o.StandIns)
	cmd.Flag("output", "Report format: table or json.").Default(outputTable).EnumVar(&c.output, outputTable, outputJSON)
	return c
}

func (c *loadCommand) run(stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.rate > 0 {
		c.options.Arrivals = load.Arrivals{Rate: c.rate, Duration: c.duration, Seed: c.seed}
	}
	c.options.Progress = stderr
	report, err := load.Run(ctx, c.options)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if err := writeReport(report, c.output, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if !report.Clean() {
		return ExitFailed
	}
	return ExitOK
}

// reportWriter is a report that can be written as a table or as JSON.
type reportWriter interface {
	WriteTable(w io.Writer) error
	WriteJSON(w io.Writer) error
}

func writeReport(r reportWriter, format string, w io.Writer) error {
	if format == outputJSON {
		return r.WriteJSON(w)
	}
	return r.WriteTable(w)
}
