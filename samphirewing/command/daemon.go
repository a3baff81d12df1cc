// Package command implements the command lines of the two binaries. Each command
// has a file that turns its flags and environment variables into options.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewing/samphirewing/daemon"
)

// Exit codes of both binaries.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
	// ExitInterrupted is the daemon's exit code when a second signal interrupts
	// running requests.
	ExitInterrupted = 3
)

// RunDaemon executes the command line of samphirewingd and returns its exit code.
func RunDaemon(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == platformCommand {
		return runPlatform(args[1:], stdout, stderr)
	}
	app := kingpin.New("samphirewingd", "Request scheduler daemon.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	flags := newDaemonFlags(app)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	settings, err := flags.settings()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	logger, err := newLogger(flags.logFormat, flags.logLevel, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	d, err := daemon.Start(context.Background(), settings, daemon.Dependencies{Logger: logger})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return superviseDaemon(d, stderr)
}

// superviseDaemon handles signals until the daemon stops: the first SIGINT or
// SIGTERM stops it gracefully, a second one exits immediately, and SIGHUP reloads
// keys.
func superviseDaemon(d *daemon.Daemon, stderr io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	stopped := make(chan error, 1)
	stopping := false
	for {
		select {
		case err := <-stopped:
			if err != nil {
				fmt.Fprintln(stderr, err)
				return ExitFailed
			}
			return ExitOK
		case <-d.Superseded():
			fmt.Fprintln(stderr, "another process runs with this instance id and a later start; give each daemon an id of its own")
			d.Kill()
			return ExitFailed
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				d.ReloadKeys()
			case stopping:
				fmt.Fprintf(stderr, "cut %d requests in progress\n", d.Held())
				return ExitInterrupted
			default:
				stopping = true
				go func() { stopped <- d.Stop(context.Background()) }()
			}
		}
	}
}
