package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/platform"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

// platformCommand is the first argument that selects a daemon on the platform.
const platformCommand = "platform"

const (
	// maxBufferedLogLines is the maximum number of log lines buffered for a slow
	// reader of the output.
	maxBufferedLogLines = 4096
	// logFlushTimeout bounds the flush of buffered log lines and spans at exit.
	logFlushTimeout = 200 * time.Millisecond
	// settingsCheckInterval is the interval at which the settings file's
	// modification time is checked, since it may change without a signal.
	settingsCheckInterval = 2 * time.Second
)

// platformFlags are the flags of samphirewingd platform.
type platformFlags struct {
	settingsPath, metricsPort, peerAdvertise, logLevel string

	trace  telemetry.TracingOptions
	limits httplimit.Limits

	trafficPrice float64
}

// runPlatform runs a daemon on the platform and returns its exit code.
func runPlatform(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("samphirewingd platform", "Request scheduler daemon on the platform.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	var f platformFlags
	app.Flag("settings", "Path of the platform's settings file.").Envar(platform.SettingsVariable).Required().StringVar(&f.settingsPath)
	flag(app, "metrics-port", "Port for metrics on the daemon's address; none when empty.").StringVar(&f.metricsPort)
	flag(app, "peer-advertise", "IP:port that peers are told to dial; the one listened on when empty.").StringVar(&f.peerAdvertise)
	flag(app, "max-connections", "Most connections of callers; from memory and descriptors when 0.").Default("0").IntVar(&f.limits.MaxConnections)
	clientLimits(app, &f.limits.MaxBodies, &f.limits.MaxBodiesPerPeer, &f.limits.MinBodyRate, &f.limits.UnreadTimeout, httplimit.DefaultUnreadTimeout)
	flag(app, "domain-traffic-price", "Milliseconds that a caller may rather wait than send a MiB to another failure domain.").Default("0").Float64Var(&f.trafficPrice)
	flag(app, "log-level", "Least level logged: debug, info, warn or error.").Default("info").StringVar(&f.logLevel)
	flag(app, "trace-exporter", "Where traces go: off, stdout or otlp.").Default("off").StringVar((*string)(&f.trace.Exporter))
	flag(app, "trace-endpoint", "Address of the OTLP collector.").StringVar(&f.trace.Endpoint)
	flag(app, "trace-sample-ratio", "Share of new traces kept, 0 to 1.").Default("0.01").Float64Var(&f.trace.SampleRatio)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	settings, err := platform.ReadSettings(f.settingsPath)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if f.trafficPrice < 0 {
		fmt.Fprintln(stderr, "--domain-traffic-price must be at least zero")
		return ExitSettings
	}
	settings.PeerAdvertise, settings.TrafficPriceMsPerMiB = f.peerAdvertise, f.trafficPrice
	output := telemetry.NewBoundedWriter(stdout, maxBufferedLogLines)
	defer output.Close(logFlushTimeout)
	logger, err := newLogger("json", f.logLevel, output)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	sink := events.Logger{Log: logger}
	return f.serve(settings, sink, stderr)
}

func (f *platformFlags) serve(settings platform.Settings, sink events.Sink, stderr io.Writer) int {
	f.trace.Events = sink
	f.trace.Self = instance.Process{ID: settings.Instance}
	stopTracing, tracer, err := telemetry.StartTracing(f.trace)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	// Signals received while the daemon starts are handled once it has started.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	d, err := platform.Start(platform.Options{Settings: settings, MetricsPort: f.metricsPort, Events: sink, Tracer: tracer, Limits: f.limits})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	supervisePlatform(d, f.settingsPath, signals, sink)
	ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	if err := stopTracing(ctx); err != nil {
		fmt.Fprintln(stderr, err)
	}
	return ExitOK
}

// supervisePlatform runs until SIGINT or SIGTERM. It reloads the settings on SIGHUP
// and when the file's modification time changes.
func supervisePlatform(d *platform.Daemon, path string, signals <-chan os.Signal, sink events.Sink) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	loaded := modTime(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				d.Stop()
				return
			}
			loaded = modTime(path)
			reloadPlatform(d, path, sink)
		case <-ticker.C:
			if current := modTime(path); !current.Equal(loaded) {
				loaded = current
				reloadPlatform(d, path, sink)
			}
		}
	}
}

// modTime returns the settings file's modification time, or zero if it can't be
// read; reading the settings logs that error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reloadPlatform(d *platform.Daemon, path string, sink events.Sink) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		sink.Emit(platform.EventSettingsFault, events.F("error", err))
		return
	}
	d.Reload(settings)
}
