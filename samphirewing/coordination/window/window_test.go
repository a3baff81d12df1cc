package window

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestGrowsOnlyWhenUsed(t *testing.T) {
	w := New(DefaultSettings)
	w.ObserveStep(start, 30*time.Millisecond, 10, 1000)
	assert.Equal(t, w.Size(), DefaultSettings.Initial)
	w.ObserveStep(start, 30*time.Millisecond, DefaultSettings.Initial, 1000)
	assert.Assert(t, w.Size() > DefaultSettings.Initial)
}

func TestOneCrowdedMomentCutsOnce(t *testing.T) {
	w := New(DefaultSettings)
	for range 20 {
		w.ObserveFirstToken(start, 100*time.Millisecond, 5*time.Second, 0, 0)
	}
	once := w.Size()
	assert.Assert(t, once < DefaultSettings.Initial)
	assert.Assert(t, once > DefaultSettings.Initial/2)
	w.ObserveStep(start.Add(cutInterval), time.Second, 0, 0)
	assert.Assert(t, w.Size() < once)
}

func TestStaysInsideBounds(t *testing.T) {
	w := New(DefaultSettings)
	for i := range 1000 {
		w.ObserveQueued(start.Add(time.Duration(i) * cutInterval))
	}
	assert.Equal(t, w.Size(), DefaultSettings.Least)
	for range 100_000 {
		w.ObserveStep(start, time.Millisecond, w.Size(), 1<<16)
	}
	assert.Equal(t, w.Size(), DefaultSettings.Max)
}

// A toy endpoint whose first tokens are late when more is in flight than it
// can hold: the window must settle near what it holds.
func TestSettlesNearCapacity(t *testing.T) {
	const capacity structs.Tokens = 40_000
	w := New(DefaultSettings)
	now := start
	for range 4000 {
		now = now.Add(100 * time.Millisecond)
		took := 100 * time.Millisecond
		if w.Size() > capacity {
			took = 3 * time.Second
		}
		w.ObserveFirstToken(now, 100*time.Millisecond, took, w.Size(), 800)
	}
	assert.Assert(t, w.Size() > capacity*3/4 && w.Size() < capacity*5/4, "%d", w.Size())
}
