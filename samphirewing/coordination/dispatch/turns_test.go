package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

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
			s.SetRemote(start, "peer", full, []Backlog{{Pool: enginePool, Requests: daemons - 1}})
			g, refusal := s.Offer(start, draft(fmt.Sprint(round, d), start, 0))
			assert.Assert(t, g == nil && refusal == nil)
			s.SetRemote(start, "peer", []Load{{Endpoint: "a", Running: slots - 1}}, []Backlog{{Pool: enginePool, Requests: daemons - 1}})
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
	s.SetRemote(start, "peer", nil, []Backlog{{Pool: enginePool, Requests: 50}})
	g, refusal := s.Offer(start, draft("waits", start, 0))
	assert.Assert(t, g == nil && refusal == nil)
	s.Ended(start.Add(10*time.Millisecond), running[0], Succeeded)
	grants, _ := s.Advance(start.Add(10 * time.Millisecond))
	assert.Equal(t, len(grants), 1)

	g, refusal = s.Offer(start.Add(10*time.Millisecond), draft("waits too", start, 0))
	assert.Assert(t, g == nil && refusal == nil)
	s.Ended(start.Add(20*time.Millisecond), running[1], Succeeded)
	s.Report()
	grants, _ = s.Advance(start.Add(20 * time.Millisecond))
	assert.Equal(t, len(grants), 0, "once reported, the place is everybody's")
}

// Daemons that nobody reports to wait for no turn.
func TestPlacesAreTakenFreelyWhileNobodyElseWaits(t *testing.T) {
	s := scheduler("a")
	s.random = func() float64 { return 0.999 }
	s.SetRemote(start, "peer", nil, []Backlog{{Pool: enginePool, Requests: 50}})
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
	s.SetRemote(start, "peer", full, []Backlog{{Pool: enginePool, Rank: 0, Requests: 2}})
	for _, rank := range []structs.Rank{1, 0} {
		g, refusal := s.Offer(start, draft(fmt.Sprint("rank", rank), start, rank))
		assert.Assert(t, g == nil && refusal == nil)
	}
	s.SetRemote(start, "peer", load, []Backlog{{Pool: enginePool, Rank: 0, Requests: 2}})
	now := start.Add(defaultTurnInterval)
	grants, _ := s.Advance(now)
	grants2, _ := s.Advance(now.Add(defaultTurnInterval))
	grants = append(grants, grants2...)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Request.Rank, structs.Rank(0))
}
