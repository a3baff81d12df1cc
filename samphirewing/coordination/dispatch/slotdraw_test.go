package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// urgentBacklog returns the report of a peer at which so many requests of the
// most urgent rank are queued.
func urgentBacklog(waiting int) []PoolReport {
	return []PoolReport{{Pool: enginePool, SlotsPerSecond: 100, Ranks: []RankReport{{Waiting: waiting, PlacedPerSecond: 30}}}}
}

// Under overload, requests are queued at every daemon, and each freed slot is
// visible to all of them before any can report that it took it.
func TestAboutOneDaemonTakesEachFreeSlot(t *testing.T) {
	const daemons, rounds = 20, 200
	random := rand.New(rand.NewPCG(1, 1))
	taken := 0
	for round := range rounds {
		for d := range daemons {
			s := newTestScheduler("a")
			s.random = random.Float64
			full := []Load{{Endpoint: "a", Running: slots}}
			s.SetPeerReport(start, "peer", Report{Loads: full, Pools: urgentBacklog(daemons - 1)})
			g, refusal := s.Offer(start, newRequest(fmt.Sprint(round, d), start, 0))
			assert.Assert(t, g == nil && refusal == nil)
			s.SetPeerReport(start, "peer", Report{Loads: []Load{{Endpoint: "a", Running: slots - 1}}, Pools: urgentBacklog(daemons - 1)})
			grants, _ := s.Advance(start.Add(defaultDrawInterval))
			taken += len(grants)
		}
	}
	perSlot := float64(taken) / rounds
	assert.Assert(t, perSlot > 0.8 && perSlot < 1.2, "%.2f daemons take each free slot", perSlot)
}

// A slot released by this daemon's own request is refilled immediately, since
// no peer knows of it yet.
func TestRefillsOwnReleasedSlotImmediately(t *testing.T) {
	s := newTestScheduler("a")
	s.random = func() float64 { return 0.999 }
	running := fillSlots(t, s, slots)
	s.SetPeerReport(start, "peer", Report{Loads: nil, Pools: urgentBacklog(50)})
	g, refusal := s.Offer(start, newRequest("waits", start, 0))
	assert.Assert(t, g == nil && refusal == nil)
	s.Release(start.Add(10*time.Millisecond), running[0], Succeeded)
	grants, _ := s.Advance(start.Add(10 * time.Millisecond))
	assert.Equal(t, len(grants), 1)

	g, refusal = s.Offer(start.Add(10*time.Millisecond), newRequest("waits too", start, 0))
	assert.Assert(t, g == nil && refusal == nil)
	s.Release(start.Add(20*time.Millisecond), running[1], Succeeded)
	s.Report(start)
	grants, _ = s.Advance(start.Add(20 * time.Millisecond))
	assert.Equal(t, len(grants), 0, "after the report, the slot is subject to the draw")
}

// Without current peer reports, a daemon takes free slots without a draw.
func TestTakesSlotsFreelyWithoutPeerBacklog(t *testing.T) {
	s := newTestScheduler("a")
	s.random = func() float64 { return 0.999 }
	s.SetPeerReport(start, "peer", Report{Loads: nil, Pools: urgentBacklog(50)})
	later := start.Add(2 * peerReportTTL)
	for i := range slots {
		assert.Equal(t, mustPlace(t, s, later, newRequest(fmt.Sprint(i), later, 0)).Endpoint.Name, structs.EndpointName("a"))
	}
}

// Urgent requests are queued at one daemon and less urgent ones at many; the
// latter leave the slots that the urgent ones will take.
func TestLeavesSlotsToMoreUrgentPeerRequests(t *testing.T) {
	s := newTestScheduler("a", "b")
	s.random = func() float64 { return 0 }
	load := []Load{{Endpoint: "a", Running: slots - 1}, {Endpoint: "b", Running: slots - 1}}
	full := []Load{{Endpoint: "a", Running: slots}, {Endpoint: "b", Running: slots}}
	s.SetPeerReport(start, "peer", Report{Loads: full, Pools: urgentBacklog(2)})
	for _, rank := range []structs.Rank{1, 0} {
		g, refusal := s.Offer(start, newRequest(fmt.Sprint("rank", rank), start, rank))
		assert.Assert(t, g == nil && refusal == nil)
	}
	s.SetPeerReport(start, "peer", Report{Loads: load, Pools: urgentBacklog(2)})
	now := start.Add(defaultDrawInterval)
	grants, _ := s.Advance(now)
	grants2, _ := s.Advance(now.Add(defaultDrawInterval))
	grants = append(grants, grants2...)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Request.Rank, structs.Rank(0))
}

// With many overloaded daemons, each places too few requests to estimate the
// wait from its own throughput, so the estimate includes the throughput of its
// peers.
func TestExpectedWaitIncludesPeerThroughput(t *testing.T) {
	refused := func(peer PoolReport) int {
		s := newTestScheduler("a")
		s.Release(start, mustPlace(t, s, start.Add(-700*time.Millisecond), newRequest("before", start.Add(-700*time.Millisecond), 0)), Succeeded)
		fillSlots(t, s, slots)
		s.SetPeerReport(start, "peer", Report{Pools: []PoolReport{peer}})
		n := 0
		for i := range 8 {
			if _, refusal := s.Offer(start, newRequest(fmt.Sprint(i), start, 1)); refusal != nil {
				n++
			}
		}
		return n
	}
	withoutPeers := refused(PoolReport{Pool: enginePool})
	withPeers := refused(PoolReport{Pool: enginePool, SlotsPerSecond: 100})
	withUrgentPeers := refused(PoolReport{Pool: enginePool, SlotsPerSecond: 100, Ranks: []RankReport{{Rank: 0, PlacedPerSecond: 100}}})
	assert.Assert(t, withoutPeers > 0 && withPeers == 0, "%d refused without peers, %d with them", withoutPeers, withPeers)
	assert.Assert(t, withUrgentPeers >= withoutPeers, "%d refused when more urgent requests take the slots", withUrgentPeers)
}

// The totals used in decisions match the current reports while reports arrive,
// are replaced and expire, and endpoints appear, disappear and restart.
func TestPeerTotalsMatchReports(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newTestScheduler("a", "b", "c")
		now := start
		for range 200 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			switch random.IntN(6) {
			case 0:
				born := int64(random.IntN(3))
				all := []endpointset.Endpoint{engineEndpoint("a"), engineEndpoint("b"), engineEndpoint("c")}[random.IntN(3):]
				all[0].StartedUnixMs = born
				s.SetEndpoints(all)
			case 1:
				s.Offer(now, newRequest("r", now, 0))
			default:
				s.SetPeerReport(now, fmt.Sprint(random.IntN(4)), Report{Loads: []Load{
					{Endpoint: "a", Running: random.IntN(3), Tokens: 10}, {Endpoint: "b", Running: random.IntN(3), PrefillUnits: random.Float64()},
				}})
			}
			s.Advance(now)
			checkPeerTotals(t, s, now)
		}
	}
}

func checkPeerTotals(t *testing.T, s *Scheduler, now time.Time) {
	t.Helper()
	for _, p := range s.pools {
		for name, e := range p.endpoints {
			running, tokens := 0, structs.Tokens(0)
			for _, load := range e.peerLoads {
				assert.Assert(t, now.Sub(load.ReceivedAt) <= peerReportTTL, "an expired report is counted")
				running += load.Running
				tokens += load.Tokens
			}
			assert.Equal(t, e.peerTotal.Running, running, "%s", name)
			assert.Equal(t, e.peerTotal.Tokens, tokens, "%s", name)
		}
	}
}

// A daemon that is partitioned from the endpoints, but not from its peers,
// queues urgent requests that it cannot place. Its peers leave no slots for
// it.
func TestIgnoresBacklogOfPeersThatPlaceNothing(t *testing.T) {
	s := newTestScheduler("a")
	s.random = func() float64 { return 0.999 }
	stuck := Report{Pools: []PoolReport{{Pool: enginePool, Ranks: []RankReport{{Rank: 0, Waiting: 50}, {Rank: 1, Waiting: 50}}}}}
	s.SetPeerReport(start, "stuck", stuck)
	mustPlace(t, s, start, newRequest("less urgent", start, 1))
	mustPlace(t, s, start, newRequest("lowest", start, 2))
}
