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

// A read that shows changes of others confirms as well that an endpoint is
// still missing.
func TestMissingEndpointIsGivenUpWhileOthersChange(t *testing.T) {
	const left = time.Second
	var usable []endpointset.Endpoint
	r := newEndpointReader(func(all []endpointset.Endpoint) { usable = all }, events.Discard{})
	r.changed([]keyedRecord{entryRecord("missing", 1)})
	r.set.RegistryLost()
	r.set.RegistryRestored(time.Now().Add(left - endpointset.ReturnGrace))
	r.changed([]keyedRecord{{Key: "missing", Offset: 2}})
	assert.Equal(t, len(usable), 1, "it has time to come back")
	time.Sleep(left + left/4)
	r.changed([]keyedRecord{entryRecord("other", 3)})
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, string(usable[0].Name), "other")
}
