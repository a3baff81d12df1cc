package breaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOpensProbesAndCloses(t *testing.T) {
	var b Breaker
	assert.Assert(t, !b.RecordFailure(start))
	assert.Assert(t, !b.RecordFailure(start))
	assert.Assert(t, b.RecordFailure(start))
	assert.Equal(t, b.State(start), Open)
	assert.Assert(t, !b.RecordFailure(start), "a late failure must not lengthen the pause")
	probe := b.ProbeAt()
	assert.Equal(t, b.State(probe), HalfOpen)
	assert.Assert(t, b.RecordFailure(probe))
	assert.Assert(t, b.ProbeAt().Sub(probe) > probe.Sub(start))
	b.RecordSuccess()
	assert.Equal(t, b.State(probe), Closed)
}

func TestSuccessesBetweenKeepItClosed(t *testing.T) {
	var b Breaker
	for range 10 {
		b.RecordFailure(start)
		b.RecordFailure(start)
		b.RecordSuccess()
	}
	assert.Equal(t, b.State(start), Closed)
}

func TestPauseIsBounded(t *testing.T) {
	var b Breaker
	now := start
	for range 30 {
		b.RecordFailure(now)
		now = b.ProbeAt()
	}
	b.RecordFailure(now)
	assert.Equal(t, b.ProbeAt().Sub(now), longestPause)
}
