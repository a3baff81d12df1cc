package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var mixedSpeeds = []float64{.55, 1, 2.8, 1, .55, 2.8}

func usualOptions(version behaviour) simOptions {
	return simOptions{daemons: 6, perSecond: 400, routes: 3, version: version, slowFactor: 5, speeds: mixedSpeeds}
}

func good(time.Duration, int, float64) (failing, slow float64) { return 0, 0 }

// Guards against bad versions that complete or get too many requests, and against
// good ones that don't complete.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		options func(*simOptions)
		version behaviour
		want    State
	}{
		"fails 30 in 100":      {version: func(time.Duration, int, float64) (float64, float64) { return .3, 0 }, want: RolledBack},
		"five times slower":    {version: func(time.Duration, int, float64) (float64, float64) { return 0, 1 }, want: RolledBack},
		"40 in 100 are slower": {version: func(time.Duration, int, float64) (float64, float64) { return 0, .4 }, want: RolledBack},
		"15 in 100 are slower": {version: func(time.Duration, int, float64) (float64, float64) { return 0, .15 }, want: RolledBack},
		"fails on one route":   {version: func(_ time.Duration, route int, _ float64) (float64, float64) { return boolRate(route == 2, .3), 0 }, want: RolledBack},
		"fails after 5 s": {version: func(age time.Duration, _ int, _ float64) (float64, float64) {
			return boolRate(age > 5*time.Second, .3), 0
		}, want: RolledBack},
		"slow after 15 s": {version: func(age time.Duration, _ int, _ float64) (float64, float64) {
			return 0, boolRate(age > 15*time.Second, .5)
		}, want: RolledBack},
		"good":                     {version: good, want: Completed},
		"good under burst":         {version: good, want: Completed, options: func(o *simOptions) { o.burst = 2.5 }},
		"good with few requests":   {version: good, want: Completed, options: func(o *simOptions) { o.perSecond = 3 }},
		"good with slow endpoints": {version: good, want: Completed, options: func(o *simOptions) { o.speeds = []float64{1, 2.8, 1} }},
		"good with fast endpoints": {version: good, want: Completed, options: func(o *simOptions) { o.speeds = []float64{.55} }},
		"good in a large fleet":    {version: good, want: Completed, options: func(o *simOptions) { o.daemons, o.perSecond = 40, 600 }},
		"fails 30 in 100 at 80":    {version: func(time.Duration, int, float64) (float64, float64) { return .3, 0 }, want: RolledBack, options: func(o *simOptions) { o.daemons, o.perSecond = 80, 1500 }},
		"fails with few requests":  {version: func(time.Duration, int, float64) (float64, float64) { return .5, 0 }, want: RolledBack, options: func(o *simOptions) { o.perSecond = 5 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				o := usualOptions(c.version)
				if c.options != nil {
					c.options(&o)
				}
				o.bad = c.want == RolledBack
				m := newSim(seed, o)
				m.advance(simDuration)
				checkRun(t, m, seed, c.want)
			}
		})
	}
}

func boolRate(bad bool, rate float64) float64 {
	if bad {
		return rate
	}
	return 0
}

func checkRun(t *testing.T, m *sim, seed uint64, want State) {
	t.Helper()
	explained := ""
	for _, d := range m.daemons {
		if d.table != nil {
			explained = d.table.Explain(m.now, simService)
		}
	}
	t.Logf("seed %d: %s after %.1f s, %d of %d exposed, %d bad; %s", seed, m.verdict(), m.completedAt.Seconds(), m.exposed, m.requests, m.bad, explained)
	assert.Equal(t, m.violation, "", "seed %d", seed)
	assert.Equal(t, m.verdict(), want, "seed %d: %s", seed, explained)
	assert.Assert(t, m.completedAt < simDuration, "seed %d", seed)
}

// Guards against exposure above the bounds, contradictory verdicts and good versions
// that miss the deadline when daemons, links and stores fail.
func TestRolloutsUnderFaults(t *testing.T) {
	for seed := range uint64(200) {
		want, version := Completed, behaviour(good)
		switch seed % 4 {
		case 1:
			want, version = RolledBack, func(time.Duration, int, float64) (float64, float64) { return .3, 0 }
		case 2:
			want, version = RolledBack, func(age time.Duration, _ int, _ float64) (float64, float64) {
				return boolRate(age > 5*time.Second, .3), 0
			}
		case 3:
			want, version = RolledBack, func(time.Duration, int, float64) (float64, float64) { return 0, 1 }
		}
		o := usualOptions(version)
		o.bad = want == RolledBack
		m := newSim(seed, o)
		for m.now.Sub(m.start) < simDuration*9/10 {
			m.advance(time.Duration(1000+m.rng.IntN(3000)) * time.Millisecond)
			m.injectFault()
		}
		m.advance(m.start.Add(simDuration).Sub(m.now))
		checkRun(t, m, seed, want)
	}
}
