package queue

import (
	"sort"

	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/state/structs"
)

// tier holds the organisations of one tier.
type tier struct {
	rank structs.Rank
	// virtualTime is the virtual time of the last service. An organisation
	// that was idle starts from it, so that it accrues no credit.
	virtualTime float64
	waiting     int
	// lastTicket is the ticket of the item that was added last.
	lastTicket uint64
	accounts   map[structs.OrganisationName]*account
	// mostServed holds the organisations with waiting items, most served first.
	mostServed *indexheap.Heap[*account]
	// leastServed holds the same organisations, least served first.
	leastServed *indexheap.Heap[*account]
}

// account is the service that one organisation has received in one tier.
type account struct {
	name structs.OrganisationName
	tier *tier
	// virtualTime is the served cost divided by the organisation's weight.
	virtualTime float64
	waiting     int
	// arrivals holds the waiting items in order of arrival, and items that have
	// left the queue and are not yet compacted. Above minCompactLen at most
	// half of the records are of the latter kind.
	arrivals []arrival
	// departed counts the records in arrivals whose items have left.
	departed         int
	flows            []*flow
	mostServedIndex  int
	leastServedIndex int
	removed          bool
}

// arrival records an item and the ticket with which it was added. The ticket
// distinguishes repeated additions of one item.
type arrival struct {
	item   *Item
	ticket uint64
}

// minCompactLen is the number of records above which arrivals is compacted.
const minCompactLen = 16

// findTier returns the tier of a rank, or nil.
func (q *Queue) findTier(r structs.Rank) *tier {
	i := sort.Search(len(q.tiers), func(i int) bool { return q.tiers[i].rank >= r })
	if i < len(q.tiers) && q.tiers[i].rank == r {
		return q.tiers[i]
	}
	return nil
}

// tierFor returns the tier of a rank and creates it if necessary.
func (q *Queue) tierFor(r structs.Rank) *tier {
	if t := q.findTier(r); t != nil {
		return t
	}
	t := &tier{
		rank:        r,
		accounts:    map[structs.OrganisationName]*account{},
		mostServed:  indexheap.New(moreServed, func(a *account, i int) { a.mostServedIndex = i }),
		leastServed: indexheap.New(lessServed, func(a *account, i int) { a.leastServedIndex = i }),
	}
	q.tiers = append(q.tiers, t)
	sort.Slice(q.tiers, func(i, j int) bool { return q.tiers[i].rank < q.tiers[j].rank })
	return t
}

func (t *tier) account(o structs.OrganisationName) *account {
	if a, ok := t.accounts[o]; ok {
		return a
	}
	a := &account{
		name:             o,
		tier:             t,
		virtualTime:      t.virtualTime,
		mostServedIndex:  indexheap.Absent,
		leastServedIndex: indexheap.Absent,
	}
	t.accounts[o] = a
	return a
}

// minVirtualTime returns the minimum virtual time of the organisations with
// waiting items, but at most limit.
func (t *tier) minVirtualTime(limit float64) float64 {
	if t.leastServed.Len() == 0 {
		return limit
	}
	return min(limit, t.leastServed.Min().virtualTime)
}

// sweep removes idle accounts whose past service no longer affects the order.
func (t *tier) sweep() {
	for name, a := range t.accounts {
		if a.waiting == 0 && a.virtualTime <= t.virtualTime {
			a.removed = true
			delete(t.accounts, name)
		}
	}
}

func (a *account) add(item *Item) {
	if a.waiting == 0 {
		a.virtualTime = max(a.virtualTime, a.tier.virtualTime)
		a.tier.mostServed.Push(a)
		a.tier.leastServed.Push(a)
	}
	a.waiting++
	a.tier.waiting++
	a.tier.lastTicket++
	item.ticket = a.tier.lastTicket
	a.arrivals = append(a.arrivals, arrival{item: item, ticket: item.ticket})
}

func (a *account) remove(item *Item) {
	a.waiting--
	a.tier.waiting--
	a.departed++
	if a.waiting == 0 {
		a.tier.mostServed.Remove(a.mostServedIndex)
		a.tier.leastServed.Remove(a.leastServedIndex)
		a.arrivals = nil
		a.departed = 0
		return
	}
	if a.departed > len(a.arrivals)/2 && len(a.arrivals) > minCompactLen {
		a.compact(item)
	}
}

// compact removes the records of items that have left, including the item that
// is being removed now.
func (a *account) compact(leaving *Item) {
	current := make([]arrival, 0, a.waiting)
	for _, r := range a.arrivals {
		if r.item != leaving && a.isCurrent(r) {
			current = append(current, r)
		}
	}
	a.arrivals = current
	a.departed = 0
}

// isCurrent reports whether the record belongs to an item that is still
// waiting.
func (a *account) isCurrent(r arrival) bool {
	return r.item.flow != nil && r.item.flow.account == a && r.item.ticket == r.ticket
}

// newest returns the waiting item that arrived last, or nil.
func (a *account) newest() *Item {
	for len(a.arrivals) > 0 {
		last := len(a.arrivals) - 1
		if a.isCurrent(a.arrivals[last]) {
			return a.arrivals[last].item
		}
		a.arrivals[last] = arrival{}
		a.arrivals = a.arrivals[:last]
		a.departed--
	}
	return nil
}

// fixHeaps restores all heaps that are ordered by the virtual time of the
// account.
func (a *account) fixHeaps() {
	if a.waiting > 0 {
		a.tier.mostServed.Fix(a.mostServedIndex)
		a.tier.leastServed.Fix(a.leastServedIndex)
	}
	for _, f := range a.flows {
		if f.heapIndex != indexheap.Absent {
			f.lane.flows.Fix(f.heapIndex)
		}
	}
}

func moreServed(a, b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime > b.virtualTime
	}
	return a.name < b.name
}

func lessServed(a, b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}

func positiveWeight(w float64) float64 {
	if w > 0 {
		return w
	}
	return 1
}
