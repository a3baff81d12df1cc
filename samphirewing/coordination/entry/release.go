package entry

import (
	"container/heap"
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (e *Entry) handleCallerDisconnected(ev CallerDisconnected) {
	r, ok := e.requests[ev.Request]
	if !ok {
		return
	}
	if r.phase == phaseDispatched {
		e.cancel(r, structs.ReasonCallerLeft)
		return
	}
	e.abandon(r, structs.ReasonCallerLeft, 0)
}

// abandon withdraws and concludes a waiting request.
func (e *Entry) abandon(r *request, reason structs.Reason, retryAfter time.Duration) {
	e.withdraw(r, reason)
	e.conclude(r, structs.OutcomeNotRun, reason, "", retryAfter)
	e.remove(r)
}

func (e *Entry) handleReleaseMemory(ev ReleaseMemory) {
	if e.waiting <= ev.MaxWaiting {
		return
	}
	candidates := e.sheddingOrder()
	lowest := candidates[0].spec.Rank
	for _, r := range candidates[:e.waiting-ev.MaxWaiting] {
		invariant.Check(r.spec.Rank <= lowest, ShedLowestFirst,
			"request %s of rank %d abandoned after rank %d", r.spec.ID, r.spec.Rank, lowest)
		lowest = r.spec.Rank
		e.abandon(r, structs.ReasonMemoryBound, memoryRetryAfter)
	}
}

// sheddingOrder returns the waiting requests, lowest tier first and newest
// first within a tier.
func (e *Entry) sheddingOrder() []*request {
	var all []*request
	for _, r := range e.requests {
		if r.phase == phaseWaiting {
			all = append(all, r)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.spec.Rank != b.spec.Rank {
			return a.spec.Rank > b.spec.Rank
		}
		if !a.acceptedAt.Equal(b.acceptedAt) {
			return a.acceptedAt.After(b.acceptedAt)
		}
		return a.spec.ID > b.spec.ID
	})
	return all
}

func (e *Entry) expire(now time.Time) {
	for len(e.deadlines) > 0 {
		r := e.deadlines[0]
		if now.Before(r.spec.Deadline) {
			return
		}
		if r.phase == phaseDispatched {
			heap.Pop(&e.deadlines)
			e.cancel(r, structs.ReasonDeadlineRunning)
			continue
		}
		e.expireWaiting(r)
	}
}

func (e *Entry) expireWaiting(r *request) {
	e.abandon(r, structs.ReasonDeadlineInQueue, 0)
}
