package aggregation

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// estimatesInterval is the time between two messages with estimates. They change
// slowly compared with loads.
const estimatesInterval = 500 * time.Millisecond

// Estimate is what one daemon, or several, have observed of an endpoint in the
// last seconds. All fields add up.
type Estimate struct {
	// Samples counts the first events observed, SlownessSum is the sum of their
	// slowness.
	Samples     float64
	SlownessSum float64
	// Outcomes counts the answers, Failures those that failed.
	Outcomes float64
	Failures float64
}

// Estimates is keyed by the hash of the endpoint's name.
type Estimates map[uint32]Estimate

func (e Estimates) add(other Estimates) {
	for endpoint, o := range other {
		sum := e[endpoint]
		sum.Samples += o.Samples
		sum.SlownessSum += o.SlownessSum
		sum.Outcomes += o.Outcomes
		sum.Failures += o.Failures
		e[endpoint] = sum
	}
}

// estimateScale is the number of units of encoded estimates per one.
const estimateScale = 100

func encodeEstimates(e Estimates) *peerpb.Estimates {
	scaled := func(v float64) uint32 { return uint32(min(max(math.Round(v*estimateScale), 0), math.MaxUint32)) }
	m := &peerpb.Estimates{}
	for endpoint, o := range e {
		m.Endpoints = append(m.Endpoints, endpoint)
		m.Samples = append(m.Samples, scaled(o.Samples))
		m.SlownessSums = append(m.SlownessSums, scaled(o.SlownessSum))
		m.Outcomes = append(m.Outcomes, scaled(o.Outcomes))
		m.Failures = append(m.Failures, scaled(o.Failures))
	}
	return m
}

func decodeEstimates(m *peerpb.Estimates) Estimates {
	count := min(len(m.GetEndpoints()), len(m.GetSamples()), len(m.GetSlownessSums()), len(m.GetOutcomes()), len(m.GetFailures()))
	e := make(Estimates, count)
	for i := range count {
		e[m.Endpoints[i]] = Estimate{
			Samples: float64(m.Samples[i]) / estimateScale, SlownessSum: float64(m.SlownessSums[i]) / estimateScale,
			Outcomes: float64(m.Outcomes[i]) / estimateScale, Failures: float64(m.Failures[i]) / estimateScale,
		}
	}
	return e
}

// subtreeEstimates returns the sum of this daemon's estimates and its children's.
func (t *tick) subtreeEstimates() Estimates {
	sum := Estimates{}
	sum.add(t.own.Estimates)
	for _, c := range t.node.children {
		if !c.withdrawn {
			sum.add(c.estimates)
		}
	}
	return sum
}

// updateFleet computes the estimates of all daemons if this one is a root; others
// receive them from their parent.
func (t *tick) updateFleet(subtree Estimates) {
	n := t.node
	if _, root := n.Parent(); !root {
		return
	}
	for _, r := range n.roots {
		subtree.add(r.estimates)
	}
	n.fleet = subtree
}

// FleetEstimates returns the sum of the estimates of all daemons, including this
// one.
func (n *Node) FleetEstimates() Estimates { return n.fleet }
