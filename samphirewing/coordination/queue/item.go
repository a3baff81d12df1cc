package queue

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Item is one waiting request.
type Item struct {
	ID           structs.RequestID
	Target       structs.Target
	Rank         structs.Rank
	Organisation structs.OrganisationName
	// Due orders the items of one organisation; see DueTime.
	Due time.Time
	// Sequence is the order of arrival, unique in the queue.
	Sequence uint64

	flow     *flow
	position int
	ticket   uint64
	state    itemState
}

// itemState is where in its lane an item waits.
type itemState int8

const (
	inOrder itemState = iota
	inAside
	inLate
)

// Waits tells whether the item is in a queue.
func (it *Item) Waits() bool { return it.flow != nil }

// Late tells whether the item was postponed.
func (it *Item) Late() bool { return it.state == inLate }

// move takes a waiting item to another part of its lane.
func (it *Item) move(to itemState) {
	if it.state == to {
		return
	}
	it.detach()
	it.state = to
	if to == inAside {
		it.flow.lane.aside.Push(it)
		return
	}
	it.flow.lane.late.Push(it)
}

func (it *Item) detach() {
	switch it.state {
	case inAside:
		it.flow.lane.aside.Remove(it.position)
	case inLate:
		it.flow.lane.late.Remove(it.position)
	default:
		it.flow.remove(it)
	}
}

func itemDueBefore(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.Sequence < b.Sequence
}

func itemArrivedBefore(a, b *Item) bool { return a.Sequence < b.Sequence }

// Ordering holds the settings of DueTime.
type Ordering struct {
	// SizeFactor is how many seconds later than its arrival an item is due
	// for each second that it will run.
	SizeFactor float64
	// AgeLimit bounds how long smaller work that came later may go first.
	AgeLimit time.Duration
	// DeadlineMargin is the multiple of the running time that is kept free
	// before the deadline.
	DeadlineMargin float64
}

// DueTime returns when an item that arrived at the given time should start:
// small work soon after its arrival, large work later, never later than the
// deadline allows. A zero deadline means none.
func (o Ordering) DueTime(arrived, deadline time.Time, run time.Duration) time.Time {
	wait := time.Duration(o.SizeFactor * float64(run))
	due := arrived.Add(min(wait, o.AgeLimit))
	if deadline.IsZero() {
		return due
	}
	latest := deadline.Add(-time.Duration(o.DeadlineMargin * float64(run)))
	if latest.Before(due) {
		return latest
	}
	return due
}
