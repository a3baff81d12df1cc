package daemon

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Settings are everything that a daemon learns from outside at its start.
type Settings struct {
	InstanceID    instance.ID
	FailureDomain instance.FailureDomain
	Region        instance.Region

	// The listen addresses are IP:port; the advertised ones are what others
	// connect to, and equal the listen addresses when empty.
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

	// MaxHeld is the most requests that the entry holds at a time.
	MaxHeld int
	// MaxConnections is the most connections of callers.
	MaxConnections int
	// MaxBodyBytes bounds one request body.
	MaxBodyBytes int64
	// DefaultDeadline is used when a caller names none.
	DefaultDeadline time.Duration
	// ReconnectGrace is how long a request goes on without a connection.
	ReconnectGrace time.Duration
	// AnswerKeep and AnswerKeepBytes bound the ended answers kept for callers
	// that come back.
	AnswerKeep      time.Duration
	AnswerKeepBytes int
	// EntriesKeepFor is how long callers may keep the entry list.
	EntriesKeepFor time.Duration
	// DrainGrace is waited beyond EntriesKeepFor before a stopping daemon
	// refuses new requests.
	DrainGrace time.Duration
	// BookingWindow is the age up to which booking keys are deduplicated; it
	// must stay well under the log's retention.
	BookingWindow time.Duration
	// ClockSlack is how far the clocks of callers and of the log service may
	// be apart; a booking key made within it after the log began is refused.
	ClockSlack time.Duration
	// JournalPartitions is the number of booking key partitions, alike on
	// every daemon.
	JournalPartitions int

	Trace TraceSettings
}

// OperatorCredential is one operator's name and the SHA-256 of its token in
// lower-case hexadecimal.
type OperatorCredential struct {
	Name      string
	TokenHash string
}

// TLSSettings hold PEM text, or "file:" and a path that is read again on a
// reload. All empty means plain TCP.
type TLSSettings struct {
	Certificate string
	Key         string
	// ClientCA is the authority that peers' certificates must be signed by.
	ClientCA string
}

// Enabled tells whether any part is set.
func (t TLSSettings) Enabled() bool { return t.Certificate != "" || t.Key != "" || t.ClientCA != "" }

// TraceSettings choose the exporter of traces: off, stdout or otlp.
type TraceSettings struct {
	Exporter string
	Endpoint string
	// SampleRatio is the share of new traces that are kept, 0 to 1.
	SampleRatio float64
}

// The defaults of settings that have one.
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
	hashHexDigits            = 64
)

// SettingFault is one thing wrong with one setting.
type SettingFault struct {
	// Setting is the flag's name without dashes.
	Setting string
	Detail  string
	Remedy  string
}

// Error returns the flag, its environment variable, the fault and the remedy.
func (f SettingFault) Error() string {
	return fmt.Sprintf("--%s (%s): %s; %s", f.Setting, EnvName(f.Setting), f.Detail, f.Remedy)
}

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return "SAMPHIREWING_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// SettingFaults lists all faults of a set of settings.
type SettingFaults []SettingFault

// Error returns one fault a line.
func (f SettingFaults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Check returns SettingFaults with every fault at once, or nil.
func (s Settings) Check() error {
	var faults SettingFaults
	faults = append(faults, s.checkIdentity()...)
	faults = append(faults, s.checkAddresses()...)
	faults = append(faults, s.checkPlatform()...)
	faults = append(faults, s.checkOperators()...)
	faults = append(faults, s.checkBounds()...)
	faults = append(faults, checkTLS("caller", s.CallerTLS, false)...)
	faults = append(faults, checkTLS("mesh", s.MeshTLS, true)...)
	faults = append(faults, checkTLS("operator", s.OperatorTLS, false)...)
	faults = append(faults, s.Trace.check()...)
	if len(faults) == 0 {
		return nil
	}
	return faults
}

func (s Settings) checkIdentity() []SettingFault {
	var faults []SettingFault
	if s.InstanceID == "" {
		faults = append(faults, SettingFault{"instance-id", "is empty", "give each daemon a name of its own"})
	}
	if s.FailureDomain == "" {
		faults = append(faults, SettingFault{"failure-domain", "is empty", "name the failure domain that the daemon runs in"})
	}
	return faults
}

func (s Settings) checkAddresses() []SettingFault {
	type address struct {
		setting string
		value   string
		empty   bool
	}
	all := []address{
		{"caller-listen", s.CallerListen, false},
		{"mesh-listen", s.MeshListen, false},
		{"operator-listen", s.OperatorListen, false},
		{"caller-advertise", s.CallerAdvertise, true},
		{"mesh-advertise", s.MeshAdvertise, true},
		{"operator-advertise", s.OperatorAdvertise, true},
	}
	var faults []SettingFault
	for _, a := range all {
		if a.value == "" && a.empty {
			continue
		}
		if fault := checkAddress(a.setting, a.value); fault != nil {
			faults = append(faults, *fault)
		}
	}
	return faults
}

func checkAddress(setting, value string) *SettingFault {
	const remedy = "give an IP address and a port, such as 127.0.0.1:7001"
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return &SettingFault{setting, fmt.Sprintf("%q is not an address", value), remedy}
	}
	if net.ParseIP(host) == nil {
		return &SettingFault{setting, fmt.Sprintf("%q is not an IP address", host), remedy}
	}
	return nil
}

func (s Settings) checkPlatform() []SettingFault {
	var faults []SettingFault
	faults = append(faults, checkURL("log-url", s.LogURL, true)...)
	faults = append(faults, checkURL("list-url", s.ListURL, true)...)
	faults = append(faults, checkURL("weight-store-url", s.WeightStoreURL, false)...)
	return faults
}

func checkURL(setting, value string, required bool) []SettingFault {
	if value == "" && !required {
		return nil
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return []SettingFault{{setting, fmt.Sprintf("%q is not an http address", value), "give the service's address, such as http://127.0.0.1:7100"}}
	}
	return nil
}

func (s Settings) checkOperators() []SettingFault {
	const remedy = "give name=hash, the hash being the token's SHA-256 in lower-case hexadecimal"
	if len(s.Operators) == 0 {
		return []SettingFault{{"operators", "is empty", remedy}}
	}
	var faults []SettingFault
	for i, o := range s.Operators {
		if o.Name == "" || len(o.TokenHash) != hashHexDigits || strings.Trim(o.TokenHash, "0123456789abcdef") != "" {
			faults = append(faults, SettingFault{"operators", fmt.Sprintf("entry %d is malformed", i+1), remedy})
		}
	}
	return faults
}

func (s Settings) checkBounds() []SettingFault {
	var faults []SettingFault
	positive := func(setting string, ok bool, remedy string) {
		if !ok {
			faults = append(faults, SettingFault{setting, "must be larger than zero", remedy})
		}
	}
	positive("max-held", s.MaxHeld > 0, "give the most requests that this entry may hold")
	positive("max-connections", s.MaxConnections > 0, "give the most connections of callers")
	positive("max-body-bytes", s.MaxBodyBytes > 0, "give the largest request body in bytes")
	positive("default-deadline", s.DefaultDeadline > 0, "give a duration, such as 2m")
	positive("answer-keep", s.AnswerKeep > 0, "give a duration, such as 1m")
	positive("answer-keep-bytes", s.AnswerKeepBytes > 0, "give a size in bytes")
	positive("entries-keep-for", s.EntriesKeepFor > 0, "give a duration, such as 10s")
	positive("booking-window", s.BookingWindow > 0, "give a duration well under the log's retention, such as 1h")
	positive("clock-slack", s.ClockSlack > 0, "give a duration, such as 5s")
	positive("journal-partitions", s.JournalPartitions > 0, "give the same number on every daemon")
	if s.ReconnectGrace < 0 {
		faults = append(faults, SettingFault{"reconnect-grace", "is negative", "give zero or a duration, such as 5s"})
	}
	if s.DrainGrace < 0 {
		faults = append(faults, SettingFault{"drain-grace", "is negative", "give zero or a duration, such as 2s"})
	}
	return faults
}

func checkTLS(listener string, t TLSSettings, mutual bool) []SettingFault {
	if !t.Enabled() {
		return nil
	}
	var faults []SettingFault
	require := func(part, value string) {
		if value == "" {
			faults = append(faults, SettingFault{
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
	return faults
}

func (t TraceSettings) check() []SettingFault {
	var faults []SettingFault
	switch t.Exporter {
	case "", "off", "stdout":
	case "otlp":
		faults = append(faults, checkURL("trace-endpoint", t.Endpoint, true)...)
	default:
		faults = append(faults, SettingFault{"trace-exporter", fmt.Sprintf("%q is not known", t.Exporter), "use off, stdout or otlp"})
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		faults = append(faults, SettingFault{"trace-sample-ratio", "is outside 0 to 1", "give a share, such as 0.01"})
	}
	return faults
}
