package window

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestGrowsOnlyNearFullUse(t *testing.T) {
	w := New(DefaultSettings)
	w.ObserveStep(start, 30*time.Millisecond, 10, 1000)
	assert.Equal(t, w.Size(), DefaultSettings.Initial)
	w.ObserveStep(start, 30*time.Millisecond, DefaultSettings.Initial, 1000)
	assert.Assert(t, w.Size() > DefaultSettings.Initial)
}

func TestShrinksOncePerInterval(t *testing.T) {
	w := New(DefaultSettings)
	for range 20 {
		w.ObserveFirstToken(start, 100*time.Millisecond, 5*time.Second, 0, 0)
	}
	once := w.Size()
	assert.Assert(t, once < DefaultSettings.Initial)
	assert.Assert(t, once > DefaultSettings.Initial/2)
	w.ObserveStep(start.Add(minShrinkInterval), time.Second, 0, 0)
	assert.Assert(t, w.Size() < once)
}

func TestStaysWithinBounds(t *testing.T) {
	w := New(DefaultSettings)
	for i := range 1000 {
		w.ObserveQueued(start.Add(time.Duration(i) * minShrinkInterval))
	}
	assert.Equal(t, w.Size(), DefaultSettings.Min)
	for range 100_000 {
		w.ObserveStep(start, time.Millisecond, w.Size(), 1<<16)
	}
	assert.Equal(t, w.Size(), DefaultSettings.Max)
}

// The window settles near the capacity of a simulated endpoint whose first
// tokens are late whenever more is in flight than its capacity.
func TestSettlesNearCapacity(t *testing.T) {
	const capacity structs.Tokens = 40_000
	w := New(DefaultSettings)
	now := start
	for range 4000 {
		now = now.Add(100 * time.Millisecond)
		elapsed := 100 * time.Millisecond
		if w.Size() > capacity {
			elapsed = 3 * time.Second
		}
		w.ObserveFirstToken(now, 100*time.Millisecond, elapsed, w.Size(), 800)
	}
	assert.Assert(t, w.Size() > capacity*3/4 && w.Size() < capacity*5/4, "%d", w.Size())
}
