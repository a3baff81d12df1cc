package dispatch

import (
	"container/heap"
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// waitingQueue orders queued requests by rank, then those that can still meet
// their target before late ones, then by arrival.
// Invariant: rankCounts holds the number of items of each rank present, and
// lateCounts how many of them are late.
type waitingQueue struct {
	items        []*Request
	rankCounts   map[structs.Rank]int
	lateCounts   map[structs.Rank]int
	lastSequence uint64
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
	q.items[i].queueIndex, q.items[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *waitingQueue) Push(x any) {
	r := x.(*Request)
	r.queueIndex = len(q.items)
	q.items = append(q.items, r)
	if q.rankCounts == nil {
		q.rankCounts, q.lateCounts = map[structs.Rank]int{}, map[structs.Rank]int{}
	}
	q.rankCounts[r.Rank]++
	if r.late {
		q.lateCounts[r.Rank]++
	}
}

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(q.items) - 1
	r := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	r.queueIndex = -1
	if q.rankCounts[r.Rank]--; q.rankCounts[r.Rank] == 0 {
		delete(q.rankCounts, r.Rank)
	}
	if r.late {
		q.lateCounts[r.Rank]--
	}
	return r
}

// onTime returns how many requests of a rank can still meet their target.
func (q *waitingQueue) onTime(rank structs.Rank) int { return q.rankCounts[rank] - q.lateCounts[rank] }

func (q *waitingQueue) add(r *Request) {
	q.lastSequence++
	r.sequence = q.lastSequence
	heap.Push(q, r)
}

func (q *waitingQueue) remove(r *Request) bool {
	if r.queueIndex < 0 || r.queueIndex >= len(q.items) || q.items[r.queueIndex] != r {
		return false
	}
	heap.Remove(q, r.queueIndex)
	return true
}

// markLate moves requests that have missed their target behind the others of
// the same rank.
func (q *waitingQueue) markLate(now time.Time) {
	changed := false
	for _, r := range q.items {
		if !r.late && now.Sub(r.Arrived) > r.Target {
			r.late, changed = true, true
			q.lateCounts[r.Rank]++
		}
	}
	if changed {
		heap.Init(q)
	}
}

// removeExpired removes and returns the requests that are past StartBy.
func (q *waitingQueue) removeExpired(now time.Time) []*Request {
	return q.removeAll(func(r *Request) bool { return now.After(r.StartBy) })
}

// removeAll removes and returns the requests for which a condition holds.
func (q *waitingQueue) removeAll(condition func(*Request) bool) []*Request {
	var all []*Request
	for _, r := range q.items {
		if condition(r) {
			all = append(all, r)
		}
	}
	for _, r := range all {
		q.remove(r)
	}
	return all
}

// placementRates is the recent rate of placements by rank. The rates of less
// urgent ranks already reflect the more urgent requests that arrive later.
type placementRates struct {
	byRank map[structs.Rank]*decayingCount
}

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// rateWindow is the time constant of the rates: long enough to cover several
// grants, short enough to follow a burst.
const rateWindow = time.Second

func (d *decayingCount) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.count *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		d.updatedAt = now
	}
}

func (p *placementRates) record(now time.Time, rank structs.Rank) {
	if p.byRank == nil {
		p.byRank = map[structs.Rank]*decayingCount{}
	}
	d := p.byRank[rank]
	if d == nil {
		d = &decayingCount{updatedAt: now}
		p.byRank[rank] = d
	}
	d.decay(now)
	d.count++
}

func (p *placementRates) rate(now time.Time, rank structs.Rank) float64 {
	return p.sum(now, func(r structs.Rank) bool { return r == rank })
}

// aboveRank returns the placement rate of the ranks more urgent than this one.
func (p *placementRates) aboveRank(now time.Time, rank structs.Rank) float64 {
	return p.sum(now, func(r structs.Rank) bool { return r < rank })
}

func (p *placementRates) total(now time.Time) float64 {
	return p.sum(now, func(structs.Rank) bool { return true })
}

func (p *placementRates) sum(now time.Time, counts func(structs.Rank) bool) float64 {
	sum := 0.0
	for r, d := range p.byRank {
		if counts(r) {
			d.decay(now)
			sum += d.count
		}
	}
	return sum / rateWindow.Seconds()
}
