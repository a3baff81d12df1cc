package dispatch

import (
	"container/heap"
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// waitingQueue orders what waits: by rank, then those that can still meet
// their target before those that cannot, then by arrival.
// Invariant: ranks holds how many items there are of each rank that has any,
// lates how many of them are marked late.
type waitingQueue struct {
	items []*Request
	ranks map[structs.Rank]int
	lates map[structs.Rank]int
	next  uint64
}

func (q *waitingQueue) Len() int { return len(q.items) }

func (q *waitingQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.late != b.late {
		return !a.late
	}
	return a.sequence < b.sequence
}

func (q *waitingQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].position, q.items[j].position = i, j
}

// Push is part of heap.Interface.
func (q *waitingQueue) Push(x any) {
	r := x.(*Request)
	r.position = len(q.items)
	q.items = append(q.items, r)
	if q.ranks == nil {
		q.ranks, q.lates = map[structs.Rank]int{}, map[structs.Rank]int{}
	}
	q.ranks[r.Rank]++
	if r.late {
		q.lates[r.Rank]++
	}
}

// Pop is part of heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(q.items) - 1
	r := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	r.position = -1
	if q.ranks[r.Rank]--; q.ranks[r.Rank] == 0 {
		delete(q.ranks, r.Rank)
	}
	if r.late {
		q.lates[r.Rank]--
	}
	return r
}

// inTime returns how many requests of a rank can still meet their target.
func (q *waitingQueue) inTime(rank structs.Rank) int { return q.ranks[rank] - q.lates[rank] }

func (q *waitingQueue) add(r *Request) {
	q.next++
	r.sequence = q.next
	heap.Push(q, r)
}

func (q *waitingQueue) remove(r *Request) bool {
	if r.position < 0 || r.position >= len(q.items) || q.items[r.position] != r {
		return false
	}
	heap.Remove(q, r.position)
	return true
}

// markLate moves requests that passed their target behind those of the same
// rank that have not.
func (q *waitingQueue) markLate(now time.Time) {
	changed := false
	for _, r := range q.items {
		if !r.late && now.Sub(r.Arrived) > r.Target {
			r.late, changed = true, true
			q.lates[r.Rank]++
		}
	}
	if changed {
		heap.Init(q)
	}
}

// expired removes and returns the requests whose last useful start has passed.
func (q *waitingQueue) expired(now time.Time) []*Request {
	var all []*Request
	for _, r := range q.items {
		if now.After(r.StartBy) {
			all = append(all, r)
		}
	}
	for _, r := range all {
		q.remove(r)
	}
	return all
}

// placedRates is how many requests of each rank were placed lately. More urgent
// work that comes later is in the rates of the ranks below it.
type placedRates struct {
	ranks map[structs.Rank]*decaying
}

// decaying is a count that fades.
type decaying struct {
	count float64
	at    time.Time
}

// rateMemory is the time over which rates are averaged: long enough for a few
// grants, short enough to follow a burst.
const rateMemory = time.Second

func (d *decaying) fade(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.count *= math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
		d.at = now
	}
}

func (p *placedRates) placed(now time.Time, rank structs.Rank) {
	if p.ranks == nil {
		p.ranks = map[structs.Rank]*decaying{}
	}
	d := p.ranks[rank]
	if d == nil {
		d = &decaying{at: now}
		p.ranks[rank] = d
	}
	d.fade(now)
	d.count++
}

// rate returns the rate of one rank.
func (p *placedRates) rate(now time.Time, rank structs.Rank) float64 {
	return p.sum(now, func(r structs.Rank) bool { return r == rank })
}

// moreUrgent returns the rate at which ranks above this one were placed.
func (p *placedRates) moreUrgent(now time.Time, rank structs.Rank) float64 {
	return p.sum(now, func(r structs.Rank) bool { return r < rank })
}

// all returns the rate of all ranks.
func (p *placedRates) all(now time.Time) float64 {
	return p.sum(now, func(structs.Rank) bool { return true })
}

func (p *placedRates) sum(now time.Time, counts func(structs.Rank) bool) float64 {
	sum := 0.0
	for r, d := range p.ranks {
		if counts(r) {
			d.fade(now)
			sum += d.count
		}
	}
	return sum / rateMemory.Seconds()
}
