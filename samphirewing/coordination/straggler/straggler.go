// Package straggler finds endpoints that have become slow, judged against
// their own history and against their pool.
//
// A straggler is put on probation: it gets one small request at a time, and
// returns to full work after several of them ran at its usual speed.
package straggler

import "time"

const (
	// fast and slow are the weights of the newest observation in the recent
	// and in the long-term mean.
	fast = 0.35
	slow = 0.02
	// settledAfter is how many observations make a history.
	settledAfter = 8
	// slowFactor is how much slower than its history a straggler is.
	slowFactor = 2.0
	// poolFactor is how much more than its pool it must have slowed down.
	poolFactor = 1.6
	// healthyFactor is the slowdown that a probe may show.
	healthyFactor = 1.4
	// probesToRecover is how many healthy probes in a row end probation.
	probesToRecover = 2
	// observationsToSuspect is how many recent observations are needed.
	observationsToSuspect = 3
	// longestProbation bounds how long an old history is held against an
	// endpoint; after it the new speed is taken as its usual one.
	longestProbation = 5 * time.Minute
)

// Detector judges one endpoint. The zero value knows nothing.
type Detector struct {
	// recent and usual are means of observed over expected time.
	recent, usual float64
	count         int
	recentCount   int
	probation     bool
	since         time.Time
	healthy       int
}

// Slowdown returns the recent time over the usual time; 1 while unknown.
func (d *Detector) Slowdown() float64 {
	if d.count < settledAfter || d.usual == 0 {
		return 1
	}
	return d.recent / d.usual
}

// OnProbation tells whether the endpoint is a straggler.
func (d *Detector) OnProbation() bool { return d.probation }

// Observe takes in one observation, the observed over the expected time, and
// the present slowdown of the whole pool. It returns whether the state
// changed.
func (d *Detector) Observe(now time.Time, ratio, pool float64) bool {
	if d.probation {
		return d.observeProbe(now, ratio, pool)
	}
	d.count++
	d.recentCount++
	if d.count == 1 {
		d.recent, d.usual = ratio, ratio
		return false
	}
	d.recent += fast * (ratio - d.recent)
	if d.Slowdown() < slowFactor {
		share := max(1/float64(d.count), slow)
		d.usual += share * (ratio - d.usual)
	}
	return d.suspect(now, pool)
}

// RecordStall notes that an endpoint with work has not answered for long. It
// returns whether the state changed.
func (d *Detector) RecordStall(now time.Time) bool {
	if d.probation {
		d.healthy = 0
		return false
	}
	d.begin(now)
	return true
}

func (d *Detector) suspect(now time.Time, pool float64) bool {
	if d.count < settledAfter || d.recentCount < observationsToSuspect {
		return false
	}
	slowdown := d.Slowdown()
	if slowdown < slowFactor || slowdown < poolFactor*max(pool, 1) {
		return false
	}
	d.begin(now)
	return true
}

func (d *Detector) begin(now time.Time) {
	d.probation = true
	d.since = now
	d.healthy = 0
}

func (d *Detector) observeProbe(now time.Time, ratio, pool float64) bool {
	d.recent += fast * (ratio - d.recent)
	usual := d.usual
	if usual == 0 {
		usual = 1
	}
	if ratio <= usual*healthyFactor*max(pool, 1) {
		d.healthy++
	} else {
		d.healthy = 0
	}
	if d.healthy >= probesToRecover {
		d.recover(usual)
		return true
	}
	if now.Sub(d.since) > longestProbation {
		d.recover(d.recent)
		return true
	}
	return false
}

func (d *Detector) recover(usual float64) {
	d.probation = false
	d.recent = usual
	d.usual = usual
	d.recentCount = 0
}
