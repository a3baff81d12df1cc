package queue

import (
	"sort"

	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/state/structs"
)

// class holds the organisations of one tier.
type class struct {
	rank structs.Rank
	// clock is the virtual time of the last service; an organisation that
	// comes back from idle starts here, so that it saves up no credit.
	clock   float64
	waiting int
	// tickets counts the times that an item joined.
	tickets  uint64
	accounts map[structs.OrganisationName]*account
	// byMostServed holds the organisations with waiting work, most served first.
	byMostServed *indexheap.Heap[*account]
	// byLeastServed holds the same organisations, least served first.
	byLeastServed *indexheap.Heap[*account]
}

// account is what one organisation has been served in one tier.
type account struct {
	name  structs.OrganisationName
	class *class
	// virtual is the served cost divided by the organisation's weight.
	virtual float64
	waiting int
	// arrivals holds the waiting items in order of arrival, among items that
	// have left; at most half are such, but for a small constant.
	arrivals []arrival
	departed int
	flows    []*flow
	most     int
	least    int
	gone     bool
}

// arrival remembers an item and the ticket it joined with.
type arrival struct {
	item   *Item
	ticket uint64
}

const compactFloor = 16

func (q *Queue) findClass(r structs.Rank) *class {
	i := sort.Search(len(q.classes), func(i int) bool { return q.classes[i].rank >= r })
	if i < len(q.classes) && q.classes[i].rank == r {
		return q.classes[i]
	}
	return nil
}

func (q *Queue) class(r structs.Rank) *class {
	if c := q.findClass(r); c != nil {
		return c
	}
	c := &class{
		rank:          r,
		accounts:      map[structs.OrganisationName]*account{},
		byMostServed:  indexheap.New(moreServed, func(a *account, i int) { a.most = i }),
		byLeastServed: indexheap.New(lessServed, func(a *account, i int) { a.least = i }),
	}
	q.classes = append(q.classes, c)
	sort.Slice(q.classes, func(i, j int) bool { return q.classes[i].rank < q.classes[j].rank })
	return c
}

func (c *class) account(o structs.OrganisationName) *account {
	if a, ok := c.accounts[o]; ok {
		return a
	}
	a := &account{
		name:    o,
		class:   c,
		virtual: c.clock,
		most:    indexheap.Absent,
		least:   indexheap.Absent,
	}
	c.accounts[o] = a
	return a
}

// leastVirtual returns the least virtual time among the organisations that
// wait, at most the given value.
func (c *class) leastVirtual(atMost float64) float64 {
	if c.byLeastServed.Len() == 0 {
		return atMost
	}
	return min(atMost, c.byLeastServed.Min().virtual)
}

func (c *class) sweep() {
	for name, a := range c.accounts {
		if a.waiting == 0 && a.virtual <= c.clock {
			a.gone = true
			delete(c.accounts, name)
		}
	}
}

func (a *account) join(it *Item) {
	if a.waiting == 0 {
		a.virtual = max(a.virtual, a.class.clock)
		a.class.byMostServed.Push(a)
		a.class.byLeastServed.Push(a)
	}
	a.waiting++
	a.class.waiting++
	a.class.tickets++
	it.ticket = a.class.tickets
	a.arrivals = append(a.arrivals, arrival{item: it, ticket: it.ticket})
}

func (a *account) leave(it *Item) {
	a.waiting--
	a.class.waiting--
	a.departed++
	if a.waiting == 0 {
		a.class.byMostServed.Remove(a.most)
		a.class.byLeastServed.Remove(a.least)
		a.arrivals = nil
		a.departed = 0
		return
	}
	if a.departed > len(a.arrivals)/2 && len(a.arrivals) > compactFloor {
		a.compact(it)
	}
}

// compact drops what has left, among it the item that is leaving now.
func (a *account) compact(leaving *Item) {
	kept := make([]arrival, 0, a.waiting)
	for _, r := range a.arrivals {
		if r.item != leaving && a.holds(r) {
			kept = append(kept, r)
		}
	}
	a.arrivals = kept
	a.departed = 0
}

func (a *account) holds(r arrival) bool {
	return r.item.flow != nil && r.item.flow.account == a && r.item.ticket == r.ticket
}

func (a *account) youngest() *Item {
	for len(a.arrivals) > 0 {
		last := len(a.arrivals) - 1
		if a.holds(a.arrivals[last]) {
			return a.arrivals[last].item
		}
		a.arrivals[last] = arrival{}
		a.arrivals = a.arrivals[:last]
		a.departed--
	}
	return nil
}

// reorder restores every heap that is ordered by the virtual time.
func (a *account) reorder() {
	if a.waiting > 0 {
		a.class.byMostServed.Fix(a.most)
		a.class.byLeastServed.Fix(a.least)
	}
	for _, f := range a.flows {
		if f.position != indexheap.Absent {
			f.lane.flows.Fix(f.position)
		}
	}
}

func moreServed(a, b *account) bool {
	if a.virtual != b.virtual {
		return a.virtual > b.virtual
	}
	return a.name < b.name
}

func lessServed(a, b *account) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

func positiveWeight(w float64) float64 {
	if w > 0 {
		return w
	}
	return 1
}
