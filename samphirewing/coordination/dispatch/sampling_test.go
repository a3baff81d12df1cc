package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	manyDaemons        = 118
	largeFleetInterval = 107 * time.Millisecond
)

// largeFleetView returns what a daemon of a large deployment knows of its peers:
// the load of each endpoint and the rate at which requests are placed.
func largeFleetView(running map[structs.EndpointName]int, placedPerSecond float64) Report {
	r := Report{Pools: []PoolReport{{Pool: enginePool, SlotsPerSecond: placedPerSecond, Ranks: []RankReport{{Rank: 0, PlacedPerSecond: placedPerSecond}}}}}
	for name, n := range running {
		r.Loads = append(r.Loads, Load{Endpoint: name, Running: n})
	}
	return r
}

func endpointNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("engine-%03d", i))
	}
	return names
}

// placeOnce lets each daemon place one request by the same view, and returns how
// many each endpoint gets.
func placeOnce(t *testing.T, daemons int, names []string, view Report, estimates []Estimate) map[structs.EndpointName]int {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	placed := map[structs.EndpointName]int{}
	for d := range daemons {
		s := newTestScheduler(names...)
		s.random = random.Float64
		s.SetFleet(daemons, largeFleetInterval)
		s.SetPeerReport(start, "peers", view)
		s.SetFleetEstimates(estimates)
		// The first call learns how many slots are free.
		for attempt := range 2 {
			g, refusal := s.Offer(start, newRequest(fmt.Sprint(d, attempt), start, 0))
			assert.Assert(t, refusal == nil)
			if g == nil {
				break
			}
			if attempt == 1 {
				placed[g.Endpoint.Name]++
				break
			}
			s.Release(start, g, Abandoned)
		}
	}
	return placed
}

// All daemons see the same endpoint as the best one, by loads and speeds that are
// as old as their last summaries. They must not all take it.
func TestDaemonsDoNotCrowdTheBestEndpoint(t *testing.T) {
	names := endpointNames(40)
	running := map[structs.EndpointName]int{}
	var estimates []Estimate
	for i, name := range names {
		running[structs.EndpointName(name)] = 1
		slowness := 1.0
		if i == 0 {
			slowness = 0.5
		}
		estimates = append(estimates, Estimate{Endpoint: structs.EndpointName(name), Samples: 100, SlownessSum: 100 * slowness})
	}
	placed := placeOnce(t, manyDaemons, names, largeFleetView(running, 1500), estimates)
	assert.Assert(t, placed["engine-000"] <= 4*manyDaemons/len(names), "%d of %d requests on the fastest endpoint", placed["engine-000"], manyDaemons)
}

// Few slots are free, no request waits anywhere, and every daemon has a request to
// place before it hears of the others. Together they take about as many as are free.
func TestConcurrentPlacementsCompeteForFreeSlots(t *testing.T) {
	names := endpointNames(60)
	const free = 20
	running := map[structs.EndpointName]int{}
	spare := newTestScheduler(names...)
	spare.SetFleet(manyDaemons, largeFleetInterval)
	spare.SetPeerReport(start, "peers", largeFleetView(nil, 1500))
	full := spare.pools[enginePool].slots(spare.pools[enginePool].endpoints[structs.EndpointName(names[0])])
	for i, name := range names {
		running[structs.EndpointName(name)] = full
		if i < free {
			running[structs.EndpointName(name)]--
		}
	}
	total := 0
	for _, n := range placeOnce(t, manyDaemons, names, largeFleetView(running, 1500), nil) {
		total += n
	}
	assert.Assert(t, total <= 2*free, "%d requests for %d free slots", total, free)
}

// In a large deployment, a slot that is released stays idle until a daemon with
// waiting requests hears of it, unless the endpoint has another request queued.
func TestEndpointsQueueForTheAgeOfViews(t *testing.T) {
	s := newTestScheduler("a")
	p := s.pools[enginePool]
	e := p.endpoints["a"]
	s.SetPeerReport(start, "peers", largeFleetView(nil, 100))
	p.residenceMs = 400
	s.SetFleet(4, 50*time.Millisecond)
	assert.Equal(t, p.slots(e), slots, "few daemons refill the slots that they release")
	s.SetFleet(manyDaemons, largeFleetInterval)
	assert.Assert(t, p.slots(e) > slots && p.slots(e) <= slots+slots/2, "%d slots", p.slots(e))
	p.residenceMs = 20000
	assert.Equal(t, p.slots(e), slots, "long requests release a slot rarely")
}
