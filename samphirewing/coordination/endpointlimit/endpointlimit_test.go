package endpointlimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

var start = time.Unix(1000, 0)

const endpoint Key = 5

// fleet returns the tables of so many daemons that know each other.
func fleet(n int) []*Table {
	var ids []instance.ID
	for i := range n {
		ids = append(ids, instance.ID(fmt.Sprint("daemon-", i)))
	}
	tables := make([]*Table, n)
	for i := range tables {
		tables[i] = New(1)
		others := append(append([]instance.ID(nil), ids[:i]...), ids[i+1:]...)
		tables[i].SetMembers(ids[i], others)
	}
	return tables
}

// Guards against limits that many daemons together exceed or do not use, and
// against shares so small that their holders never send, or all at once.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for _, n := range []int{1, 4, 118, 400} {
		for _, limit := range []float64{0.1, 0.5, 1, 1.8, 6.4, 11, 117.5, 1000} {
			sum := 0.0
			for _, table := range fleet(n) {
				table.Observe(start, endpoint, limit)
				share := table.Share(endpoint)
				assert.Assert(t, share == 0 || share >= min(limit, minShare), "share %v of %v among %d", share, limit, n)
				sum += share
			}
			assert.Assert(t, math.Abs(sum-limit) < 1e-6, "the shares of %v among %d daemons add up to %v", limit, n, sum)
		}
	}
}

// Guards against different endpoints being left to the same daemons.
func TestEndpointsAreLeftToDifferentDaemons(t *testing.T) {
	used := 0
	for _, table := range fleet(20) {
		for key := range Key(100) {
			table.Observe(start, key, 1)
			if table.Share(key) > 0 {
				used++
				break
			}
		}
	}
	assert.Assert(t, used >= 18, "%d of 20 daemons", used)
}

// Guards against a limit that an old answer brings back, and one that is never
// lifted.
func TestNewestAnswerOfAnyDaemonDecides(t *testing.T) {
	tables := fleet(3)
	tables[0].Observe(start, endpoint, 4)
	exchangeAll(start.Add(50*time.Millisecond), tables)
	for _, table := range tables {
		assert.Equal(t, table.Limit(endpoint), 4.0)
	}
	old := tables[0].Outgoing(start.Add(2 * time.Second))
	assert.Assert(t, old != nil)
	tables[1].Observe(start.Add(2*time.Second+time.Millisecond), endpoint, Unlimited)
	assert.Equal(t, len(tables[1].Merge(start.Add(2*time.Second+20*time.Millisecond), old)), 0)
	exchangeAll(start.Add(2*time.Second+30*time.Millisecond), tables)
	for _, table := range tables {
		assert.Equal(t, table.Limit(endpoint), Unlimited)
	}
}

func exchangeAll(now time.Time, tables []*Table) {
	for i, from := range tables {
		m := from.Outgoing(now)
		for j, to := range tables {
			if i != j && m != nil {
				to.Merge(now, m)
			}
		}
	}
}

// Guards against an endpoint that is never used again after it named zero, or is
// held to a number that means nothing.
func TestExtremeLimits(t *testing.T) {
	table := fleet(1)[0]
	table.Observe(start, endpoint, 0)
	assert.Equal(t, table.Share(endpoint), minLimit)
	table.Observe(start.Add(time.Second), endpoint, 1e300)
	assert.Equal(t, table.Share(endpoint), Unlimited)
	table.Observe(start.Add(2*time.Second), endpoint, 3)
	table.Expire(start.Add(2*time.Second + limitRetention + 1))
	assert.Equal(t, table.Share(endpoint), Unlimited)
	for key := range Key(2 * maxEndpoints) {
		table.Observe(start, key, 1)
	}
	assert.Equal(t, table.Len(), maxEndpoints)
}

// Guards against a daemon that has just started taking the whole limit.
func TestLimitIsDividedWhileOtherDaemonsAreUnknown(t *testing.T) {
	table := New(64)
	table.Observe(start, endpoint, 32)
	assert.Equal(t, table.Share(endpoint), 0.5)
	table.SetMembers("self", nil)
	assert.Equal(t, table.Share(endpoint), 32.0)
}

// Guards against a restarted endpoint being held to the limit of its last start.
func TestLimitEndsWithTheStartOfTheEndpoint(t *testing.T) {
	assert.Assert(t, KeyOf("a", 1) != KeyOf("a", 2))
	assert.Assert(t, KeyOf("a", 1) != KeyOf("b", 1))
}
