package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAloneShedsAboveItsLimit(t *testing.T) {
	s := New(1)
	assert.Equal(t, s.Excess(start, 10, OwnLoad{LowestRank: 2, Waiting: 10}), 0)
	assert.Equal(t, s.Excess(start, 10, OwnLoad{LowestRank: 2, Waiting: 13}), 3)
}

func TestLeavesSheddingToSiblingWithLowerTier(t *testing.T) {
	s := New(3)
	s.Observe(start, Report{Shard: 1, LowestRank: 3, Waiting: 30})
	assert.Equal(t, s.Excess(start, 10, OwnLoad{LowestRank: 2, Waiting: 40}), 0)
	assert.Equal(t, s.Excess(start, 10, OwnLoad{LowestRank: 3, Waiting: 40}), 25)
}

func TestSiblingOutOfReachNoLongerCounts(t *testing.T) {
	s := New(2)
	s.Observe(start, Report{Shard: 1, LowestRank: 3, Waiting: 30})
	late := start.Add(ReportLifetime + time.Second)
	assert.Equal(t, s.Excess(late, 10, OwnLoad{LowestRank: 2, Waiting: 40}), 30)
}

func TestRoomInSiblingsPartIsUsed(t *testing.T) {
	s := New(2)
	s.Observe(start, Report{Shard: 1, Waiting: 0})
	assert.Equal(t, s.Excess(start, 10, OwnLoad{LowestRank: 2, Waiting: 18}), 0)
	assert.Equal(t, s.Excess(start, 10, OwnLoad{LowestRank: 2, Waiting: 22}), 2)
}
