package platform

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/rollout"
)

// Guards against orders that can't be read and are taken for others.
func TestDecodeOrder(t *testing.T) {
	order, err := decodeOrder("rollout/chat", []byte(`{"Service":"chat","Target":"v2","DurationS":40.5,"New":1}`))
	assert.NilError(t, err)
	assert.Equal(t, order, rollout.Order{Service: "chat", Target: "v2", Duration: 40500 * time.Millisecond})
	for _, text := range []string{
		`{"Service":"other","Target":"v2","DurationS":40}`, `{"Service":"chat","DurationS":40}`, `{"Service":"chat","Target":"v2"}`,
		`{"Service":"chat","Target":"v2","DurationS":-1}`, `{"Service":"chat","Target":"v2","DurationS":1e300}`, `{"Service":"chat","Target":2}`, `[]`, ``,
	} {
		_, err := decodeOrder("rollout/chat", []byte(text))
		assert.Assert(t, err != nil, "%s", text)
	}
}

func FuzzDecodeOrder(f *testing.F) {
	f.Add([]byte(`{"Service":"chat","Target":"v2","DurationS":40}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if order, err := decodeOrder("rollout/chat", text); err == nil && (order.Duration <= 0 || order.Target == "") {
			t.Fatalf("%+v", order)
		}
	})
}

// Guards against bounds of the settings that are not used, and against missing ones
// that forbid or allow everything.
func TestRolloutBoundsOfSettings(t *testing.T) {
	s, err := parseSettings([]byte(settingsText))
	assert.NilError(t, err)
	assert.Equal(t, s.Rollout, rollout.Settings{OrdersUnexpected: true})
	s, err = parseSettings([]byte(strings.Replace(settingsText, "Bounds: {", "Bounds: {ExposureShare: 0.2, ExposureTolerance: 7, RollbackMs: 2500, ", 1)))
	assert.NilError(t, err)
	assert.Equal(t, s.Rollout, rollout.Settings{ExposureShare: 0.2, ExposureTolerance: 7, RollbackTime: 2500 * time.Millisecond})
}

// Guards against odd statuses of other writers that end the daemon.
func TestOddStatusesAreIgnored(t *testing.T) {
	logged := &countingSink{}
	r := &statusReader{events: logged}
	r.applyAll([]keyedRecord{
		{Key: "rollout/chat", Value: []byte(`{"State":"paused","Target":"v2"}`)}, {Key: "rollout/chat", Value: []byte(`[1`)},
		{Key: "rollout/chat"}, {Key: "other", Value: []byte(`{"State":"completed","Target":"v2"}`)},
	})
	assert.Equal(t, logged.emitted, 2)
}

type countingSink struct{ emitted int }

func (s *countingSink) Emit(events.Event, ...events.Field) { s.emitted++ }
