package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

var start = time.Unix(1000, 0)

func record(id string) Record {
	return Record{Instance: instance.ID(id), Incarnation: 1, PeerAddress: id + ":1", CallerAddress: id + ":2"}
}

func life(id string) instance.Life { return instance.Life{ID: instance.ID(id), Incarnation: 1} }

func TestOnlyPeersHeardAndReadyTakeCallers(t *testing.T) {
	table := New("self")
	for _, id := range []string{"self", "ready", "starting", "leaving", "unheard"} {
		table.Put(start, record(id))
	}
	table.Observe(start, life("ready"), State{Ready: true})
	table.Observe(start, life("starting"), State{})
	table.Observe(start, life("leaving"), State{Ready: true, Leaving: true})
	assert.DeepEqual(t, table.CallerAddresses(start), []string{"ready:2"})
	assert.Equal(t, len(table.CallerAddresses(start.Add(2*SilenceLimit))), 0)
}

// A silent peer may only be cut off and goes on using its share; one that left
// does not.
func TestSilentPeersKeepTheirShareForAWhile(t *testing.T) {
	table := New("self")
	for _, id := range []string{"heard", "silent", "left"} {
		table.Put(start, record(id))
		table.Observe(start, life(id), State{})
	}
	table.Observe(start, life("left"), State{Leaving: true})
	later := start.Add(2 * SilenceLimit)
	table.Observe(later, life("heard"), State{})
	heard, silent := table.Counts(later)
	assert.Equal(t, heard, 1)
	assert.Equal(t, silent, 1)
	_, silent = table.Counts(start.Add(ForgetAfter + SilenceLimit))
	assert.Equal(t, silent, 1, "only the one heard later is kept")
}

func TestReturnAndNewLifeAreTold(t *testing.T) {
	table := New("self")
	assert.Assert(t, table.Observe(start, life("a"), State{}))
	assert.Assert(t, !table.Observe(start, life("a"), State{}))
	assert.Assert(t, table.Observe(start, instance.Life{ID: "a", Incarnation: 2}, State{}))
	assert.Assert(t, table.Observe(start.Add(2*SilenceLimit), instance.Life{ID: "a", Incarnation: 2}, State{}))
}

func TestWithdrawnRecordsAreNotDialled(t *testing.T) {
	table := New("self")
	table.Put(start, record("a"))
	table.Put(start, record("b"))
	table.Remove("a")
	assert.DeepEqual(t, table.Addresses(start), map[instance.ID]string{"b": "b:1"})
	table.Retain(start, map[instance.ID]bool{})
	assert.Equal(t, len(table.Addresses(start)), 0)
}

// Found in an incident: a daemon that restarted while another was stopping
// never reported to that one, because its record was withdrawn.
func TestStoppingPeersAreReportedTo(t *testing.T) {
	table := New("self")
	table.Observe(start, life("stopping"), State{Leaving: true})
	assert.DeepEqual(t, table.Recipients(start), []instance.ID{"stopping"})
	assert.Equal(t, len(table.Recipients(start.Add(2*SilenceLimit))), 0)
}
