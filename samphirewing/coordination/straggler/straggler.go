// Package straggler detects endpoints that have become slow compared with
// their own history and with their pool.
//
// A straggler is put on probation: it gets one small request at a time, and
// returns to full work after several of them ran at its baseline speed.
package straggler

import "time"

const (
	// recentWeight and baselineWeight are the weights of a new observation in
	// the recent and in the long-term mean.
	recentWeight   = 0.35
	baselineWeight = 0.02
	// minHistory is the number of observations required for a baseline.
	minHistory = 8
	// stragglerFactor is the minimum slowdown of a straggler relative to its
	// baseline.
	stragglerFactor = 2.0
	// poolFactor is the minimum slowdown of a straggler relative to the
	// slowdown of its pool.
	poolFactor = 1.6
	// healthyFactor is the maximum slowdown of a healthy probe.
	healthyFactor = 1.4
	// healthyProbesToRecover is the number of consecutive healthy probes that
	// ends probation.
	healthyProbesToRecover = 2
	// minRecentObservations is the number of observations since the last
	// probation required to start one.
	minRecentObservations = 3
	// maxProbation bounds the time on probation; after it, the recent speed
	// becomes the baseline.
	maxProbation = 5 * time.Minute
)

// Detector monitors one endpoint. The zero value has no observations.
type Detector struct {
	// recent and baseline are moving averages of observed over expected time.
	recent, baseline float64
	count            int
	recentCount      int
	probation        bool
	probationSince   time.Time
	healthyProbes    int
}

// Slowdown returns the recent mean over the baseline, or 1 without enough
// observations.
func (d *Detector) Slowdown() float64 {
	if d.count < minHistory || d.baseline == 0 {
		return 1
	}
	return d.recent / d.baseline
}

// OnProbation reports whether the endpoint is a straggler.
func (d *Detector) OnProbation() bool { return d.probation }

// Observe records an observation, as the ratio of observed to expected time,
// together with the current slowdown of the pool. It returns whether the
// endpoint entered or left probation.
func (d *Detector) Observe(now time.Time, ratio, poolSlowdown float64) bool {
	if d.probation {
		return d.observeProbe(now, ratio, poolSlowdown)
	}
	d.count++
	d.recentCount++
	if d.count == 1 {
		d.recent, d.baseline = ratio, ratio
		return false
	}
	d.recent += recentWeight * (ratio - d.recent)
	if d.Slowdown() < stragglerFactor {
		weight := max(1/float64(d.count), baselineWeight)
		d.baseline += weight * (ratio - d.baseline)
	}
	return d.checkStraggler(now, poolSlowdown)
}

// RecordStall records that an endpoint with running requests has not answered
// for long. It returns whether the endpoint entered probation.
func (d *Detector) RecordStall(now time.Time) bool {
	if d.probation {
		d.healthyProbes = 0
		return false
	}
	d.startProbation(now)
	return true
}

func (d *Detector) checkStraggler(now time.Time, poolSlowdown float64) bool {
	if d.count < minHistory || d.recentCount < minRecentObservations {
		return false
	}
	slowdown := d.Slowdown()
	if slowdown < stragglerFactor || slowdown < poolFactor*max(poolSlowdown, 1) {
		return false
	}
	d.startProbation(now)
	return true
}

func (d *Detector) startProbation(now time.Time) {
	d.probation = true
	d.probationSince = now
	d.healthyProbes = 0
}

func (d *Detector) observeProbe(now time.Time, ratio, poolSlowdown float64) bool {
	d.recent += recentWeight * (ratio - d.recent)
	baseline := d.baseline
	if baseline == 0 {
		baseline = 1
	}
	if ratio <= baseline*healthyFactor*max(poolSlowdown, 1) {
		d.healthyProbes++
	} else {
		d.healthyProbes = 0
	}
	if d.healthyProbes >= healthyProbesToRecover {
		d.endProbation(baseline)
		return true
	}
	if now.Sub(d.probationSince) > maxProbation {
		d.endProbation(d.recent)
		return true
	}
	return false
}

func (d *Detector) endProbation(baseline float64) {
	d.probation = false
	d.recent = baseline
	d.baseline = baseline
	d.recentCount = 0
}
