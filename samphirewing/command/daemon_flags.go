package command

import (
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// daemonFlags are the flags of samphirewingd. Each can also be set by the
// environment variable that daemon.EnvName derives from its name.
type daemonFlags struct {
	instanceID, failureDomain, region string
	operators                         string
	logFormat, logLevel               string
	parsed                            daemon.Settings
}

func newDaemonFlags(app *kingpin.Application) *daemonFlags {
	f := &daemonFlags{}
	f.identity(app)
	f.addresses(app)
	f.limits(app)
	f.security(app)
	f.observability(app)
	return f
}

func flag(app *kingpin.Application, name, help string) *kingpin.FlagClause {
	return app.Flag(name, help).Envar(daemon.EnvName(name))
}

func (f *daemonFlags) identity(app *kingpin.Application) {
	flag(app, "instance-id", "Name of this daemon, unique in the system.").StringVar(&f.instanceID)
	flag(app, "failure-domain", "Failure domain that this daemon runs in.").StringVar(&f.failureDomain)
	flag(app, "region", "Region of the failure domain.").StringVar(&f.region)
}

func (f *daemonFlags) addresses(app *kingpin.Application) {
	s := &f.parsed
	flag(app, "caller-listen", "IP:port for callers.").StringVar(&s.CallerListen)
	flag(app, "caller-advertise", "IP:port that callers are told; the listen address when empty.").StringVar(&s.CallerAdvertise)
	flag(app, "mesh-listen", "IP:port for other daemons.").StringVar(&s.MeshListen)
	flag(app, "mesh-advertise", "IP:port that daemons are told; the listen address when empty.").StringVar(&s.MeshAdvertise)
	flag(app, "operator-listen", "IP:port for operators, metrics and profiles.").StringVar(&s.OperatorListen)
	flag(app, "operator-advertise", "IP:port that operators are told; the listen address when empty.").StringVar(&s.OperatorAdvertise)
	flag(app, "log-url", "Address of the platform's log service.").StringVar(&s.LogURL)
	flag(app, "list-url", "Address of the platform's membership list.").StringVar(&s.ListURL)
	flag(app, "weight-store-url", "Address of the weight store.").StringVar(&s.WeightStoreURL)
}

func (f *daemonFlags) limits(app *kingpin.Application) {
	s := &f.parsed
	duration := func(name, help string, value time.Duration, into *time.Duration) {
		flag(app, name, help).Default(value.String()).DurationVar(into)
	}
	flag(app, "max-held", "Most requests that this entry holds.").Default(itoa(daemon.DefaultMaxHeld)).IntVar(&s.MaxHeld)
	flag(app, "max-connections", "Most connections of callers.").Default(itoa(daemon.DefaultMaxConnections)).IntVar(&s.MaxConnections)
	flag(app, "memory-bytes", "Memory that the process may use; 0 when not known.").Default("0").Int64Var(&s.MemoryBytes)
	clientLimits(app, &s.MaxBodies, &s.MaxBodiesPerPeer, &s.MinBodyRate, &s.UnreadTimeout, callerapi.DefaultWriteTimeout)
	flag(app, "max-body-bytes", "Largest request body in bytes.").Default(itoa(daemon.DefaultMaxBodyBytes)).Int64Var(&s.MaxBodyBytes)
	duration("default-deadline", "Deadline of requests that name none.", daemon.DefaultDeadline, &s.DefaultDeadline)
	duration("reconnect-grace", "How long a request goes on without a connection.", daemon.DefaultReconnectGrace, &s.ReconnectGrace)
	duration("answer-keep", "How long ended answers are kept.", daemon.DefaultAnswerKeep, &s.AnswerKeep)
	flag(app, "answer-keep-bytes", "Most bytes of ended answers kept.").Default(itoa(daemon.DefaultAnswerKeepBytes)).IntVar(&s.AnswerKeepBytes)
	duration("entries-keep-for", "How long callers may keep the entry list.", daemon.DefaultEntriesKeepFor, &s.EntriesKeepFor)
	duration("drain-grace", "Added to entries-keep-for when stopping.", daemon.DefaultDrainGrace, &s.DrainGrace)
	duration("booking-window", "Age up to which booking keys are deduplicated.", daemon.DefaultBookingWindow, &s.BookingWindow)
	duration("clock-slack", "How far callers' clocks and the log's may be apart.", daemon.DefaultClockSlack, &s.ClockSlack)
	flag(app, "journal-partitions", "Booking key partitions, alike on every daemon.").Default(itoa(daemon.DefaultJournalPartitions)).IntVar(&s.JournalPartitions)
}

func (f *daemonFlags) security(app *kingpin.Application) {
	s := &f.parsed
	flag(app, "operators", "Operators as name=sha256,... with the hash of each token.").StringVar(&f.operators)
	tls := func(listener string, into *daemon.TLSSettings) {
		flag(app, listener+"-tls-certificate", "PEM text, or file: and a path.").StringVar(&into.Certificate)
		flag(app, listener+"-tls-key", "PEM text, or file: and a path.").StringVar(&into.Key)
		flag(app, listener+"-tls-ca", "PEM text, or file: and a path, of the authority for clients.").StringVar(&into.ClientCA)
	}
	tls("caller", &s.CallerTLS)
	tls("mesh", &s.MeshTLS)
	tls("operator", &s.OperatorTLS)
}

func (f *daemonFlags) observability(app *kingpin.Application) {
	s := &f.parsed
	flag(app, "log-format", "Log format: logfmt or json.").Default("logfmt").StringVar(&f.logFormat)
	flag(app, "log-level", "Least level logged: debug, info, warn or error.").Default("info").StringVar(&f.logLevel)
	flag(app, "trace-exporter", "Where traces go: off, stdout or otlp.").Default("off").StringVar(&s.Trace.Exporter)
	flag(app, "trace-endpoint", "Address of the OTLP collector.").StringVar(&s.Trace.Endpoint)
	flag(app, "trace-sample-ratio", "Share of new traces kept, 0 to 1.").Default("0.01").Float64Var(&s.Trace.SampleRatio)
}

// settings returns the validated settings, or an error that lists every fault.
func (f *daemonFlags) settings() (daemon.Settings, error) {
	s := f.parsed
	s.InstanceID = instance.ID(f.instanceID)
	s.FailureDomain = instance.FailureDomain(f.failureDomain)
	s.Region = instance.Region(f.region)
	s.Operators = parseOperators(f.operators)
	return s, s.Check()
}

func parseOperators(text string) []daemon.OperatorCredential {
	var credentials []daemon.OperatorCredential
	for _, field := range strings.Split(text, ",") {
		if field == "" {
			continue
		}
		name, hash, _ := strings.Cut(field, "=")
		credentials = append(credentials, daemon.OperatorCredential{Name: name, TokenHash: hash})
	}
	return credentials
}

func newLogger(format, level string, w io.Writer) (log.Interface, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("--log-level (%s): %q is not a level; use debug, info, warn or error", daemon.EnvName("log-level"), level)
	}
	logger := &log.Logger{Level: parsed}
	switch format {
	case "logfmt":
		logger.Handler = logfmt.New(w)
	case "json":
		logger.Handler = json.New(w)
	default:
		return nil, errors.Errorf("--log-format (%s): %q is not a format; use logfmt or json", daemon.EnvName("log-format"), format)
	}
	return logger, nil
}
