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

// backlog is a peer at which so many of the most urgent requests wait.
func backlog(waiting int) []PoolReport {
	return []PoolReport{{Pool: enginePool, SlotsPerSecond: 100, Ranks: []RankReport{{Waiting: waiting, PlacedPerSecond: 30}}}}
}

// Pattern: an overload in which requests wait at every daemon. Each place that
// becomes free is seen by all of them before any of them can report that it
// took it.
func TestFreePlaceIsTakenByAboutOneOfManyDaemons(t *testing.T) {
	const daemons, rounds = 20, 200
	random := rand.New(rand.NewPCG(1, 1))
	taken := 0
	for round := range rounds {
		for d := range daemons {
			s := scheduler("a")
			s.random = random.Float64
			full := []Load{{Endpoint: "a", Running: slots}}
			s.SetPeerReport(start, "peer", Report{Loads: full, Pools: backlog(daemons - 1)})
			g, refusal := s.Offer(start, draft(fmt.Sprint(round, d), start, 0))
			assert.Assert(t, g == nil && refusal == nil)
			s.SetPeerReport(start, "peer", Report{Loads: []Load{{Endpoint: "a", Running: slots - 1}}, Pools: backlog(daemons - 1)})
			grants, _ := s.Advance(start.Add(defaultTurnInterval))
			taken += len(grants)
		}
	}
	perPlace := float64(taken) / rounds
	assert.Assert(t, perPlace > 0.8 && perPlace < 1.2, "%.2f daemons take a place", perPlace)
}

// A place that an own request leaves is filled at once: no other daemon knows
// of it yet.
func TestOwnPlaceIsFilledAtOnce(t *testing.T) {
	s := scheduler("a")
	s.random = func() float64 { return 0.999 }
	running := fill(t, s, slots)
	s.SetPeerReport(start, "peer", Report{Loads: nil, Pools: backlog(50)})
	g, refusal := s.Offer(start, draft("waits", start, 0))
	assert.Assert(t, g == nil && refusal == nil)
	s.Release(start.Add(10*time.Millisecond), running[0], Succeeded)
	grants, _ := s.Advance(start.Add(10 * time.Millisecond))
	assert.Equal(t, len(grants), 1)

	g, refusal = s.Offer(start.Add(10*time.Millisecond), draft("waits too", start, 0))
	assert.Assert(t, g == nil && refusal == nil)
	s.Release(start.Add(20*time.Millisecond), running[1], Succeeded)
	s.Report(start)
	grants, _ = s.Advance(start.Add(20 * time.Millisecond))
	assert.Equal(t, len(grants), 0, "once reported, the place is everybody's")
}

// Daemons that nobody reports to wait for no turn.
func TestPlacesAreTakenFreelyWhileNobodyElseWaits(t *testing.T) {
	s := scheduler("a")
	s.random = func() float64 { return 0.999 }
	s.SetPeerReport(start, "peer", Report{Loads: nil, Pools: backlog(50)})
	later := start.Add(2 * remoteLifetime)
	for i := range slots {
		assert.Equal(t, place(t, s, later, draft(fmt.Sprint(i), later, 0)).Endpoint.Name, structs.EndpointName("a"))
	}
}

// Pattern: urgent requests wait at one daemon and others at many. The places
// that the urgent ones will take are left to them.
func TestPlacesAreLeftToMoreUrgentRequestsElsewhere(t *testing.T) {
	s := scheduler("a", "b")
	s.random = func() float64 { return 0 }
	load := []Load{{Endpoint: "a", Running: slots - 1}, {Endpoint: "b", Running: slots - 1}}
	full := []Load{{Endpoint: "a", Running: slots}, {Endpoint: "b", Running: slots}}
	s.SetPeerReport(start, "peer", Report{Loads: full, Pools: backlog(2)})
	for _, rank := range []structs.Rank{1, 0} {
		g, refusal := s.Offer(start, draft(fmt.Sprint("rank", rank), start, rank))
		assert.Assert(t, g == nil && refusal == nil)
	}
	s.SetPeerReport(start, "peer", Report{Loads: load, Pools: backlog(2)})
	now := start.Add(defaultTurnInterval)
	grants, _ := s.Advance(now)
	grants2, _ := s.Advance(now.Add(defaultTurnInterval))
	grants = append(grants, grants2...)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Request.Rank, structs.Rank(0))
}

// Pattern: an overload over many daemons, each of which places so little that
// chance decides what it sees. The wait is forecast from what all of them do.
func TestWaitIsForecastFromAllDaemons(t *testing.T) {
	refused := func(peer PoolReport) int {
		s := scheduler("a")
		s.Release(start, place(t, s, start.Add(-700*time.Millisecond), draft("before", start.Add(-700*time.Millisecond), 0)), Succeeded)
		fill(t, s, slots)
		s.SetPeerReport(start, "peer", Report{Pools: []PoolReport{peer}})
		n := 0
		for i := range 8 {
			if _, refusal := s.Offer(start, draft(fmt.Sprint(i), start, 1)); refusal != nil {
				n++
			}
		}
		return n
	}
	alone := refused(PoolReport{Pool: enginePool})
	together := refused(PoolReport{Pool: enginePool, SlotsPerSecond: 100})
	taken := refused(PoolReport{Pool: enginePool, SlotsPerSecond: 100, Ranks: []RankReport{{Rank: 0, PlacedPerSecond: 100}}})
	assert.Assert(t, alone > 0 && together == 0, "%d refused alone, %d together", alone, together)
	assert.Assert(t, taken >= alone, "%d refused when more urgent requests take the places", taken)
}

// Reports come, are replaced and run out; endpoints come, go and start anew.
// The sum that decisions use stays what the reports hold.
func TestSumsFollowTheReports(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := scheduler("a", "b", "c")
		now := start
		for range 200 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			switch random.IntN(6) {
			case 0:
				born := int64(random.IntN(3))
				all := []endpointset.Endpoint{engine("a"), engine("b"), engine("c")}[random.IntN(3):]
				all[0].StartedUnixMs = born
				s.SetEndpoints(all)
			case 1:
				s.Offer(now, draft("r", now, 0))
			default:
				s.SetPeerReport(now, fmt.Sprint(random.IntN(4)), Report{Loads: []Load{
					{Endpoint: "a", Running: random.IntN(3), Tokens: 10}, {Endpoint: "b", Running: random.IntN(3), PrefillUnits: random.Float64()},
				}})
			}
			s.Advance(now)
			checkSums(t, s, now)
		}
	}
}

func checkSums(t *testing.T, s *Scheduler, now time.Time) {
	t.Helper()
	for _, p := range s.pools {
		for name, e := range p.endpoints {
			running, tokens := 0, structs.Tokens(0)
			for _, load := range e.remote {
				assert.Assert(t, now.Sub(load.At) <= remoteLifetime, "an old report counts")
				running += load.Running
				tokens += load.Tokens
			}
			assert.Equal(t, e.others.Running, running, "%s", name)
			assert.Equal(t, e.others.Tokens, tokens, "%s", name)
		}
	}
}

// Pattern: a daemon that is cut off from the endpoints, but not from its peers,
// holds urgent requests that it can't place. Nobody waits for it.
func TestPlacesAreNotLeftToDaemonsThatPlaceNothing(t *testing.T) {
	s := scheduler("a")
	s.random = func() float64 { return 0.999 }
	stuck := Report{Pools: []PoolReport{{Pool: enginePool, Ranks: []RankReport{{Rank: 0, Waiting: 50}, {Rank: 1, Waiting: 50}}}}}
	s.SetPeerReport(start, "stuck", stuck)
	place(t, s, start, draft("less urgent", start, 1))
	place(t, s, start, draft("lowest", start, 2))
}
