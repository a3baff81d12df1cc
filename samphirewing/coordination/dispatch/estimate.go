package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// With many daemons, each sends an endpoint a request every few seconds only. Its
// own observations are then too few to know a slow, failing or unreachable
// endpoint, so daemons share them.

const (
	// estimateWindow is the time constant of shared observations.
	estimateWindow = 5 * time.Second
	// minOwnSamples is the number of own observations in the window from which a
	// daemon relies on them alone.
	minOwnSamples = 3
	// failureSmoothing is the number of successful outcomes assumed in the shared
	// failure rate, so that few failures don't exclude an endpoint.
	failureSmoothing = 3
	// ownEvidenceTTL is how long after an answer a daemon ignores that peers can't
	// reach the endpoint.
	ownEvidenceTTL = 2 * time.Second
	// connectedTTL is how long after an answer of any endpoint of the pool a
	// daemon reports unreachable ones. Without, it may itself be cut off.
	connectedTTL = time.Second
	// minReportedSamples is the minimum number of observations reported.
	minReportedSamples = 0.05
)

// Estimate is what daemons have observed of an endpoint in the last seconds.
type Estimate struct {
	Endpoint structs.EndpointName
	// Samples counts the first events observed, SlownessSum is the sum of their
	// slowness relative to the pool.
	Samples     float64
	SlownessSum float64
	// Outcomes counts the answers, Failures those that failed.
	Outcomes float64
	Failures float64
}

// observations are one daemon's, which decay with estimateWindow.
type observations struct {
	samples, slownessSum, outcomes, failures float64
	decayedAt                                time.Time
}

func (o *observations) decay(now time.Time) {
	elapsed := now.Sub(o.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / estimateWindow.Seconds())
	if o.decayedAt.IsZero() {
		factor = 1
	}
	o.samples *= factor
	o.slownessSum *= factor
	o.outcomes *= factor
	o.failures *= factor
	o.decayedAt = now
}

// slowness returns how slow the endpoint is relative to the pool: by this daemon's
// own recent observations or, if these are few, by those of all daemons.
func (p *pool) slowness(e *endpoint) float64 {
	own, fleet := e.own.samples, e.fleet.Samples
	switch {
	case own >= minOwnSamples || fleet < minOwnSamples && e.slowness > 0:
		return e.slowness
	case fleet < minOwnSamples:
		return 1
	}
	mean := e.fleet.SlownessSum / fleet
	if e.slowness > 0 {
		mean = (own*e.slowness + fleet*mean) / (own + fleet)
	}
	return min(max(mean, minSlowness), maxSlowness)
}

// expectedFailureRate returns the probability that a request fails there.
func (e *endpoint) expectedFailureRate() float64 {
	if e.own.outcomes >= minOwnSamples || e.fleet.Outcomes == 0 {
		return e.failureRate
	}
	return max(e.failureRate, min(e.fleet.Failures/(e.fleet.Outcomes+failureSmoothing), maxFailureRate))
}

// unreachableForPeers reports whether peers can't reach the endpoint, and this
// daemon has no evidence of its own.
func (e *endpoint) unreachableForPeers(now time.Time) bool {
	return e.peerTotal.Unreachable > 0 && !e.probing() && now.Sub(e.lastSuccess) > ownEvidenceTTL
}

// SetFleetEstimates replaces what all daemons together have observed.
func (s *Scheduler) SetFleetEstimates(all []Estimate) {
	for _, estimate := range all {
		if p := s.endpointPools[estimate.Endpoint]; p != nil && p.endpoints[estimate.Endpoint] != nil {
			p.endpoints[estimate.Endpoint].fleet = estimate
		}
	}
}

// Estimates returns what this daemon has observed.
func (s *Scheduler) Estimates(now time.Time) []Estimate {
	var all []Estimate
	for _, p := range s.pools {
		for name, e := range p.endpoints {
			e.own.decay(now)
			if o := e.own; o.samples+o.outcomes > minReportedSamples {
				all = append(all, Estimate{Endpoint: name, Samples: o.samples, SlownessSum: o.slownessSum, Outcomes: o.outcomes, Failures: o.failures})
			}
		}
	}
	return all
}
