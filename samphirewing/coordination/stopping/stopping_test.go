package stopping

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func schedule(now time.Time) Schedule {
	return Schedule{RefuseAfter: now.Add(2500 * time.Millisecond), ExitAt: now.Add(7600 * time.Millisecond)}
}

func TestRunningDaemonRefusesNothing(t *testing.T) {
	now := time.Now()
	assert.Assert(t, !Schedule{}.RefusesNew(now, now.Add(time.Hour)))
	assert.Assert(t, !Schedule{}.RefusesUnsent(now, now.Add(time.Hour), time.Hour))
}

// Guards against requests that are turned away although they end before the exit.
func TestRequestsThatEndBeforeTheExitAreServed(t *testing.T) {
	now := time.Now()
	s := schedule(now)
	for at := now; at.Before(s.EndAt()); at = at.Add(100 * time.Millisecond) {
		assert.Assert(t, !s.RefusesNew(at, s.EndAt()))
		assert.Assert(t, !s.RefusesUnsent(at, s.EndAt(), time.Hour))
	}
	late := s.ExitAt.Add(time.Minute)
	assert.Assert(t, !s.RefusesNew(s.RefuseAfter, late), "callers may still have the address")
	assert.Assert(t, !s.RefusesUnsent(now.Add(2*time.Second), late, time.Second), "it may be served in time")
}

// Guards against callers that hear at the end only what was certain at the start.
func TestRequestThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	now := time.Now()
	assert.Assert(t, schedule(now).RefusesUnsent(now, now.Add(14*time.Second), 9*time.Second))
}

// Plays a thousand requests that wait for slots behind long ones. Guards against
// requests that are neither served nor refused when the daemon exits, those that are
// cut although the mean duration was known, and callers that all return at once.
func TestEveryWaitingRequestIsServedOrRefusedBeforeTheExit(t *testing.T) {
	const (
		step    = 20 * time.Millisecond
		waiting = 1000
	)
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Now()
		s := schedule(now)
		mean := time.Duration(random.Int64N(int64(4 * time.Second)))
		left, slots, returns := waiting, 1+random.IntN(8), map[time.Duration]int{}
		var freeAt []time.Time
		for range slots {
			freeAt = append(freeAt, now.Add(time.Duration(random.Int64N(int64(9*time.Second)))))
		}
		deadline := now.Add(14 * time.Second)
		for at := now; !at.After(s.ExitAt); at = at.Add(step) {
			if s.RefusesUnsent(at, deadline, mean) {
				for n := range left {
					returns[at.Sub(now)+RetryAfterOf(n)]++
				}
				left = 0
			}
			for i := range freeAt {
				if left > 0 && !at.Before(freeAt[i]) {
					left--
					freeAt[i] = at.Add(mean)
					assert.Assert(t, !freeAt[i].After(s.EndAt()), "seed %d: a request of %v began %v before the end", seed, mean, s.EndAt().Sub(at))
				}
			}
		}
		assert.Equal(t, left, 0, "seed %d", seed)
		for at, n := range returns {
			assert.Equal(t, n, 1, "seed %d: %d callers return at %v", seed, n, at)
		}
	}
}
