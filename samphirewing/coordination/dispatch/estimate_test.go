package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

// With many daemons, each has seen few answers of an endpoint. What all have seen
// together tells that it is slow.
func TestSlownessSeenByOthersIsAvoided(t *testing.T) {
	s := newTestScheduler("a", "b")
	s.SetFleetEstimates([]Estimate{{Endpoint: "a", Samples: 40, SlownessSum: 40 * 2.8}, {Endpoint: "b", Samples: 40, SlownessSum: 40}})
	assert.Equal(t, mustPlace(t, s, start, newRequest("one", start, 0)).Endpoint.Name, structs.EndpointName("b"))
}

// A daemon with enough observations of its own relies on them.
func TestOwnObservationsTakePrecedence(t *testing.T) {
	s := newTestScheduler("a")
	for i := range 2 * minOwnSamples {
		g := mustPlace(t, s, start, newRequest(fmt.Sprint(i), start, 0))
		s.RecordFirstEvent(start.Add(g.Forecast), g)
		s.Release(start.Add(g.Forecast), g, Succeeded)
	}
	p := s.endpointPools["a"]
	before := p.slowness(p.endpoints["a"])
	s.SetFleetEstimates([]Estimate{{Endpoint: "a", Samples: 100, SlownessSum: 500}})
	assert.Equal(t, p.slowness(p.endpoints["a"]), before)
}

// Many endpoints crash at once, and each daemon sends few requests to each. One
// daemon's failed attempt keeps the others away.
func TestEndpointUnreachableForPeersGetsNothing(t *testing.T) {
	s := newTestScheduler("a", "b")
	s.SetPeerReport(start, "peers", Report{Loads: []Load{{Endpoint: "a", Unreachable: 1}}})
	for i := range slots {
		assert.Equal(t, mustPlace(t, s, start, newRequest(fmt.Sprint(i), start, 0)).Endpoint.Name, structs.EndpointName("b"))
	}
	g, refusal := s.Offer(start, newRequest("waits", start, 0))
	assert.Assert(t, g == nil && refusal == nil, "an unreachable endpoint looks idle")
	s.SetPeerReport(start, "peers", Report{})
	grants, _ := s.Advance(start)
	assert.Equal(t, len(grants), 1)
}

// Daemons that are themselves cut off must not keep the others away from sound
// endpoints.
func TestReportsOfUnreachableEndpointsAreChecked(t *testing.T) {
	s := newTestScheduler("a", "b")
	// This daemon has just had an answer of the endpoint.
	g := mustPlace(t, s, start, newRequest("answered", start, 0))
	s.Release(start, g, Succeeded)
	s.SetPeerReport(start, "peers", Report{Loads: []Load{{Endpoint: "a", Unreachable: 30}, {Endpoint: "b", Unreachable: 30}}})
	assert.Equal(t, mustPlace(t, s, start, newRequest("next", start, 0)).Endpoint.Name, g.Endpoint.Name)
	// Without evidence of its own, it uses the endpoints if there is no other.
	later := start.Add(ownEvidenceTTL + time.Millisecond)
	s.SetPeerReport(later, "peers", Report{Loads: []Load{{Endpoint: "a", Unreachable: 30}, {Endpoint: "b", Unreachable: 30}}})
	mustPlace(t, s, later, newRequest("last", later, 0))
	// A daemon without any answer may be cut off, and reports nothing.
	cut := newTestScheduler("a", "b")
	cut.Release(start, mustPlace(t, cut, start, newRequest("refused", start, 0)), Refused)
	assert.Equal(t, len(reportedLoads(cut)), 0)
}

// Nothing listens at the endpoint's address: the first attempt is enough to know.
func TestRefusedConnectionStartsQuarantine(t *testing.T) {
	s := newTestScheduler("a", "b")
	g := mustPlace(t, s, start, newRequest("refused", start, 0))
	s.Release(start, g, Refused)
	for i := range slots {
		assert.Assert(t, mustPlace(t, s, start, newRequest(fmt.Sprint(i), start, 0)).Endpoint.Name != g.Endpoint.Name)
	}
}

// An endpoint that fails a part of its requests is avoided by daemons that have
// sent it none.
func TestFailuresSeenByOthersAreAvoided(t *testing.T) {
	s := newTestScheduler("a", "b")
	s.SetFleetEstimates([]Estimate{{Endpoint: "a", Outcomes: 50, Failures: 25}})
	assert.Equal(t, mustPlace(t, s, start, newRequest("one", start, 0)).Endpoint.Name, structs.EndpointName("b"))
}
