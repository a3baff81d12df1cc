package dispatch

import (
	"slices"
	"time"

	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
	"github.com/samphirewing/samphirewing/state/structs"
)

// queuedRequest is the place of a request in the waiting queue.
type queuedRequest struct {
	// sequence is the arrival order.
	sequence uint64
	// organisation is nil if the request is not queued.
	organisation *organisationQueue
	// previous and next link the requests of an organisation that are not late.
	previous, next *Request
	late           bool
	// returning is set if a client came back as promised.
	returning bool
	// missed is set from the time at which the request is found to be late until it
	// is moved.
	missed bool
	// cost is the endpoint time that the request is expected to take.
	cost fairshare.Cost
	// timer and latePosition are positions in heaps.
	timer, latePosition int
}

// waitingQueue orders queued requests by rank, then those that can still meet
// their target before late ones. Among the former, organisations within their share go
// first in the order of arrival, then the organisation over its share that has used
// least. Late requests are ordered by arrival.
type waitingQueue struct {
	// ranks is sorted by rank. It also holds ranks without queued requests, whose
	// ledgers remember who has used the endpoints.
	ranks  []*rankQueue
	length int
	// timers orders requests by when they become late or expire.
	timers *indexheap.Heap[*Request]
	// missed holds requests that are to be marked as late.
	missed []*Request
	// lastSequence is that of the request added last, lastBound that of the stream added
	// last that goes on. The latter precede all others of their organisation.
	lastSequence, lastBound uint64
}

// firstSequence is the sequence before that of requests which don't go on with a stream.
const firstSequence = 1 << 32

// rankQueue holds the queued requests of one rank.
// Invariant: onTime is the number of requests in lists, and within the number of
// those whose organisation was not over its share at the last update.
type rankQueue struct {
	rank          structs.Rank
	ledger        *fairshare.Ledger
	organisations map[fairshare.Key]*organisationQueue
	// next holds the organisations with requests that are not late.
	next   *indexheap.Heap[*organisationQueue]
	late   *indexheap.Heap[*Request]
	onTime int
	within int
	// returning is the number of requests in lists that came back as promised.
	returning int
	// schedule has the places promised to organisations within their share, overSchedule
	// those promised to the others.
	schedule, overSchedule *retryschedule.Schedule
	// over lists the organisations furthest over their share, as of the last update.
	over []*organisationQueue
	// contendedAt is when a request of the rank last had to wait or was refused, at
	// any daemon.
	contendedAt time.Time
}

// organisationQueue holds the queued requests of one organisation.
type organisationQueue struct {
	rank        *rankQueue
	account     *fairshare.Account
	first, last *Request
	onTime      int
	late        int
	// over is whether the requests were counted as over the share.
	over     bool
	position int
}

func newWaitingQueue() waitingQueue {
	return waitingQueue{timers: indexheap.New(
		func(a, b *Request) bool {
			x, y := a.nextTimer(), b.nextTimer()
			return x.Before(y) || x.Equal(y) && a.queued.sequence < b.queued.sequence
		},
		func(r *Request, position int) { r.queued.timer = position })}
}

func newRankQueue(rank structs.Rank) *rankQueue {
	return &rankQueue{
		rank: rank, ledger: fairshare.New(), schedule: retryschedule.New(), overSchedule: retryschedule.New(), organisations: map[fairshare.Key]*organisationQueue{},
		next: indexheap.New(
			func(a, b *organisationQueue) bool {
				if order := a.account.Compare(b.account); order != 0 {
					return order < 0
				}
				return a.first.queued.sequence < b.first.queued.sequence
			},
			func(o *organisationQueue, position int) { o.position = position }),
		late: indexheap.New(
			func(a, b *Request) bool { return a.queued.sequence < b.queued.sequence },
			func(r *Request, position int) { r.queued.latePosition = position }),
	}
}

// lateAt returns the time after which the request has missed its target.
func (r *Request) lateAt() time.Time { return r.Arrived.Add(r.Target) }

// nextTimer returns the time after which the queued request becomes late or expires.
func (r *Request) nextTimer() time.Time {
	if lateAt := r.lateAt(); !r.Binding.Bound && !r.queued.late && !r.queued.missed && lateAt.Before(r.StartBy) {
		return lateAt
	}
	return r.StartBy
}

// Len returns the number of queued requests.
func (q *waitingQueue) Len() int { return q.length }

// rank returns the queue of a rank and creates it if needed.
func (q *waitingQueue) rank(rank structs.Rank) *rankQueue {
	i, found := slices.BinarySearchFunc(q.ranks, rank, func(rq *rankQueue, rank structs.Rank) int { return int(rq.rank) - int(rank) })
	if !found {
		q.ranks = slices.Insert(q.ranks, i, newRankQueue(rank))
	}
	return q.ranks[i]
}

func (rq *rankQueue) length() int { return rq.onTime + rq.late.Len() }

// count returns how many requests of a rank are queued.
func (q *waitingQueue) count(rank structs.Rank) int { return q.rank(rank).length() }

// first returns the most urgent rank with queued requests, or nil.
func (q *waitingQueue) first() *rankQueue {
	for _, rq := range q.ranks {
		if rq.length() > 0 {
			return rq
		}
	}
	return nil
}

func (rq *rankQueue) organisation(key fairshare.Key) *organisationQueue {
	o := rq.organisations[key]
	if o == nil {
		o = &organisationQueue{rank: rq, account: rq.ledger.Account(key), position: indexheap.Absent}
		o.over = o.account.Over()
		rq.organisations[key] = o
		if o.over && len(rq.over) < maxOverListed {
			rq.over = append(rq.over, o)
		}
	}
	return o
}

func (q *waitingQueue) nextSequence() uint64 {
	q.lastSequence++
	return firstSequence + q.lastSequence
}

func (q *waitingQueue) nextBoundSequence() uint64 {
	q.lastBound++
	return q.lastBound
}

// add queues a request. One that comes back as promised keeps its place by arrival.
func (q *waitingQueue) add(r *Request, cost fairshare.Cost) {
	sequence := r.queued.sequence
	switch {
	case r.Binding.Bound:
		sequence = q.nextBoundSequence()
	case !r.queued.returning:
		sequence = q.nextSequence()
	}
	r.queued = queuedRequest{sequence: sequence, returning: r.queued.returning, late: r.queued.late, cost: cost, timer: indexheap.Absent, latePosition: indexheap.Absent}
	q.restore(r)
}

// predecessor returns the request after which another one belongs by arrival, or nil.
// Requests are either new or return to the front.
func (o *organisationQueue) predecessor(r *Request) *Request {
	if o.last == nil || o.last.queued.sequence < r.queued.sequence {
		return o.last
	}
	var previous *Request
	for next := o.first; next.queued.sequence < r.queued.sequence; next = next.queued.next {
		previous = next
	}
	return previous
}

// insert links a request after another one of the organisation, or first.
func (o *organisationQueue) insert(r, previous *Request) {
	r.queued.previous = previous
	if previous == nil {
		r.queued.next = o.first
		o.first = r
	} else {
		r.queued.next = previous.queued.next
		previous.queued.next = r
	}
	if r.queued.next == nil {
		o.last = r
	} else {
		r.queued.next.queued.previous = r
	}
	o.onTime++
	o.rank.onTime++
	if r.queued.returning {
		o.rank.returning++
	}
	if !o.over {
		o.rank.within++
	}
	if o.onTime == 1 {
		o.rank.next.Push(o)
	} else if o.first == r {
		o.rank.next.Fix(o.position)
	}
}

// unlink removes a request that is not late from its organisation's list.
func (o *organisationQueue) unlink(r *Request) {
	wasFirst := o.first == r
	if r.queued.previous == nil {
		o.first = r.queued.next
	} else {
		r.queued.previous.queued.next = r.queued.next
	}
	if r.queued.next == nil {
		o.last = r.queued.previous
	} else {
		r.queued.next.queued.previous = r.queued.previous
	}
	r.queued.previous, r.queued.next = nil, nil
	o.onTime--
	o.rank.onTime--
	if r.queued.returning {
		o.rank.returning--
	}
	if !o.over {
		o.rank.within--
	}
	if o.onTime == 0 {
		o.rank.next.Remove(o.position)
	} else if wasFirst {
		o.rank.next.Fix(o.position)
	}
}

// remove removes a request. It returns false if the request is not queued.
func (q *waitingQueue) remove(r *Request) bool {
	o := r.queued.organisation
	if o == nil {
		return false
	}
	if r.queued.late {
		o.rank.late.Remove(r.queued.latePosition)
		o.late--
	} else {
		o.unlink(r)
	}
	q.timers.Remove(r.queued.timer)
	o.account.AddWaiting(-r.queued.cost)
	if o.onTime+o.late == 0 {
		// Avoids accumulated rounding errors.
		o.account.AddWaiting(-o.account.Waiting())
	}
	r.queued.organisation = nil
	q.length--
	return true
}

// peek returns the request to place first. The queue must not be empty.
func (q *waitingQueue) peek() *Request {
	rq := q.first()
	if rq.onTime > 0 {
		return rq.next.Min().first
	}
	return rq.late.Min()
}

// restore queues a request at its place by arrival.
func (q *waitingQueue) restore(r *Request) {
	o := q.rank(r.Rank).organisation(r.key)
	r.queued.organisation = o
	if r.queued.late {
		o.rank.late.Push(r)
		o.late++
	} else {
		o.insert(r, o.predecessor(r))
	}
	o.account.AddWaiting(r.queued.cost)
	q.timers.Push(r)
	q.length++
}

// removeExpired removes and returns the requests that are past StartBy. It collects
// those that have missed their target for markLate.
func (q *waitingQueue) removeExpired(now time.Time) (expired []*Request) {
	for q.timers.Len() > 0 {
		r := q.timers.Min()
		if !now.After(r.nextTimer()) {
			break
		}
		if now.After(r.StartBy) {
			q.remove(r)
			expired = append(expired, r)
			continue
		}
		q.missed = append(q.missed, r)
		r.queued.missed = true
		q.timers.Fix(r.queued.timer)
	}
	return expired
}

// markLate moves requests that have missed their target behind the others of the same
// rank.
func (q *waitingQueue) markLate() {
	for i, r := range q.missed {
		q.missed[i] = nil
		r.queued.missed = false
		o := r.queued.organisation
		if o == nil || r.queued.late {
			continue
		}
		o.unlink(r)
		r.queued.late = true
		o.late++
		o.rank.late.Push(r)
	}
	q.missed = q.missed[:0]
}

// removeAll removes and returns the requests for which a condition holds.
func (q *waitingQueue) removeAll(condition func(*Request) bool) []*Request {
	var all []*Request
	for _, r := range q.timers.Items() {
		if condition(r) {
			all = append(all, r)
		}
	}
	for _, r := range all {
		q.remove(r)
	}
	return all
}

// reorder applies changes of the ledger to the order and the counts.
func (rq *rankQueue) reorder() {
	rq.next.Init()
	rq.within = 0
	for key, o := range rq.organisations {
		if o.onTime+o.late == 0 {
			delete(rq.organisations, key)
			continue
		}
		if o.over = o.account.Over(); !o.over {
			rq.within += o.onTime
		}
	}
	rq.listOver()
}
