package linefit

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "%v, want %v", got, want)
}

func TestFitRecoversLine(t *testing.T) {
	var l Line
	for x := range 10 {
		l.Observe(0.9, float64(x), 3+2*float64(x))
	}
	base, slope := l.Fit()
	assertNear(t, base, 3)
	assertNear(t, slope, 2)
}

func TestSingleXGivesZeroSlope(t *testing.T) {
	var l Line
	l.Observe(1, 4, 6)
	l.Observe(1, 4, 8)
	base, slope := l.Fit()
	assertNear(t, base, 7)
	assertNear(t, slope, 0)
	assertNear(t, l.Weight(), 2)
}

func TestFitIsNonNegative(t *testing.T) {
	var falling, steep Line
	falling.Observe(1, 1, 5)
	falling.Observe(1, 2, 3)
	base, slope := falling.Fit()
	assertNear(t, slope, 0)
	assertNear(t, base, 4)
	steep.Observe(1, 10, 1)
	steep.Observe(1, 20, 100)
	base, _ = steep.Fit()
	assertNear(t, base, 0)
}
