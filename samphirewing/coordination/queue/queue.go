// Package queue orders waiting requests: strictly by tier, inside a tier by
// weighted fair queueing among organisations, and inside an organisation by a
// due time that grows with the size of the work.
//
// Every operation takes time logarithmic in what waits.
package queue

import (
	"sort"

	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Queue holds what waits in one pool shard.
type Queue struct {
	// lanes is sorted by rank, then target.
	lanes []*lane
	// classes is sorted by rank.
	classes []*class
	length  int
}

// lane holds what waits for one target in one tier.
type lane struct {
	target structs.Target
	class  *class
	// flows holds the organisations with work, least virtual time first.
	flows *indexheap.Heap[*flow]
	// aside holds work that fits no endpoint now, in order of arrival.
	aside *indexheap.Heap[*Item]
	// late holds work that would miss its deadline even if started now; it
	// runs after all other work of the lane.
	late   *indexheap.Heap[*Item]
	byName map[structs.OrganisationName]*flow
}

// flow holds what waits of one organisation in one lane.
type flow struct {
	account  *account
	lane     *lane
	items    *indexheap.Heap[*Item]
	position int
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len returns how many items wait.
func (q *Queue) Len() int { return q.length }

// Push adds an item that is in no queue.
func (q *Queue) Push(it *Item) {
	l := q.lane(it.Target, it.Rank)
	f := l.flow(it.Organisation)
	it.flow = f
	it.state = inOrder
	f.account.join(it)
	f.push(it)
	q.length++
}

// Remove takes out an item that waits.
func (q *Queue) Remove(it *Item) {
	it.flow.account.leave(it)
	it.detach()
	it.flow = nil
	q.length--
}

// SetAside takes an item out of the order until Resume, because nothing has
// room for it now that may have room for others.
func (q *Queue) SetAside(it *Item) { it.move(inAside) }

// Postpone moves an item behind all other work of its tier and target,
// because it can no longer meet its deadline.
func (q *Queue) Postpone(it *Item) { it.move(inLate) }

// Heads calls f with the first item of every target and tier, most urgent
// tier first, until f returns false. f must not change the queue.
func (q *Queue) Heads(f func(*Item) bool) {
	for _, l := range q.lanes {
		it := l.head()
		if it != nil && !f(it) {
			return
		}
	}
}

// Lanes returns how many pairs of target and tier the queue has seen.
func (q *Queue) Lanes() int { return len(q.lanes) }

// Head returns the first item of a lane, or nil. Lanes are numbered from the
// most urgent tier on.
func (q *Queue) Head(lane int) *Item { return q.lanes[lane].head() }

// Resume puts up to limit items of each lane that were set aside back in
// their order, the oldest first.
func (q *Queue) Resume(limit int) {
	for _, l := range q.lanes {
		for n := 0; n < limit && l.aside.Len() > 0; n++ {
			q.ResumeItem(l.aside.Min())
		}
	}
}

// ResumeItem puts an item back in its order if it was set aside.
func (q *Queue) ResumeItem(it *Item) {
	if it.flow == nil || it.state != inAside {
		return
	}
	it.detach()
	it.state = inOrder
	it.flow.push(it)
}

// Lowest returns the least urgent rank that waits.
func (q *Queue) Lowest() (structs.Rank, bool) {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].waiting > 0 {
			return q.classes[i].rank, true
		}
	}
	return 0, false
}

// Waiting returns how many items of a rank wait.
func (q *Queue) Waiting(rank structs.Rank) int {
	if c := q.findClass(rank); c != nil {
		return c.waiting
	}
	return 0
}

// ShedCandidate returns the youngest item of the most served organisation in
// the least urgent tier that waits, or nil.
func (q *Queue) ShedCandidate() *Item {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].waiting > 0 {
			return q.classes[i].byMostServed.Min().youngest()
		}
	}
	return nil
}

// Charge adds work done for an organisation in a tier, in cost units; a
// negative cost refunds.
func (q *Queue) Charge(rank structs.Rank, organisation structs.OrganisationName, weight, cost float64) {
	c := q.class(rank)
	a := c.account(organisation)
	if cost > 0 {
		c.clock = max(c.clock, c.leastVirtual(a.virtual))
	}
	a.virtual += cost / positiveWeight(weight)
	a.reorder()
}

// Sweep forgets organisations that have nothing waiting and whose past
// service no longer counts against them.
func (q *Queue) Sweep() {
	for _, c := range q.classes {
		c.sweep()
	}
	for _, l := range q.lanes {
		l.sweep()
	}
}

func (q *Queue) lane(t structs.Target, r structs.Rank) *lane {
	i := sort.Search(len(q.lanes), func(i int) bool {
		l := q.lanes[i]
		if l.class.rank != r {
			return l.class.rank > r
		}
		return l.target >= t
	})
	if i < len(q.lanes) && q.lanes[i].target == t && q.lanes[i].class.rank == r {
		return q.lanes[i]
	}
	l := newLane(t, q.class(r))
	q.lanes = append(q.lanes, nil)
	copy(q.lanes[i+1:], q.lanes[i:])
	q.lanes[i] = l
	return l
}

func newLane(t structs.Target, c *class) *lane {
	return &lane{
		target: t,
		class:  c,
		flows:  indexheap.New(flowLess, func(f *flow, i int) { f.position = i }),
		aside:  indexheap.New(itemArrivedBefore, func(it *Item, i int) { it.position = i }),
		late:   indexheap.New(itemArrivedBefore, func(it *Item, i int) { it.position = i }),
		byName: map[structs.OrganisationName]*flow{},
	}
}

func (l *lane) head() *Item {
	if l.flows.Len() > 0 {
		return l.flows.Min().items.Min()
	}
	if l.late.Len() > 0 && l.aside.Len() == 0 {
		return l.late.Min()
	}
	return nil
}

func (l *lane) flow(o structs.OrganisationName) *flow {
	if f, ok := l.byName[o]; ok {
		return f
	}
	f := &flow{
		account:  l.class.account(o),
		lane:     l,
		items:    indexheap.New(itemDueBefore, func(it *Item, i int) { it.position = i }),
		position: indexheap.Absent,
	}
	f.account.flows = append(f.account.flows, f)
	l.byName[o] = f
	return f
}

func (l *lane) sweep() {
	for name, f := range l.byName {
		if f.account.gone {
			delete(l.byName, name)
		}
	}
}

func (f *flow) push(it *Item) {
	f.items.Push(it)
	if f.position == indexheap.Absent {
		f.lane.flows.Push(f)
	}
}

func (f *flow) remove(it *Item) {
	f.items.Remove(it.position)
	if f.items.Len() == 0 {
		f.lane.flows.Remove(f.position)
	}
}

func flowLess(a, b *flow) bool {
	if a.account.virtual != b.account.virtual {
		return a.account.virtual < b.account.virtual
	}
	return a.account.name < b.account.name
}
