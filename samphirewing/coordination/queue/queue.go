// Package queue orders waiting requests: strictly by tier, within a tier by
// weighted fair queueing among organisations, and within an organisation by a
// due time that grows with the size of the work.
//
// Every operation takes time logarithmic in the number of waiting items.
package queue

import (
	"sort"

	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Queue holds the waiting items of one pool shard. It is not safe for
// concurrent use.
type Queue struct {
	// lanes is sorted by rank, then target.
	lanes []*lane
	// tiers is sorted by rank.
	tiers  []*tier
	length int
}

// lane holds the waiting items of one target in one tier.
type lane struct {
	target structs.Target
	tier   *tier
	// flows holds the organisations with queued items, minimum virtual time
	// first.
	flows *indexheap.Heap[*flow]
	// setAside holds items that fit no endpoint now, in order of arrival.
	setAside *indexheap.Heap[*Item]
	// postponed holds items that would miss their deadline even if started now.
	// They run after all other items of the lane.
	postponed *indexheap.Heap[*Item]
	byName    map[structs.OrganisationName]*flow
}

// flow holds the queued items of one organisation in one lane.
type flow struct {
	account   *account
	lane      *lane
	items     *indexheap.Heap[*Item]
	heapIndex int
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item that is in no queue.
func (q *Queue) Push(item *Item) {
	l := q.lane(item.Target, item.Rank)
	f := l.flow(item.Organisation)
	item.flow = f
	item.state = stateQueued
	f.account.add(item)
	f.push(item)
	q.length++
}

// Remove removes a waiting item.
func (q *Queue) Remove(item *Item) {
	item.flow.account.remove(item)
	item.detach()
	item.flow = nil
	q.length--
}

// SetAside takes an item out of the order until Resume, because no endpoint has
// room for it now, though some may have room for other items.
func (q *Queue) SetAside(item *Item) { item.moveTo(stateSetAside) }

// Postpone moves an item behind all other items of its tier and target, because
// it can no longer meet its deadline.
func (q *Queue) Postpone(item *Item) { item.moveTo(statePostponed) }

// Heads calls f with the first item of every lane, most urgent tier first,
// until f returns false. f must not change the queue.
func (q *Queue) Heads(f func(*Item) bool) {
	for _, l := range q.lanes {
		item := l.head()
		if item != nil && !f(item) {
			return
		}
	}
}

// LaneCount returns the number of lanes: the pairs of target and tier that the
// queue has had items of.
func (q *Queue) LaneCount() int { return len(q.lanes) }

// Head returns the first item of a lane, or nil. Lanes are numbered from the
// most urgent tier on.
func (q *Queue) Head(lane int) *Item { return q.lanes[lane].head() }

// Resume returns up to limit items of each lane that were set aside to the
// order, oldest first.
func (q *Queue) Resume(limit int) {
	for _, l := range q.lanes {
		for n := 0; n < limit && l.setAside.Len() > 0; n++ {
			q.ResumeItem(l.setAside.Min())
		}
	}
}

// ResumeItem returns an item to the order if it was set aside.
func (q *Queue) ResumeItem(item *Item) {
	if item.flow == nil || item.state != stateSetAside {
		return
	}
	item.detach()
	item.state = stateQueued
	item.flow.push(item)
}

// LowestRank returns the least urgent rank with waiting items.
func (q *Queue) LowestRank() (structs.Rank, bool) {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].waiting > 0 {
			return q.tiers[i].rank, true
		}
	}
	return 0, false
}

// WaitingAt returns the number of waiting items of a rank.
func (q *Queue) WaitingAt(rank structs.Rank) int {
	if t := q.findTier(rank); t != nil {
		return t.waiting
	}
	return 0
}

// ShedCandidate returns the newest item of the most served organisation in the
// least urgent tier with waiting items, or nil.
func (q *Queue) ShedCandidate() *Item {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].waiting > 0 {
			return q.tiers[i].mostServed.Min().newest()
		}
	}
	return nil
}

// Charge adds cost, divided by the weight, to the service that an organisation
// has received in a tier. A negative cost is a refund.
func (q *Queue) Charge(rank structs.Rank, organisation structs.OrganisationName, weight, cost float64) {
	t := q.tierFor(rank)
	a := t.account(organisation)
	if cost > 0 {
		t.virtualTime = max(t.virtualTime, t.minVirtualTime(a.virtualTime))
	}
	a.virtualTime += cost / positiveWeight(weight)
	a.fixHeaps()
}

// Sweep removes organisations without waiting items whose past service no
// longer affects the order.
func (q *Queue) Sweep() {
	for _, t := range q.tiers {
		t.sweep()
	}
	for _, l := range q.lanes {
		l.sweep()
	}
}

func (q *Queue) lane(target structs.Target, rank structs.Rank) *lane {
	i := sort.Search(len(q.lanes), func(i int) bool {
		l := q.lanes[i]
		if l.tier.rank != rank {
			return l.tier.rank > rank
		}
		return l.target >= target
	})
	if i < len(q.lanes) && q.lanes[i].target == target && q.lanes[i].tier.rank == rank {
		return q.lanes[i]
	}
	l := newLane(target, q.tierFor(rank))
	q.lanes = append(q.lanes, nil)
	copy(q.lanes[i+1:], q.lanes[i:])
	q.lanes[i] = l
	return l
}

func newLane(target structs.Target, t *tier) *lane {
	return &lane{
		target:    target,
		tier:      t,
		flows:     indexheap.New(flowBefore, func(f *flow, i int) { f.heapIndex = i }),
		setAside:  indexheap.New(itemArrivedBefore, func(item *Item, i int) { item.heapIndex = i }),
		postponed: indexheap.New(itemArrivedBefore, func(item *Item, i int) { item.heapIndex = i }),
		byName:    map[structs.OrganisationName]*flow{},
	}
}

func (l *lane) head() *Item {
	if l.flows.Len() > 0 {
		return l.flows.Min().items.Min()
	}
	if l.postponed.Len() > 0 && l.setAside.Len() == 0 {
		return l.postponed.Min()
	}
	return nil
}

func (l *lane) flow(o structs.OrganisationName) *flow {
	if f, ok := l.byName[o]; ok {
		return f
	}
	f := &flow{
		account:   l.tier.account(o),
		lane:      l,
		items:     indexheap.New(itemDueBefore, func(item *Item, i int) { item.heapIndex = i }),
		heapIndex: indexheap.Absent,
	}
	f.account.flows = append(f.account.flows, f)
	l.byName[o] = f
	return f
}

func (l *lane) sweep() {
	for name, f := range l.byName {
		if f.account.removed {
			delete(l.byName, name)
		}
	}
}

func (f *flow) push(item *Item) {
	f.items.Push(item)
	if f.heapIndex == indexheap.Absent {
		f.lane.flows.Push(f)
	}
}

func (f *flow) remove(item *Item) {
	f.items.Remove(item.heapIndex)
	if f.items.Len() == 0 {
		f.lane.flows.Remove(f.heapIndex)
	}
}

func flowBefore(a, b *flow) bool {
	if a.account.virtualTime != b.account.virtualTime {
		return a.account.virtualTime < b.account.virtualTime
	}
	return a.account.name < b.account.name
}
