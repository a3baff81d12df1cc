package endpointlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/peers"
)

// Guards against daemons that stop one after the other, as in a rolling restart, and
// each take the whole limit of an endpoint while all of them still serve.
func TestLimitIsNotExceededWhileAllDaemonsLeave(t *testing.T) {
	const (
		daemons  = 4
		limit    = 10.0
		interval = 50 * time.Millisecond
		gap      = time.Second
		grace    = 8 * time.Second
	)
	tables, known := fleet(daemons), make([]*peers.Table, daemons)
	ids := make([]instance.ID, daemons)
	for i := range ids {
		ids[i] = instance.ID(fmt.Sprint("daemon-", i))
		known[i] = peers.New(ids[i])
		tables[i].Observe(start, endpoint, limit)
	}
	for i, table := range known {
		for j, id := range ids {
			if j != i {
				table.Put(start, peers.Record{Instance: id, Incarnation: 1, PeerAddress: "10.0.0.1:1"})
			}
		}
	}
	leavesAt := func(i int) time.Time { return start.Add(time.Duration(i+1) * gap) }
	for now := start; now.Before(leavesAt(0).Add(grace)); now = now.Add(interval) {
		sum := 0.0
		for i, table := range known {
			for j, id := range ids {
				if j != i {
					table.Observe(now, instance.Process{ID: id, Incarnation: 1}, peers.State{Ready: now.Before(leavesAt(j)), Leaving: !now.Before(leavesAt(j))})
				}
			}
			tables[i].SetMembers(ids[i], table.Serving(now))
			sum += tables[i].Share(endpoint)
		}
		assert.Assert(t, sum <= limit+1e-6, "%v after the start the daemons may send %v requests a second", now.Sub(start), sum)
	}
}
