package daemon

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func validSettings() Settings {
	return Settings{
		InstanceID: "a", FailureDomain: "d1",
		CallerListen: "127.0.0.1:0", MeshListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		LogURL: "http://127.0.0.1:1", ListURL: "http://127.0.0.1:2",
		Operators: []OperatorCredential{{Name: "ana", TokenHash: strings.Repeat("0", tokenHashHexDigits)}},
		MaxHeld:   DefaultMaxHeld, MaxConnections: DefaultMaxConnections, MaxBodyBytes: DefaultMaxBodyBytes, DefaultDeadline: DefaultDeadline,
		ReconnectGrace: DefaultReconnectGrace, AnswerKeep: DefaultAnswerKeep, AnswerKeepBytes: DefaultAnswerKeepBytes,
		EntriesKeepFor: DefaultEntriesKeepFor, DrainGrace: DefaultDrainGrace,
		BookingWindow: DefaultBookingWindow, ClockSlack: DefaultClockSlack, JournalPartitions: DefaultJournalPartitions,
	}
}

func TestCheckAcceptsValidSettings(t *testing.T) {
	assert.NilError(t, validSettings().Check())
}

func TestCheckReportsEveryInvalidSetting(t *testing.T) {
	err := Settings{MeshTLS: TLSSettings{Certificate: "x"}, Trace: TraceSettings{Exporter: "file", SampleRatio: 2}}.Check()
	errs, ok := err.(SettingErrors)
	assert.Assert(t, ok)
	for _, setting := range []string{
		"instance-id", "failure-domain", "caller-listen", "mesh-listen", "operator-listen", "log-url", "list-url",
		"operators", "max-held", "booking-window", "mesh-tls-key", "mesh-tls-ca", "trace-exporter", "trace-sample-ratio",
	} {
		assert.Assert(t, strings.Contains(err.Error(), "--"+setting+" ("), "no error for %s in:\n%s", setting, err)
	}
	for _, e := range errs {
		assert.Assert(t, e.Remedy != "", "%s has no remedy", e.Setting)
	}
}

func TestCheckRejectsHostNames(t *testing.T) {
	s := validSettings()
	s.CallerListen = "localhost:80"
	assert.ErrorContains(t, s.Check(), "--caller-listen (SAMPHIREWING_CALLER_LISTEN)")
}
