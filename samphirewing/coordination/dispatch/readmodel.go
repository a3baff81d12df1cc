package dispatch

import "time"

// readModel learns how long first events take from the unread prompt work
// before them: a fixed part and a part for each unit, by least squares over
// recent observations of a pool, each divided by its endpoint's slowness.
type readModel struct {
	weight, units, ms, unitsSquared, unitsMs float64
}

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

func (m *readModel) observe(units, ms float64) {
	for _, sum := range []*float64{&m.weight, &m.units, &m.ms, &m.unitsSquared, &m.unitsMs} {
		*sum *= modelMemory
	}
	m.weight++
	m.units += units
	m.ms += ms
	m.unitsSquared += units * units
	m.unitsMs += units * ms
}

// fit returns the fixed part and the part for each unit, in milliseconds.
func (m *readModel) fit() (base, perUnit float64) {
	if m.weight < minObservations {
		return defaultBase, defaultPerUnit
	}
	meanUnits, meanMs := m.units/m.weight, m.ms/m.weight
	variance := m.unitsSquared/m.weight - meanUnits*meanUnits
	if variance > 0 {
		perUnit = max((m.unitsMs/m.weight-meanUnits*meanMs)/variance, 0)
	}
	return max(meanMs-perUnit*meanUnits, 0), perUnit
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
	ms := float64(took) / float64(time.Millisecond)
	p.read.observe(units, ms/p.slowness(e))
	learn(&e.slowness, min(max(ms/max(p.read.predict(units), 1), minSlowness), maxSlowness))
}
