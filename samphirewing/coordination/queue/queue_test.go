package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newItem(n int, rank structs.Rank, organisation string, due time.Duration) *Item {
	return &Item{
		ID:           structs.RequestID(fmt.Sprint(n)),
		Target:       "draft",
		Rank:         rank,
		Organisation: structs.OrganisationName(organisation),
		Due:          start.Add(due),
		Sequence:     uint64(n),
	}
}

func pop(q *Queue) *Item {
	var first *Item
	q.Heads(func(item *Item) bool { first = item; return false })
	q.Remove(first)
	return first
}

func TestTiersHaveStrictPriority(t *testing.T) {
	q := New()
	q.Push(newItem(1, 2, "a", 0))
	q.Push(newItem(2, 0, "a", time.Hour))
	q.Push(newItem(3, 1, "a", 0))
	for _, want := range []structs.Rank{0, 1, 2} {
		assert.Equal(t, pop(q).Rank, want)
	}
	assert.Equal(t, q.Len(), 0)
}

func TestOrganisationsShareByWeight(t *testing.T) {
	q := New()
	for i := range 300 {
		q.Push(newItem(2*i, 0, "a", time.Duration(i)))
		q.Push(newItem(2*i+1, 0, "b", time.Duration(i)))
	}
	served := map[structs.OrganisationName]int{}
	weights := map[structs.OrganisationName]float64{"a": 2, "b": 1}
	for range 300 {
		item := pop(q)
		served[item.Organisation]++
		q.Charge(0, item.Organisation, weights[item.Organisation], 10)
	}
	assert.Assert(t, served["a"] >= 199 && served["a"] <= 201, "a got %d of 300", served["a"])
}

func TestIdleOrganisationAccruesNoCredit(t *testing.T) {
	q := New()
	for i := range 100 {
		q.Push(newItem(i, 0, "busy", 0))
	}
	for range 50 {
		pop(q)
		q.Charge(0, "busy", 1, 10)
	}
	for i := range 50 {
		q.Push(newItem(1000+i, 0, "back", 0))
	}
	back := 0
	for range 20 {
		item := pop(q)
		q.Charge(0, item.Organisation, 1, 10)
		if item.Organisation == "back" {
			back++
		}
	}
	assert.Assert(t, back >= 9 && back <= 11, "returning organisation got %d of 20", back)
}

func TestShedCandidateIsNewestOfMostServed(t *testing.T) {
	q := New()
	for i := range 6 {
		q.Push(newItem(i, structs.Rank(i%2), []string{"a", "b"}[i/3], 0))
	}
	q.Charge(1, "b", 1, 100)
	assert.Equal(t, q.ShedCandidate().Sequence, uint64(5))
	q.Remove(q.ShedCandidate())
	assert.Equal(t, q.ShedCandidate().Sequence, uint64(3))
	q.Remove(q.ShedCandidate())
	assert.Equal(t, q.ShedCandidate().Sequence, uint64(1))
	q.Remove(q.ShedCandidate())
	lowest, ok := q.LowestRank()
	assert.Assert(t, ok)
	assert.Equal(t, lowest, structs.Rank(0))
}

func TestPostponedItemsRunLast(t *testing.T) {
	q := New()
	first := newItem(1, 0, "a", 0)
	q.Push(first)
	q.Push(newItem(2, 0, "a", time.Second))
	q.Postpone(first)
	assert.Equal(t, pop(q).Sequence, uint64(2))
	assert.Equal(t, pop(q).Sequence, uint64(1))
}

func TestDueTimePrefersSmallWorkWithinAgeLimit(t *testing.T) {
	o := Ordering{SizeFactor: 2, AgeLimit: 20 * time.Second, DeadlineMargin: 1.5}
	brief := o.DueTime(start, time.Time{}, 30*time.Second)
	label := o.DueTime(start.Add(5*time.Second), time.Time{}, 300*time.Millisecond)
	assert.Assert(t, label.Before(brief))
	lateLabel := o.DueTime(start.Add(21*time.Second), time.Time{}, 0)
	assert.Assert(t, brief.Before(lateLabel))
	pressed := o.DueTime(start, start.Add(31*time.Second), 30*time.Second)
	assert.Assert(t, pressed.Before(label))
}

func TestSetAsideItemIsSkippedUntilResumed(t *testing.T) {
	q := New()
	first, late := newItem(1, 0, "a", 0), newItem(3, 0, "b", 0)
	q.Push(first)
	q.Push(newItem(2, 0, "a", time.Second))
	q.Push(late)
	q.SetAside(first)
	q.Postpone(late)
	assert.Equal(t, pop(q).Sequence, uint64(2))
	assert.Assert(t, q.Head(0) == nil, "postponed items must wait for items that are set aside")
	q.Resume(1)
	assert.Equal(t, pop(q).Sequence, uint64(1))
	assert.Equal(t, pop(q).Sequence, uint64(3))
	assert.Equal(t, q.Len(), 0)
}
