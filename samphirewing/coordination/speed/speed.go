// Package speed estimates the prefill rate and the decode speed of an
// endpoint.
package speed

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/linefit"
)

const (
	// smoothing is the weight of a new observation in the prefill rate once it
	// has many; step observations decay by half of it.
	smoothing = 0.1
	// minObservations is the number of observations from which a model counts
	// as settled.
	minObservations = 5
	// minPrefillTokens is the minimum uncached prompt for an observation of
	// the prefill rate; below it, fixed costs dominate.
	minPrefillTokens = 64
)

// Prior holds the assumptions for an endpoint without observations.
type Prior struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// Step is the time between tokens of a request that runs alone.
	Step time.Duration
	// StepPerRequest is the increase of Step per further concurrent request.
	StepPerRequest time.Duration
}

// DefaultPrior suits a mid-range accelerator.
var DefaultPrior = Prior{
	PrefillRate:    4000,
	Step:           25 * time.Millisecond,
	StepPerRequest: time.Millisecond,
}

// Model estimates the speed of one endpoint.
//
// The time between tokens is a linear function of the number of running
// requests, base + slope * running, fitted to exponentially decaying
// observations.
type Model struct {
	prior        Prior
	prefillRate  float64
	prefillCount int
	stepCount    int
	// stepLine is the time between tokens, in seconds.
	stepLine linefit.Line
}

// New returns a model without observations.
func New(p Prior) Model { return Model{prior: p} }

// SetPrior replaces the assumptions.
func (m *Model) SetPrior(p Prior) { m.prior = p }

// ObserveFirstToken updates the prefill rate; tokens is all prompt work that
// the endpoint had to process before this first token.
func (m *Model) ObserveFirstToken(tokens float64, elapsed time.Duration) {
	if tokens < minPrefillTokens || elapsed <= 0 {
		return
	}
	m.prefillCount++
	rate := tokens / elapsed.Seconds()
	weight := max(1/float64(m.prefillCount), smoothing)
	m.prefillRate += weight * (rate - m.prefillRate)
}

// ObserveStep updates the decode speed with the mean time between tokens and
// the mean number of running requests.
func (m *Model) ObserveStep(running float64, step time.Duration) {
	if step <= 0 {
		return
	}
	m.stepCount++
	m.stepLine.Observe(1-smoothing/2, running, step.Seconds())
}

// PrefillRate returns the rate in prompt tokens per second.
func (m *Model) PrefillRate() float64 {
	if m.prefillCount == 0 {
		return m.prior.PrefillRate
	}
	if m.prefillCount < minObservations {
		return (m.prefillRate*float64(m.prefillCount) + m.prior.PrefillRate) / float64(m.prefillCount+1)
	}
	return m.prefillRate
}

// Step returns the expected time between tokens with so many requests running.
func (m *Model) Step(running int) time.Duration {
	base, slope := m.fitStepLine()
	return time.Duration((base + slope*float64(running)) * float64(time.Second))
}

// Settled reports whether the decode speed has enough observations.
func (m *Model) Settled() bool { return m.stepCount >= minObservations }

// AsPrior returns the model as a prior for a similar endpoint.
func (m *Model) AsPrior() Prior {
	base, slope := m.fitStepLine()
	return Prior{
		PrefillRate:    m.PrefillRate(),
		Step:           time.Duration((base + slope) * float64(time.Second)),
		StepPerRequest: time.Duration(slope * float64(time.Second)),
	}
}

// fitStepLine returns base and slope in seconds. The prior counts as two
// observations, at one and at sixteen requests, so that observations at a
// single load do not produce an extreme slope.
func (m *Model) fitStepLine() (base, slope float64) {
	line := m.stepLine
	for _, running := range [...]float64{1, 16} {
		line.Observe(1, running, m.prior.Step.Seconds()+(running-1)*m.prior.StepPerRequest.Seconds())
	}
	return line.Fit()
}
