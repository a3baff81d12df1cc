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
	// Due orders the items of one organisation; see Ordering.DueTime.
	Due time.Time
	// Sequence is the order of arrival, unique in the queue.
	Sequence uint64

	flow      *flow
	heapIndex int
	ticket    uint64
	state     itemState
}

// itemState is the part of its lane in which an item waits.
type itemState int8

const (
	stateQueued itemState = iota
	stateSetAside
	statePostponed
)

// Queued reports whether the item is in a queue.
func (item *Item) Queued() bool { return item.flow != nil }

// Postponed reports whether the item was postponed.
func (item *Item) Postponed() bool { return item.state == statePostponed }

// moveTo moves a waiting item to another part of its lane.
func (item *Item) moveTo(to itemState) {
	if item.state == to {
		return
	}
	item.detach()
	item.state = to
	if to == stateSetAside {
		item.flow.lane.setAside.Push(item)
		return
	}
	item.flow.lane.postponed.Push(item)
}

// detach removes the item from the heap that it is in.
func (item *Item) detach() {
	switch item.state {
	case stateSetAside:
		item.flow.lane.setAside.Remove(item.heapIndex)
	case statePostponed:
		item.flow.lane.postponed.Remove(item.heapIndex)
	default:
		item.flow.remove(item)
	}
}

func itemDueBefore(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.Sequence < b.Sequence
}

func itemArrivedBefore(a, b *Item) bool { return a.Sequence < b.Sequence }

// Ordering configures DueTime.
type Ordering struct {
	// SizeFactor is the delay of the due time after the arrival, as a multiple
	// of the estimated run time.
	SizeFactor float64
	// AgeLimit bounds that delay, and so how long smaller work that arrived
	// later may overtake an item.
	AgeLimit time.Duration
	// DeadlineMargin is the time reserved before the deadline, as a multiple of
	// the estimated run time.
	DeadlineMargin float64
}

// DueTime returns when an item that arrived at the given time should start.
// Small work is due soon after its arrival and large work later, but not later
// than the deadline allows. A zero deadline means none.
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
