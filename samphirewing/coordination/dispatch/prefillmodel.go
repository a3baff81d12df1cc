package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/linefit"
)

// readModel learns how long first events take from the unread prompt work
// before them: a fixed part and a part for each unit, by least squares over
// recent observations of a pool, each divided by its endpoint's slowness.
type readModel struct{ line linefit.Line }

const (
	// modelMemory is the weight that an observation keeps when the next comes:
	// the model follows the last few hundred.
	modelMemory = 0.995
	// minObservations is the least weight that a fit is drawn from.
	minObservations = 20
	// defaultBase and defaultPerUnit stand in before that, in milliseconds.
	defaultBase    = 30.0
	defaultPerUnit = 0.015
	// minSlowness and maxSlowness bound an endpoint's slowness against its
	// pool; engines differ about fivefold.
	minSlowness = 0.2
	maxSlowness = 8.0
)

func (m *readModel) observe(units, ms float64) { m.line.Observe(modelMemory, units, ms) }

// fit returns the fixed part and the part for each unit, in milliseconds.
func (m *readModel) fit() (base, perUnit float64) {
	if m.line.Weight() < minObservations {
		return defaultBase, defaultPerUnit
	}
	return m.line.Fit()
}

// predict is the expected time to a first event on an endpoint of average
// speed, in milliseconds.
func (m *readModel) predict(units float64) float64 {
	base, perUnit := m.fit()
	return base + perUnit*units
}

func (p *pool) slowness(e *endpoint) float64 {
	if e.slowness == 0 {
		return 1
	}
	return e.slowness
}

// learnFirstEvent takes in how long a first event took.
func (p *pool) learnFirstEvent(e *endpoint, units float64, took time.Duration) {
	ms := inMilliseconds(took)
	p.read.observe(units, ms/p.slowness(e))
	learn(&e.slowness, min(max(ms/max(p.read.predict(units), 1), minSlowness), maxSlowness))
}
