package daemon

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Settings is the configuration given to a daemon at its start.
type Settings struct {
	InstanceID    instance.ID
	FailureDomain instance.FailureDomain
	Region        instance.Region

	// Listen addresses are IP:port. The advertised addresses, which others
	// connect to, default to the listen addresses.
	CallerListen      string
	CallerAdvertise   string
	MeshListen        string
	MeshAdvertise     string
	OperatorListen    string
	OperatorAdvertise string

	LogURL         string
	ListURL        string
	WeightStoreURL string

	// Operators are the names and SHA-256 token hashes of operators.
	Operators []OperatorCredential

	CallerTLS   TLSSettings
	MeshTLS     TLSSettings
	OperatorTLS TLSSettings

	// MaxHeld is the maximum number of requests that the entry holds.
	MaxHeld int
	// MaxConnections is the maximum number of connections from callers.
	MaxConnections int
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MemoryBytes is the memory that the process may use; zero if it is not known.
	MemoryBytes int64
	// MaxBodies, MaxBodiesPerPeer, MinBodyRate and UnreadTimeout bound what is held
	// for callers; see httplimit.Limits. Zero selects the defaults.
	MaxBodies        int
	MaxBodiesPerPeer int
	MinBodyRate      int64
	UnreadTimeout    time.Duration
	// DefaultDeadline applies to requests for which neither the caller nor the
	// tier sets a deadline.
	DefaultDeadline time.Duration
	// ReconnectGrace is how long a request continues after its last connection
	// has closed.
	ReconnectGrace time.Duration
	// AnswerKeep and AnswerKeepBytes bound the finished answers that are retained
	// for callers that reconnect.
	AnswerKeep      time.Duration
	AnswerKeepBytes int
	// EntriesKeepFor is how long callers may cache the entry list.
	EntriesKeepFor time.Duration
	// DrainGrace is the time beyond EntriesKeepFor for which a stopping daemon
	// accepts new requests.
	DrainGrace time.Duration
	// BookingWindow is the age up to which booking keys are deduplicated; it
	// must be well below the log's retention.
	BookingWindow time.Duration
	// ClockSlack is the maximum difference between the clocks of callers and of
	// the log service. A booking key issued within ClockSlack after the start of
	// the log is rejected.
	ClockSlack time.Duration
	// JournalPartitions is the number of booking key partitions; it must be the
	// same on every daemon.
	JournalPartitions int

	Trace TraceSettings
}

// OperatorCredential is an operator's name and the SHA-256 hash of its token in
// lower-case hexadecimal.
type OperatorCredential struct {
	Name      string
	TokenHash string
}

// TLSSettings gives certificates and keys as PEM text or as "file:" and a path.
// Files are read again by ReloadKeys. If all are empty, the listener uses plain
// TCP.
type TLSSettings struct {
	Certificate string
	Key         string
	// ClientCA is the authority that must have signed the peers' certificates.
	ClientCA string
}

// Enabled reports whether any field is set.
func (t TLSSettings) Enabled() bool { return t.Certificate != "" || t.Key != "" || t.ClientCA != "" }

// TraceSettings selects the exporter of traces: off, stdout or otlp.
type TraceSettings struct {
	Exporter string
	Endpoint string
	// SampleRatio is the share of new traces that are sampled, from 0 to 1.
	SampleRatio float64
}

// Default values of settings.
const (
	DefaultMaxHeld           = 20_000
	DefaultMaxConnections    = 16_384
	DefaultMaxBodyBytes      = 1 << 20
	DefaultDeadline          = 2 * time.Minute
	DefaultReconnectGrace    = 5 * time.Second
	DefaultAnswerKeep        = time.Minute
	DefaultAnswerKeepBytes   = 64 << 20
	DefaultEntriesKeepFor    = 10 * time.Second
	DefaultDrainGrace        = 2 * time.Second
	DefaultBookingWindow     = time.Hour
	DefaultClockSlack        = 5 * time.Second
	DefaultJournalPartitions = 4
	tokenHashHexDigits       = 64
)

// SettingError describes an invalid setting.
type SettingError struct {
	// Setting is the flag's name without leading dashes.
	Setting string
	Detail  string
	Remedy  string
}

// Error returns the flag, its environment variable, the detail and the remedy.
func (e SettingError) Error() string {
	return fmt.Sprintf("--%s (%s): %s; %s", e.Setting, EnvName(e.Setting), e.Detail, e.Remedy)
}

// EnvName returns the environment variable that corresponds to a flag.
func EnvName(flag string) string {
	return "SAMPHIREWING_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// SettingErrors lists all invalid settings.
type SettingErrors []SettingError

// Error returns one line per invalid setting.
func (e SettingErrors) Error() string {
	lines := make([]string, len(e))
	for i, settingErr := range e {
		lines[i] = settingErr.Error()
	}
	return strings.Join(lines, "\n")
}

// Check returns all invalid settings as SettingErrors, or nil.
func (s Settings) Check() error {
	var errs SettingErrors
	errs = append(errs, s.checkIdentity()...)
	errs = append(errs, s.checkAddresses()...)
	errs = append(errs, s.checkPlatform()...)
	errs = append(errs, s.checkOperators()...)
	errs = append(errs, s.checkBounds()...)
	errs = append(errs, checkTLS("caller", s.CallerTLS, false)...)
	errs = append(errs, checkTLS("mesh", s.MeshTLS, true)...)
	errs = append(errs, checkTLS("operator", s.OperatorTLS, false)...)
	errs = append(errs, s.Trace.check()...)
	if len(errs) == 0 {
		return nil
	}
	return errs
}

func (s Settings) checkIdentity() []SettingError {
	var errs []SettingError
	if s.InstanceID == "" {
		errs = append(errs, SettingError{"instance-id", "is empty", "give each daemon a name of its own"})
	}
	if s.FailureDomain == "" {
		errs = append(errs, SettingError{"failure-domain", "is empty", "name the failure domain that the daemon runs in"})
	}
	return errs
}

func (s Settings) checkAddresses() []SettingError {
	type address struct {
		setting  string
		value    string
		optional bool
	}
	addresses := []address{
		{"caller-listen", s.CallerListen, false},
		{"mesh-listen", s.MeshListen, false},
		{"operator-listen", s.OperatorListen, false},
		{"caller-advertise", s.CallerAdvertise, true},
		{"mesh-advertise", s.MeshAdvertise, true},
		{"operator-advertise", s.OperatorAdvertise, true},
	}
	var errs []SettingError
	for _, a := range addresses {
		if a.value == "" && a.optional {
			continue
		}
		if err := checkAddress(a.setting, a.value); err != nil {
			errs = append(errs, *err)
		}
	}
	return errs
}

func checkAddress(setting, value string) *SettingError {
	const remedy = "give an IP address and a port, such as 127.0.0.1:7001"
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return &SettingError{setting, fmt.Sprintf("%q is not an address", value), remedy}
	}
	if net.ParseIP(host) == nil {
		return &SettingError{setting, fmt.Sprintf("%q is not an IP address", host), remedy}
	}
	return nil
}

func (s Settings) checkPlatform() []SettingError {
	var errs []SettingError
	errs = append(errs, checkURL("log-url", s.LogURL, true)...)
	errs = append(errs, checkURL("list-url", s.ListURL, true)...)
	errs = append(errs, checkURL("weight-store-url", s.WeightStoreURL, false)...)
	return errs
}

func checkURL(setting, value string, required bool) []SettingError {
	if value == "" && !required {
		return nil
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return []SettingError{{setting, fmt.Sprintf("%q is not an http address", value), "give the service's address, such as http://127.0.0.1:7100"}}
	}
	return nil
}

func (s Settings) checkOperators() []SettingError {
	const remedy = "give name=hash, the hash being the token's SHA-256 in lower-case hexadecimal"
	if len(s.Operators) == 0 {
		return []SettingError{{"operators", "is empty", remedy}}
	}
	var errs []SettingError
	for i, o := range s.Operators {
		if o.Name == "" || len(o.TokenHash) != tokenHashHexDigits || strings.Trim(o.TokenHash, "0123456789abcdef") != "" {
			errs = append(errs, SettingError{"operators", fmt.Sprintf("entry %d is malformed", i+1), remedy})
		}
	}
	return errs
}

func (s Settings) checkBounds() []SettingError {
	var errs []SettingError
	requirePositive := func(setting string, ok bool, remedy string) {
		if !ok {
			errs = append(errs, SettingError{setting, "must be larger than zero", remedy})
		}
	}
	requirePositive("max-held", s.MaxHeld > 0, "give the most requests that this entry may hold")
	requirePositive("max-connections", s.MaxConnections > 0, "give the most connections of callers")
	requirePositive("max-body-bytes", s.MaxBodyBytes > 0, "give the largest request body in bytes")
	requirePositive("default-deadline", s.DefaultDeadline > 0, "give a duration, such as 2m")
	requirePositive("answer-keep", s.AnswerKeep > 0, "give a duration, such as 1m")
	requirePositive("answer-keep-bytes", s.AnswerKeepBytes > 0, "give a size in bytes")
	requirePositive("entries-keep-for", s.EntriesKeepFor > 0, "give a duration, such as 10s")
	requirePositive("booking-window", s.BookingWindow > 0, "give a duration well under the log's retention, such as 1h")
	requirePositive("clock-slack", s.ClockSlack > 0, "give a duration, such as 5s")
	requirePositive("journal-partitions", s.JournalPartitions > 0, "give the same number on every daemon")
	requireNotNegative := func(setting string, value int64) {
		if value < 0 {
			errs = append(errs, SettingError{setting, "is negative", "give zero for the default, or a number above it"})
		}
	}
	requireNotNegative("memory-bytes", s.MemoryBytes)
	requireNotNegative("max-bodies", int64(s.MaxBodies))
	requireNotNegative("max-bodies-per-peer", int64(s.MaxBodiesPerPeer))
	requireNotNegative("min-body-rate", s.MinBodyRate)
	requireNotNegative("unread-timeout", int64(s.UnreadTimeout))
	if s.ReconnectGrace < 0 {
		errs = append(errs, SettingError{"reconnect-grace", "is negative", "give zero or a duration, such as 5s"})
	}
	if s.DrainGrace < 0 {
		errs = append(errs, SettingError{"drain-grace", "is negative", "give zero or a duration, such as 2s"})
	}
	return errs
}

func checkTLS(listener string, t TLSSettings, mutual bool) []SettingError {
	if !t.Enabled() {
		return nil
	}
	var errs []SettingError
	require := func(part, value string) {
		if value == "" {
			errs = append(errs, SettingError{
				listener + "-tls-" + part, "is empty while another TLS setting of this listener is set",
				"give PEM text or file: and a path, or unset them all",
			})
		}
	}
	require("certificate", t.Certificate)
	require("key", t.Key)
	if mutual {
		require("ca", t.ClientCA)
	}
	return errs
}

func (t TraceSettings) check() []SettingError {
	var errs []SettingError
	switch t.Exporter {
	case "", "off", "stdout":
	case "otlp":
		errs = append(errs, checkURL("trace-endpoint", t.Endpoint, true)...)
	default:
		errs = append(errs, SettingError{"trace-exporter", fmt.Sprintf("%q is not known", t.Exporter), "use off, stdout or otlp"})
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		errs = append(errs, SettingError{"trace-sample-ratio", "is outside 0 to 1", "give a share, such as 0.01"})
	}
	return errs
}
