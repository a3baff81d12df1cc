package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/state/endpointset"
)

func entryRecord(name string, offset int64) keyedRecord {
	return keyedRecord{Key: name, Offset: offset, Value: []byte(fmt.Sprintf(`{"Service":"s","Address":"127.0.0.1:%d","State":"ready"}`, offset))}
}

// TestMissingEndpointExpiresWhileOthersChange checks that an endpoint missing
// from the registry is removed after its grace period even if the reads return
// only changes of other endpoints.
func TestMissingEndpointExpiresWhileOthersChange(t *testing.T) {
	const remaining = time.Second
	var usable []endpointset.Endpoint
	r := newEndpointReader(func(all []endpointset.Endpoint) { usable = all }, events.Discard{})
	r.applyChanges([]keyedRecord{entryRecord("missing", 1)})
	r.set.RegistryLost()
	r.set.RegistryRestored(time.Now().Add(remaining - endpointset.RelistGracePeriod))
	r.applyChanges([]keyedRecord{{Key: "missing", Offset: 2}})
	assert.Equal(t, len(usable), 1, "within its grace period")
	time.Sleep(remaining + remaining/4)
	r.applyChanges([]keyedRecord{entryRecord("other", 3)})
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, string(usable[0].Name), "other")
}

// Guards against odd entries of other writers that end the daemon, that are taken
// for endpoints, or after which later entries are no longer read.
func TestOddEntriesNameNoEndpoint(t *testing.T) {
	entry := func(field, value string) string {
		fields := map[string]string{"Service": `"s"`, "Address": `"127.0.0.1:80"`, "State": `"ready"`, "Slots": "4", "Sequence": "1", "born": "1"}
		fields[field] = value
		text := `{"Zone":"z"`
		for name, value := range fields {
			text += fmt.Sprintf(",%q:%s", name, value)
		}
		return text + "}"
	}
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	odd := []string{
		nested, strings.Repeat(`{"a":`, 50_000), entry("Models", nested), entry("Service", nested),
		entry("Address", `"127.0.0.1:65536"`), entry("Address", `"127.0.0.1:99999999999999999999"`), entry("Address", `"127.0.0.1:-1"`), entry("Address", `"127.0.0.1:0"`),
		entry("Address", `"127.0.0.1:http"`), entry("Address", `":80"`), entry("Address", `"127.0.0.1"`), entry("Address", `"nowhere:80"`),
	}
	for _, field := range []string{"Slots", "Sequence", "born"} {
		for _, value := range []string{"99999999999999999999", "9223372036854775807", "1e400", "-1", "1.5", `"1"`, "[]"} {
			odd = append(odd, entry(field, value))
		}
	}
	var usable []endpointset.Endpoint
	r := newEndpointReader(func(all []endpointset.Endpoint) { usable = all }, events.Discard{})
	for i, text := range odd {
		_, err := decodeEndpoint("odd", []byte(text))
		assert.Assert(t, err != nil, "%.200s", text)
		offset := int64(2 * i)
		r.applyChanges([]keyedRecord{{Key: "odd", Offset: offset, Value: []byte(text)}, {Key: fmt.Sprint("sound-", i), Offset: offset + 1, Value: []byte(entry("Zone", `"z"`))}})
		assert.Equal(t, len(usable), i+1)
	}
	assert.Assert(t, r.applyListing([]keyedRecord{{Key: "odd", Offset: 1000, Value: []byte(odd[0])}, entryRecord("sound", 1001)}, 1002))
	assert.Equal(t, len(usable), 1)
}

// Guards against a draining endpoint being used again because the store has
// executed one of its heartbeats late.
func TestLateHeartbeatDoesNotUndoDraining(t *testing.T) {
	record := func(state string, sequence int, offset int64) keyedRecord {
		return keyedRecord{Key: "leaving", Offset: offset, Value: []byte(fmt.Sprintf(`{"Service":"s","Address":"127.0.0.1:80","State":%q,"Sequence":%d,"born":7}`, state, sequence))}
	}
	var usable []endpointset.Endpoint
	r := newEndpointReader(func(all []endpointset.Endpoint) { usable = all }, events.Discard{})
	r.applyChanges([]keyedRecord{record("ready", 11, 1)})
	assert.Equal(t, len(usable), 1)
	r.applyChanges([]keyedRecord{record("draining", 15, 2)})
	r.applyChanges([]keyedRecord{record("ready", 12, 3)})
	assert.Equal(t, len(usable), 0, "in a change")
	assert.Assert(t, r.applyListing([]keyedRecord{record("ready", 12, 3)}, 4))
	assert.Equal(t, len(usable), 0, "in a listing")
	r.applyChanges([]keyedRecord{{Key: "leaving", Offset: 4}, record("ready", 13, 5)})
	assert.Equal(t, len(usable), 0, "after the removal")
}
