package straggler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func settled() *Detector {
	d := &Detector{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		d.Observe(start, 0.8+0.4*r.Float64(), 1)
	}
	return d
}

func TestNoiseIsNoStraggler(t *testing.T) {
	assert.Assert(t, !settled().OnProbation())
}

func TestSlowEndpointIsFoundAndRecovers(t *testing.T) {
	d := settled()
	seen := 0
	for !d.OnProbation() && seen < 10 {
		d.Observe(start, 4, 1)
		seen++
	}
	assert.Assert(t, d.OnProbation(), "not found after %d slow answers", seen)
	d.Observe(start, 4, 1)
	d.Observe(start, 1, 1)
	assert.Assert(t, d.OnProbation(), "one good probe must not end probation")
	changed := d.Observe(start, 1, 1)
	assert.Assert(t, changed && !d.OnProbation())
}

func TestWholePoolSlowingDownIsNoStraggler(t *testing.T) {
	d := settled()
	for range 50 {
		d.Observe(start, 4, 4)
	}
	assert.Assert(t, !d.OnProbation())
}

func TestStallMeansProbation(t *testing.T) {
	d := settled()
	assert.Assert(t, d.RecordStall(start))
	assert.Assert(t, !d.RecordStall(start))
	assert.Assert(t, d.OnProbation())
}

func TestLastingSlownessBecomesUsual(t *testing.T) {
	d := settled()
	d.RecordStall(start)
	d.Observe(start.Add(longestProbation+time.Second), 3, 1)
	assert.Assert(t, !d.OnProbation())
	assert.Assert(t, d.Slowdown() < slowFactor)
}
