// Package speed learns how fast an endpoint prefills and decodes.
package speed

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/linefit"
)

const (
	// smoothing is the weight of the newest observation of a settled model.
	smoothing = 0.1
	// settledAfter is how many observations make a model of its own.
	settledAfter = 5
	// fewestTokens is the least uncached prompt that a prefill rate is
	// learned from; below it the fixed costs dominate.
	fewestTokens = 64
)

// Prior holds the assumptions for an endpoint that nothing is known of.
type Prior struct {
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// Step is the time between two tokens of a request running alone.
	Step time.Duration
	// StepPerRequest is how much longer each further request makes it.
	StepPerRequest time.Duration
}

// DefaultPrior suits a mid-range accelerator.
var DefaultPrior = Prior{
	PrefillRate:    4000,
	Step:           25 * time.Millisecond,
	StepPerRequest: time.Millisecond,
}

// Model is what was learned of one endpoint.
//
// The time between tokens is a line over the number of requests that run:
// base + slope * running, fitted to observations that fade.
type Model struct {
	prior    Prior
	prefill  float64
	prefills int
	steps    int
	// stepLine is the time between tokens, in seconds.
	stepLine linefit.Line
}

// New returns a model that knows nothing but the prior.
func New(p Prior) Model { return Model{prior: p} }

// SetPrior replaces the assumptions for what is not learned yet.
func (m *Model) SetPrior(p Prior) { m.prior = p }

// ObserveFirstToken learns from the time to a first token: tokens is all
// prompt work that the endpoint had to do in that time.
func (m *Model) ObserveFirstToken(tokens float64, took time.Duration) {
	if tokens < fewestTokens || took <= 0 {
		return
	}
	m.prefills++
	rate := tokens / took.Seconds()
	share := max(1/float64(m.prefills), smoothing)
	m.prefill += share * (rate - m.prefill)
}

// ObserveStep learns from the mean time between tokens while a mean number of
// requests ran.
func (m *Model) ObserveStep(running float64, step time.Duration) {
	if step <= 0 {
		return
	}
	m.steps++
	m.stepLine.Observe(1-smoothing/2, running, step.Seconds())
}

// PrefillRate returns prompt tokens a second.
func (m *Model) PrefillRate() float64 {
	if m.prefills == 0 {
		return m.prior.PrefillRate
	}
	if m.prefills < settledAfter {
		return (m.prefill*float64(m.prefills) + m.prior.PrefillRate) / float64(m.prefills+1)
	}
	return m.prefill
}

// Step returns the expected time between tokens when so many requests run.
func (m *Model) Step(running int) time.Duration {
	base, slope := m.line()
	return time.Duration((base + slope*float64(running)) * float64(time.Second))
}

// Settled tells whether the model rests on observations.
func (m *Model) Settled() bool { return m.steps >= settledAfter }

// AsPrior returns the model as assumptions for a like endpoint.
func (m *Model) AsPrior() Prior {
	base, slope := m.line()
	return Prior{
		PrefillRate:    m.PrefillRate(),
		Step:           time.Duration((base + slope) * float64(time.Second)),
		StepPerRequest: time.Duration(slope * float64(time.Second)),
	}
}

// line returns base and slope in seconds. The prior takes part with the
// weight of two observations, at one and at sixteen requests, so that
// observations at one load alone give no wild slope.
func (m *Model) line() (base, slope float64) {
	line := m.stepLine
	for _, at := range [...]float64{1, 16} {
		line.Observe(1, at, m.prior.Step.Seconds()+(at-1)*m.prior.StepPerRequest.Seconds())
	}
	return line.Fit()
}
