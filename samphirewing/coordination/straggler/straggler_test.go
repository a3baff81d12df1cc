package straggler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSettledDetector() *Detector {
	d := &Detector{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		d.Observe(start, 0.8+0.4*r.Float64(), 1)
	}
	return d
}

func TestNoiseDoesNotCauseProbation(t *testing.T) {
	assert.Assert(t, !newSettledDetector().OnProbation())
}

func TestSlowEndpointEntersAndLeavesProbation(t *testing.T) {
	d := newSettledDetector()
	observations := 0
	for !d.OnProbation() && observations < 10 {
		d.Observe(start, 4, 1)
		observations++
	}
	assert.Assert(t, d.OnProbation(), "not found after %d slow answers", observations)
	d.Observe(start, 4, 1)
	d.Observe(start, 1, 1)
	assert.Assert(t, d.OnProbation(), "one good probe must not end probation")
	changed := d.Observe(start, 1, 1)
	assert.Assert(t, changed && !d.OnProbation())
}

func TestPoolWideSlowdownDoesNotCauseProbation(t *testing.T) {
	d := newSettledDetector()
	for range 50 {
		d.Observe(start, 4, 4)
	}
	assert.Assert(t, !d.OnProbation())
}

func TestStallStartsProbation(t *testing.T) {
	d := newSettledDetector()
	assert.Assert(t, d.RecordStall(start))
	assert.Assert(t, !d.RecordStall(start))
	assert.Assert(t, d.OnProbation())
}

func TestLastingSlownessBecomesBaseline(t *testing.T) {
	d := newSettledDetector()
	d.RecordStall(start)
	d.Observe(start.Add(maxProbation+time.Second), 3, 1)
	assert.Assert(t, !d.OnProbation())
	assert.Assert(t, d.Slowdown() < stragglerFactor)
}
