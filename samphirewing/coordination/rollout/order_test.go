package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

func testOrder(target string) Order {
	return Order{Service: simService, Target: target, Duration: simDuration}
}

// connectedTable returns the table of a daemon that may expose requests, and the time.
func connectedTable() (*Table, time.Time) {
	m := newSim(1, simOptions{daemons: 1, routes: 1, speeds: []float64{1}, version: good})
	table := m.daemons[0].table
	m.advance(2 * time.Second)
	return table, m.now
}

// Guards against a daemon that starts with a listing of orders which is out of date,
// and then records and exposes the earlier order again.
func TestListedOrderWithAnotherStatusIsDoubtful(t *testing.T) {
	_, now := connectedTable()
	table := New(Settings{}, "daemon")
	table.SetFleet(now, Fleet{})
	table.PutOrder(now, testOrder("earlier"), false)
	table.ApplyStatus(now, simService, Status{RolledBack, "later"})
	table.StatusRead(2, now)
	table.Evaluate(now, func(Order) Capacity { return Capacity{} })
	assert.Equal(t, len(table.Due(now)), 0)
	// A status of the order itself would show that it is the last one.
	table.ApplyStatus(now, simService, Status{InProgress, "earlier"})
	assert.Assert(t, !table.doubtful(now, table.rollouts[simService]))
}

// Guards against a verdict that is forgotten when a daemon with an earlier order
// overwrites the record.
func TestVerdictOutlivesTheRecord(t *testing.T) {
	table, now := connectedTable()
	table.ApplyStatus(now, simService, Status{RolledBack, "v2"})
	table.ApplyStatus(now, simService, Status{InProgress, "v1"})
	table.StatusRead(3, now)
	assert.Equal(t, table.state(table.rollouts[simService]), RolledBack)
	assert.Equal(t, len(table.Due(now)), 0)
	// Ordered again after another version, the version gets another verdict.
	table.PutOrder(now, testOrder("v1"), true)
	table.PutOrder(now, testOrder("v2"), true)
	assert.Equal(t, table.state(table.rollouts[simService]), Unknown)
}

// Guards against requests to a bad version from a daemon that has started after the
// evidence against it.
func TestConclusiveEvidenceReachesNewDaemons(t *testing.T) {
	table, now := connectedTable()
	table.ApplyStatus(now, simService, Status{RolledBack, "v2"})
	_, down := table.Outgoing(now)
	fresh, _ := connectedTable()
	fresh.Merge(now, down, false)
	assert.Equal(t, fresh.Admit(now, simService, "route", false), Admission{Mode: Exclude, Version: "v2"})
}

// Guards against evidence that is lost when daemons are replaced one after the other.
func TestEvidenceOutlivesDaemons(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	newTable := func(name string) *Table {
		table := New(Settings{}, name)
		table.SetIncarnation(name, routeKey(name))
		table.PutOrder(now, testOrder("v2"), true)
		return table
	}
	first, second := newTable("first"), newTable("second")
	for range 30 {
		first.Ended(Attempt{Service: simService, Route: "r", Version: "v2", Endpoint: "e"}, Failed)
	}
	// Each is a root, so that no rows go down.
	up, _ := first.Outgoing(now)
	second.Merge(now, up, false)
	second.Outgoing(now)
	third := newTable("third")
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		up, _ := second.Outgoing(now)
		third.Merge(now, up, false)
	}
	routes, _ := third.rollouts[simService].counters.sums()
	assert.Assert(t, routes[routeKey("r")] != nil, "the evidence is lost")
	assert.Equal(t, routes[routeKey("r")].version(true)[countFailed], uint64(30))
}

// evaluated returns whether a daemon finds a version with three endpoints bad.
func evaluated(table *Table, now time.Time) bool {
	table.SetFleet(now, Fleet{})
	table.Evaluate(now, func(Order) Capacity { return Capacity{Endpoints: 3, Slots: 100, Running: 10} })
	return table.rollouts[simService].controller.bad
}

// Guards against versions whose streams start in time and are slow afterwards.
func TestSlowStreamsAreFound(t *testing.T) {
	for factor, want := range map[time.Duration]bool{1: false, 4: true} {
		table, now := connectedTable()
		for n := range 200 {
			a, elapsed := Attempt{Service: simService, Route: "r", Version: "v1", Endpoint: "old"}, 100*time.Millisecond
			if n%4 == 0 {
				a.Version, a.Endpoint, elapsed = "v2", "new", factor*elapsed
			}
			table.Timed(a, 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond)
			table.Streamed(a, elapsed, 1000, 1)
			table.Ended(a, Succeeded)
		}
		assert.Equal(t, evaluated(table, now), want, "%d times slower", factor)
	}
}

// Guards against a version that is rolled back for one faulty machine, and against one
// that is not although the machine is no excuse any more. The names a and c have
// different bits among the endpoints with failures.
func TestFailuresOfOneEndpoint(t *testing.T) {
	for _, c := range []struct {
		failures  int
		endpoints []structs.EndpointName
		want      bool
	}{{manyBad - 1, []structs.EndpointName{"a"}, false}, {manyBad, []structs.EndpointName{"a"}, true}, {manyBad - 1, []structs.EndpointName{"a", "c"}, true}} {
		table, now := connectedTable()
		for n := range c.failures {
			table.Ended(Attempt{Service: simService, Route: "r", Version: "v2", Endpoint: c.endpoints[n%len(c.endpoints)]}, Failed)
		}
		for range 100 {
			table.Ended(Attempt{Service: simService, Route: "r", Version: "v1", Endpoint: "old"}, Succeeded)
		}
		assert.Equal(t, evaluated(table, now), c.want, "%d failures of %v", c.failures, c.endpoints)
	}
}

// Guards against a verdict that nobody finds any more, since the copy from which the store
// was restored lacks it.
func TestLostVerdictIsWrittenAgain(t *testing.T) {
	table, now := connectedTable()
	table.ApplyStatus(now, simService, Status{RolledBack, "v2"})
	table.StatusRead(3, now)
	assert.Equal(t, len(table.Due(now)), 0)
	table.StatusesLost()
	assert.Equal(t, len(table.Due(now)), 0, "the copy has not been read yet")
	table.ApplyStatus(now, simService, Status{InProgress, "v2"})
	table.StatusRead(2, now)
	assert.DeepEqual(t, table.Due(now), []Write{{Service: simService, Status: Status{RolledBack, "v2"}, At: 2}})
	assert.Equal(t, table.state(table.rollouts[simService]), RolledBack)
	table.Written(now, Write{Service: simService, Status: Status{RolledBack, "v2"}}, nil)
	table.ApplyStatus(now, simService, Status{RolledBack, "v2"})
	table.StatusRead(3, now)
	assert.Equal(t, len(table.Due(now.Add(writeRetry))), 0)
}
