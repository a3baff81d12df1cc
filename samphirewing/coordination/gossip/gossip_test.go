package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against news that is lost with one message, and against entries that are
// sent for ever.
func TestNewsIsRepeatedThenOnlyRefreshed(t *testing.T) {
	var p Pending
	assert.Assert(t, !p.Take(false) && p.Take(true))
	p.Renew()
	for range sendsOfNews {
		assert.Assert(t, p.Take(false))
	}
	assert.Assert(t, !p.Take(false))

	var r Refresh
	now := time.Unix(1000, 0)
	assert.Assert(t, r.Due(now) && !r.Due(now.Add(refreshInterval/2)) && r.Due(now.Add(refreshInterval)))
}
