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

func life(id string) instance.Process { return instance.Process{ID: instance.ID(id), Incarnation: 1} }

func TestOnlyPeersHeardAndReadyTakeCallers(t *testing.T) {
	table := New("self")
	for _, id := range []string{"self", "ready", "starting", "leaving", "unheard"} {
		table.Put(start, record(id))
	}
	table.Observe(start, life("ready"), State{Ready: true})
	table.Observe(start, life("starting"), State{})
	table.Observe(start, life("leaving"), State{Ready: true, Leaving: true})
	assert.DeepEqual(t, table.CallerAddresses(start), []string{"ready:2"})
	assert.Equal(t, len(table.CallerAddresses(start.Add(2*ReportTimeout))), 0)
}

// A silent peer may only be cut off and goes on using its share; one that is
// leaving does so until the platform ends it.
func TestSilentPeersKeepTheirShareForAWhile(t *testing.T) {
	table := New("self")
	for _, id := range []string{"heard", "silent", "left"} {
		table.Put(start, record(id))
		table.Observe(start, life(id), State{})
	}
	table.Observe(start, life("left"), State{Leaving: true})
	later := start.Add(2 * ReportTimeout)
	table.Observe(later, life("heard"), State{})
	heard, silent := table.Counts(later)
	assert.Equal(t, heard, 1)
	assert.Equal(t, silent, 2)
	_, silent = table.Counts(start.Add(LeavingKeepsFor + time.Millisecond))
	assert.Equal(t, silent, 2, "of the leaving one nothing is left; the one heard later is silent by now")
	_, silent = table.Counts(start.Add(ForgetAfter + ReportTimeout))
	assert.Equal(t, silent, 1, "only the one heard later is kept")
}

func TestReturnAndNewLifeAreTold(t *testing.T) {
	table := New("self")
	assert.Assert(t, table.Observe(start, life("a"), State{}))
	assert.Assert(t, !table.Observe(start, life("a"), State{}))
	assert.Assert(t, table.Observe(start, instance.Process{ID: "a", Incarnation: 2}, State{}))
	assert.Assert(t, table.Observe(start.Add(2*ReportTimeout), instance.Process{ID: "a", Incarnation: 2}, State{}))
}

func TestWithdrawnRecordsAreNotDialled(t *testing.T) {
	table := New("self")
	table.Put(start, record("a"))
	table.Put(start, record("b"))
	table.Remove(start, "a")
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
	assert.Equal(t, len(table.Recipients(start.Add(2*ReportTimeout))), 0)
}

// A daemon that restarted has left the leaving of its life before behind.
func TestNewLifeIsNotLeaving(t *testing.T) {
	table := New("self")
	table.Observe(start, life("a"), State{Leaving: true})
	again := record("a")
	again.Incarnation = 2
	table.Put(start, again)
	_, silent := table.Counts(start.Add(LeavingKeepsFor + time.Second))
	assert.Equal(t, silent, 1)
}

// Nor does a listing without its record take a leaving daemon's share away.
func TestWithdrawnPeersKeepTheirShareWhileTheyLeave(t *testing.T) {
	table := New("self")
	table.Put(start, record("a"))
	table.Retain(start, map[instance.ID]bool{})
	_, silent := table.Counts(start.Add(LeavingKeepsFor - time.Millisecond))
	assert.Equal(t, silent, 1)
	_, silent = table.Counts(start.Add(LeavingKeepsFor))
	assert.Equal(t, silent, 0)
	table.Retain(start.Add(LeavingKeepsFor), map[instance.ID]bool{})
	assert.Equal(t, len(table.peers), 0)
}
