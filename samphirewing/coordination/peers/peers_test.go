package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

var start = time.Unix(1000, 0)

func newRecord(id string) Record {
	return Record{Instance: instance.ID(id), Incarnation: 1, PeerAddress: id + ":1", CallerAddress: id + ":2"}
}

func sender(id string) instance.Process { return instance.Process{ID: instance.ID(id), Incarnation: 1} }

func callerAddresses(t *Table, now time.Time) []string {
	return SelectAddresses(t.CallerRecords(now), "", 1<<10)
}

func TestCallerAddressesOnlyOfReadyResponsivePeers(t *testing.T) {
	table := New("self")
	for _, id := range []string{"self", "ready", "starting", "leaving", "unresponsive"} {
		table.Put(start, newRecord(id))
	}
	table.Observe(start, sender("ready"), State{Ready: true})
	table.Observe(start, sender("starting"), State{})
	table.Observe(start, sender("leaving"), State{Ready: true, Leaving: true})
	assert.DeepEqual(t, callerAddresses(table, start), []string{"ready:2"})
	assert.Equal(t, len(callerAddresses(table, start.Add(2*ReportTimeout))), 0)
}

// An unresponsive peer may merely be partitioned and continues to use its
// share; a leaving one does so until the platform kills it.
func TestUnresponsivePeersRetainShareUntilTimeout(t *testing.T) {
	table := New("self")
	for _, id := range []string{"responsive", "silent", "leaving"} {
		table.Put(start, newRecord(id))
		table.Observe(start, sender(id), State{})
	}
	table.Observe(start, sender("leaving"), State{Leaving: true})
	later := start.Add(2 * ReportTimeout)
	table.Observe(later, sender("responsive"), State{})
	responsive, unresponsive := table.Counts(later)
	assert.Equal(t, responsive, 1)
	assert.Equal(t, unresponsive, 2)
	_, unresponsive = table.Counts(start.Add(LeavingShareRetention + time.Millisecond))
	assert.Equal(t, unresponsive, 2, "the leaving peer has no share left; the peer that reported later is unresponsive by now")
	_, unresponsive = table.Counts(start.Add(ShareRetention + ReportTimeout))
	assert.Equal(t, unresponsive, 1, "only the peer that reported later retains its share")
}

func TestObserveDetectsReturnAndNewIncarnation(t *testing.T) {
	table := New("self")
	assert.Assert(t, table.Observe(start, sender("a"), State{}))
	assert.Assert(t, !table.Observe(start, sender("a"), State{}))
	assert.Assert(t, table.Observe(start, instance.Process{ID: "a", Incarnation: 2}, State{}))
	assert.Assert(t, table.Observe(start.Add(2*ReportTimeout), instance.Process{ID: "a", Incarnation: 2}, State{}))
}

func TestWithdrawnRecordsAreNotDialled(t *testing.T) {
	table := New("self")
	table.Put(start, newRecord("a"))
	table.Put(start, newRecord("b"))
	table.Remove(start, "a")
	assert.DeepEqual(t, table.Addresses(start), map[instance.ID]string{"b": "b:1"})
	table.Retain(start, map[instance.ID]bool{})
	assert.Equal(t, len(table.Addresses(start)), 0)
}

// Another daemon has lost contact with a peer: callers are not directed to it,
// but it retains its share.
func TestSuspectedPeersGetNoCallersUntilNextReport(t *testing.T) {
	table := New("self")
	table.Put(start, newRecord("a"))
	table.Observe(start, sender("a"), State{Ready: true})
	table.Suspect("a")
	assert.Equal(t, len(callerAddresses(table, start)), 0)
	responsive, unresponsive := table.Counts(start)
	assert.Equal(t, responsive, 1)
	assert.Equal(t, unresponsive, 0)
	table.Observe(start, sender("a"), State{Ready: true})
	assert.DeepEqual(t, callerAddresses(table, start), []string{"a:2"})
}

// A restarted daemon does not inherit Leaving from its previous incarnation.
func TestNewIncarnationIsNotLeaving(t *testing.T) {
	table := New("self")
	table.Observe(start, sender("a"), State{Leaving: true})
	restarted := newRecord("a")
	restarted.Incarnation = 2
	table.Put(start, restarted)
	_, unresponsive := table.Counts(start.Add(LeavingShareRetention + time.Second))
	assert.Equal(t, unresponsive, 1)
}

// Another daemon may still pass on that the previous incarnation is leaving.
func TestReportsOfReplacedIncarnationAreIgnored(t *testing.T) {
	table := New("self")
	restarted := newRecord("a")
	restarted.Incarnation = 2
	table.Put(start, restarted)
	assert.Assert(t, !table.Observe(start, sender("a"), State{Leaving: true}))
	assert.Equal(t, len(table.Reachable(start)), 1)
	assert.Equal(t, len(table.Serving(start)), 1)
	assert.Assert(t, !table.Responsive(start, "a"))
}

// A listing without its record does not remove a leaving daemon's share.
func TestWithdrawnPeersRetainShareWhileLeaving(t *testing.T) {
	table := New("self")
	table.Put(start, newRecord("a"))
	table.Retain(start, map[instance.ID]bool{})
	_, unresponsive := table.Counts(start.Add(LeavingShareRetention - time.Millisecond))
	assert.Equal(t, unresponsive, 1)
	_, unresponsive = table.Counts(start.Add(LeavingShareRetention))
	assert.Equal(t, unresponsive, 0)
	table.Retain(start.Add(LeavingShareRetention), map[instance.ID]bool{})
	assert.Equal(t, len(table.peers), 0)
}

// Guards against a peer that runs being dialled at the address of its earlier
// incarnation, whose record the store has written late.
func TestLateRecordOfEarlierIncarnationIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New("self")
	record := func(incarnation instance.Incarnation, address string) Record {
		return Record{Instance: "peer", Incarnation: incarnation, PeerAddress: address}
	}
	table.Put(now, record(2, "new"))
	table.Observe(now, instance.Process{ID: "peer", Incarnation: 2}, State{Ready: true})
	table.Put(now, record(1, "old"))
	assert.Equal(t, table.Addresses(now)["peer"], "new")
	later := now.Add(ReportTimeout + time.Second)
	table.Put(later, record(1, "old"))
	assert.Equal(t, table.Addresses(later)["peer"], "old", "the peer may have started anew after its clock was set back")
}
