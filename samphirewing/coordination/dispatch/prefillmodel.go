package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/linefit"
)

// prefillModel estimates the time to first event from the pending prefill
// work: a fixed part and a part per unit, by least squares over the recent
// observations of a pool, each divided by its endpoint's slowness.
type prefillModel struct{ line linefit.Line }

const (
	// observationDecay is the factor by which each new observation reduces the
	// weight of the earlier ones; the model follows the last few hundred.
	observationDecay = 0.995
	// minFitWeight is the minimum total weight of observations for a fit.
	minFitWeight = 20
	// defaultBaseMs and defaultMsPerUnit are used below minFitWeight.
	defaultBaseMs    = 30.0
	defaultMsPerUnit = 0.015
	// minSlowness and maxSlowness bound an endpoint's slowness relative to its
	// pool; engines differ about fivefold.
	minSlowness = 0.2
	maxSlowness = 8.0
)

func (m *prefillModel) observe(units, ms float64) { m.line.Observe(observationDecay, units, ms) }

// fit returns the fixed part and the part per unit, in milliseconds.
func (m *prefillModel) fit() (base, perUnit float64) {
	if m.line.Weight() < minFitWeight {
		return defaultBaseMs, defaultMsPerUnit
	}
	return m.line.Fit()
}

// predict returns the expected time to first event, in milliseconds, on an
// endpoint of average speed.
func (m *prefillModel) predict(units float64) float64 {
	base, perUnit := m.fit()
	return base + perUnit*units
}

// observeFirstEvent updates the pool's model and the endpoint's slowness with
// an observed time to first event.
func (p *pool) observeFirstEvent(e *endpoint, units float64, elapsed time.Duration) {
	ms := durationToMs(elapsed)
	p.prefill.observe(units, ms/p.slowness(e))
	observed := min(max(ms/max(p.prefill.predict(units), 1), minSlowness), maxSlowness)
	updateAverage(&e.slowness, observed)
	e.own.samples++
	e.own.slownessSum += observed
}
