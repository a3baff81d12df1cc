package entry

import (
	"container/heap"
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (e *Entry) callerLeft(ev CallerDisconnected) {
	h, ok := e.held[ev.Request]
	if !ok {
		return
	}
	if h.phase == dispatched {
		e.cancel(h, structs.ReasonCallerLeft)
		return
	}
	e.giveUp(h, structs.ReasonCallerLeft, 0)
}

// giveUp withdraws and concludes a waiting request.
func (e *Entry) giveUp(h *held, reason structs.Reason, retryAfter time.Duration) {
	e.withdrawFrom(h, reason)
	e.conclude(h, structs.OutcomeNotRun, reason, "", retryAfter)
	e.drop(h)
}

func (e *Entry) releaseMemory(ev ReleaseMemory) {
	if e.waiting <= ev.MaxWaiting {
		return
	}
	candidates := e.waitingLowestFirst()
	lowest := candidates[0].request.Rank
	for _, h := range candidates[:e.waiting-ev.MaxWaiting] {
		invariant.Check(h.request.Rank <= lowest, ShedLowestFirst,
			"request %s of rank %d given up after rank %d", h.request.ID, h.request.Rank, lowest)
		lowest = h.request.Rank
		e.giveUp(h, structs.ReasonMemoryBound, memoryRetryAfter)
	}
}

// waitingLowestFirst orders waiting requests by tier, lowest first, and the
// youngest first inside a tier.
func (e *Entry) waitingLowestFirst() []*held {
	var all []*held
	for _, h := range e.held {
		if h.phase == waiting {
			all = append(all, h)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.request.Rank != b.request.Rank {
			return a.request.Rank > b.request.Rank
		}
		if !a.accepted.Equal(b.accepted) {
			return a.accepted.After(b.accepted)
		}
		return a.request.ID > b.request.ID
	})
	return all
}

func (e *Entry) expire(now time.Time) {
	for len(e.due) > 0 {
		h := e.due[0]
		if now.Before(h.request.Deadline) {
			return
		}
		if h.phase == dispatched {
			heap.Pop(&e.due)
			e.cancel(h, structs.ReasonDeadlineRunning)
			continue
		}
		e.expireHeld(h)
	}
}

func (e *Entry) expireHeld(h *held) {
	e.giveUp(h, structs.ReasonDeadlineInQueue, 0)
}
