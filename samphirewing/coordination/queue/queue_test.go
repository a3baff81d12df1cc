package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(n int, rank structs.Rank, organisation string, due time.Duration) *Item {
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
	q.Heads(func(it *Item) bool { first = it; return false })
	q.Remove(first)
	return first
}

func TestTiersAreStrict(t *testing.T) {
	q := New()
	q.Push(item(1, 2, "a", 0))
	q.Push(item(2, 0, "a", time.Hour))
	q.Push(item(3, 1, "a", 0))
	for _, want := range []structs.Rank{0, 1, 2} {
		assert.Equal(t, pop(q).Rank, want)
	}
	assert.Equal(t, q.Len(), 0)
}

func TestOrganisationsShareByWeight(t *testing.T) {
	q := New()
	for i := range 300 {
		q.Push(item(2*i, 0, "a", time.Duration(i)))
		q.Push(item(2*i+1, 0, "b", time.Duration(i)))
	}
	served := map[structs.OrganisationName]int{}
	weights := map[structs.OrganisationName]float64{"a": 2, "b": 1}
	for range 300 {
		it := pop(q)
		served[it.Organisation]++
		q.Charge(0, it.Organisation, weights[it.Organisation], 10)
	}
	assert.Assert(t, served["a"] >= 199 && served["a"] <= 201, "a got %d of 300", served["a"])
}

func TestIdleOrganisationSavesNoCredit(t *testing.T) {
	q := New()
	for i := range 100 {
		q.Push(item(i, 0, "busy", 0))
	}
	for range 50 {
		pop(q)
		q.Charge(0, "busy", 1, 10)
	}
	for i := range 50 {
		q.Push(item(1000+i, 0, "back", 0))
	}
	back := 0
	for range 20 {
		it := pop(q)
		q.Charge(0, it.Organisation, 1, 10)
		if it.Organisation == "back" {
			back++
		}
	}
	assert.Assert(t, back >= 9 && back <= 11, "returning organisation got %d of 20", back)
}

func TestShedTakesYoungestOfMostServed(t *testing.T) {
	q := New()
	for i := range 6 {
		q.Push(item(i, structs.Rank(i%2), []string{"a", "b"}[i/3], 0))
	}
	q.Charge(1, "b", 1, 100)
	assert.Equal(t, q.ShedCandidate().Sequence, uint64(5))
	q.Remove(q.ShedCandidate())
	assert.Equal(t, q.ShedCandidate().Sequence, uint64(3))
	q.Remove(q.ShedCandidate())
	assert.Equal(t, q.ShedCandidate().Sequence, uint64(1))
	q.Remove(q.ShedCandidate())
	lowest, ok := q.Lowest()
	assert.Assert(t, ok)
	assert.Equal(t, lowest, structs.Rank(0))
}

func TestPostponedItemsGoLast(t *testing.T) {
	q := New()
	first := item(1, 0, "a", 0)
	q.Push(first)
	q.Push(item(2, 0, "a", time.Second))
	q.Postpone(first)
	assert.Equal(t, pop(q).Sequence, uint64(2))
	assert.Equal(t, pop(q).Sequence, uint64(1))
}

func TestDueTimePutsLabelsBeforeBriefsAndAges(t *testing.T) {
	o := Ordering{SizeFactor: 2, AgeLimit: 20 * time.Second, DeadlineMargin: 1.5}
	brief := o.DueTime(start, time.Time{}, 30*time.Second)
	label := o.DueTime(start.Add(5*time.Second), time.Time{}, 300*time.Millisecond)
	assert.Assert(t, label.Before(brief))
	lateLabel := o.DueTime(start.Add(21*time.Second), time.Time{}, 0)
	assert.Assert(t, brief.Before(lateLabel))
	pressed := o.DueTime(start, start.Add(31*time.Second), 30*time.Second)
	assert.Assert(t, pressed.Before(label))
}

func TestItemsAsideLetOthersPassUntilResumed(t *testing.T) {
	q := New()
	first, late := item(1, 0, "a", 0), item(3, 0, "b", 0)
	q.Push(first)
	q.Push(item(2, 0, "a", time.Second))
	q.Push(late)
	q.SetAside(first)
	q.Postpone(late)
	assert.Equal(t, pop(q).Sequence, uint64(2))
	assert.Assert(t, q.Head(0) == nil, "late work must wait for work that is aside")
	q.Resume(1)
	assert.Equal(t, pop(q).Sequence, uint64(1))
	assert.Equal(t, pop(q).Sequence, uint64(3))
	assert.Equal(t, q.Len(), 0)
}
