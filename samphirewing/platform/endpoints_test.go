package platform

import (
	"fmt"
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
