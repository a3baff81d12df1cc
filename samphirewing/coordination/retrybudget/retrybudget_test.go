package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBudgetEmptiesAndRefills(t *testing.T) {
	b := New(Settings{PerGrant: 0.5, PerSecond: 1, Max: 3})
	for range 3 {
		assert.Assert(t, b.Take(start))
	}
	assert.Assert(t, !b.Take(start))
	assert.Assert(t, b.Take(start.Add(time.Second)))
	assert.Assert(t, !b.Take(start.Add(time.Second)))
	b.RecordGrant()
	b.RecordGrant()
	assert.Assert(t, b.Take(start.Add(time.Second)))
}

func TestSavesUpNoMoreThanItsBound(t *testing.T) {
	b := New(Settings{PerGrant: 1, PerSecond: 100, Max: 3})
	b.Take(start)
	taken := 0
	for b.Take(start.Add(time.Hour)) {
		taken++
	}
	assert.Equal(t, taken, 3)
}
