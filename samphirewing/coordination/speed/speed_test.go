package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLearnsDifferentSpeeds(t *testing.T) {
	for _, engine := range []struct {
		prefill, base, slope float64
	}{{2000, 0.040, 0.003}, {12000, 0.012, 0.0004}} {
		m := New(DefaultPrior)
		r := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			running := 1 + r.IntN(20)
			noise := 0.9 + 0.2*r.Float64()
			step := (engine.base + engine.slope*float64(running)) * noise
			m.ObserveStep(float64(running), time.Duration(step*1e9))
			m.ObserveFirstToken(1000, time.Duration(1000/engine.prefill*noise*1e9))
		}
		assertNear(t, m.PrefillRate(), engine.prefill, 0.2)
		assertNear(t, m.Step(8).Seconds(), engine.base+8*engine.slope, 0.2)
		assertNear(t, m.Step(18).Seconds(), engine.base+18*engine.slope, 0.2)
	}
}

func assertNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance*want, "got %v, want %v", got, want)
}

func TestSingleLoadLevelKeepsSlopeBounded(t *testing.T) {
	m := New(DefaultPrior)
	for range 100 {
		m.ObserveStep(4, 30*time.Millisecond)
	}
	assertNear(t, m.Step(4).Seconds(), 0.030, 0.15)
	assert.Assert(t, m.Step(40) < 200*time.Millisecond, "%v", m.Step(40))
	assert.Assert(t, m.Step(40) >= m.Step(4))
}
