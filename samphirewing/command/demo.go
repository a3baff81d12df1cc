package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/demo"
)

type demoCommand struct {
	deployment string
	daemons    int
	logFormat  string
	logLevel   string
	output     string
}

func addDemo(app *kingpin.Application) *demoCommand {
	c := &demoCommand{}
	cmd := app.Command("demo", "Run a whole system in this process on loopback until interrupted.")
	cmd.Flag("deployment", "Which system: gemelo, parapluie, or platform for stand-ins of the users' platform.").Default(demo.Gemelo).Envar(daemon.EnvName("demo-deployment")).StringVar(&c.deployment)
	cmd.Flag("daemons", "How many daemons.").Default(itoa(demo.DefaultDaemons)).Envar(daemon.EnvName("demo-daemons")).IntVar(&c.daemons)
	cmd.Flag("output", "How addresses are printed: table or json.").Default(outputTable).EnumVar(&c.output, outputTable, outputJSON)
	cmd.Flag("log-format", "Log format: logfmt or json.").Default("logfmt").Envar(daemon.EnvName("log-format")).StringVar(&c.logFormat)
	cmd.Flag("log-level", "Least level logged.").Default("warn").Envar(daemon.EnvName("log-level")).StringVar(&c.logLevel)
	return c
}

func (c *demoCommand) printGuide(s *demo.System, w io.Writer) error {
	if c.output == outputJSON {
		return s.WriteJSON(w)
	}
	s.WriteGuide(w)
	return nil
}

func (c *demoCommand) run(stdout, stderr io.Writer) int {
	logger, err := newLogger(c.logFormat, c.logLevel, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.deployment == demo.Platform {
		return c.runPlatform(ctx, logger, stdout, stderr)
	}
	system, err := demo.Start(ctx, demo.Options{Deployment: c.deployment, Daemons: c.daemons, Log: logger})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	defer system.Close()
	if err := c.printGuide(system, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	<-ctx.Done()
	return ExitOK
}

func (c *demoCommand) runPlatform(ctx context.Context, logger log.Interface, stdout, stderr io.Writer) int {
	system, err := demo.StartPlatform(c.daemons, events.Logger{Log: logger})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	defer system.Close()
	system.WriteGuide(stdout)
	<-ctx.Done()
	return ExitOK
}
