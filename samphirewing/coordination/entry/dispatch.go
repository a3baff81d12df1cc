package entry

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// granted dispatches a waiting request. A grant for a request that is already
// dispatched is answered with what runs, so that the owner's accounting
// follows; the request is never dispatched a second time.
func (e *Entry) granted(now time.Time, ev Granted) {
	h, ok := e.held[ev.Grant.Request]
	if !ok {
		e.grantedAfterEnd(ev)
		return
	}
	if h.phase != waiting {
		e.emit(SendOffers{To: ev.From, Shard: h.shard, Offers: []scheduling.Offer{e.offer(h)}})
		return
	}
	if !now.Before(h.request.Deadline) {
		e.returnGrant(ev, structs.ReasonDeadlineInQueue)
		e.conclude(h, structs.OutcomeNotRun, structs.ReasonDeadlineInQueue, "", 0)
		e.drop(h)
		return
	}
	e.dispatch(h, ev)
}

// grantedAfterEnd answers a grant for a request that has ended. It is returned
// only when the request is known not to have been sent, because a returned
// grant frees the caller's key; one that ran is reported again, and one that
// is no longer known is left to the owner's own time limit.
func (e *Entry) grantedAfterEnd(ev Granted) {
	past, known := e.past.byID[ev.Grant.Request]
	switch {
	case !known:
	case past.sent:
		e.emit(SendFinish{To: ev.From, Shard: ev.Shard, Finish: past.finish})
	default:
		e.returnGrant(ev, structs.ReasonCallerLeft)
	}
}

func (e *Entry) dispatch(h *held, ev Granted) {
	if !invariant.Check(!h.mayHaveSent, AtMostOnce, "request %s granted after attempt %d", h.request.ID, h.attempt) {
		return
	}
	h.phase = dispatched
	h.mayHaveSent = true
	h.attempt++
	h.grant = ev.Grant.ID
	h.granter = ev.From
	h.endpoint = ev.Grant.Endpoint
	e.waiting--
	e.emit(Dispatch{
		Request:  h.request.ID,
		Attempt:  h.attempt,
		Grant:    h.grant,
		Endpoint: h.endpoint,
		Deadline: h.request.Deadline,
	})
}

func (e *Entry) returnGrant(ev Granted, reason structs.Reason) {
	r := scheduling.Return{ID: ev.Grant.Request, Grant: ev.Grant.ID, Reason: reason}
	e.emit(SendReturn{To: ev.From, Shard: ev.Shard, Return: r})
}

func (e *Entry) refused(ev Refused) {
	h, ok := e.held[ev.Request]
	if !ok || h.phase != waiting {
		return
	}
	if e.shards[h.shard].owner != ev.From {
		return
	}
	outcome := ev.Refusal.Outcome
	if outcome == structs.OutcomeNone {
		outcome = structs.OutcomeNotRun
	}
	e.conclude(h, outcome, ev.Refusal.Reason, "", ev.Refusal.RetryAfter)
	e.drop(h)
}

func (e *Entry) cancelAsked(ev CancelRequested) {
	h, ok := e.held[ev.Request]
	if !ok || h.phase != dispatched {
		return
	}
	e.cancel(h, ev.Reason)
}

// cancel stops a running attempt; its answer to Dispatch concludes it.
func (e *Entry) cancel(h *held, reason structs.Reason) {
	if h.cancelled != structs.ReasonNone {
		return
	}
	h.cancelled = reason
	e.emit(CancelDispatch{Request: h.request.ID, Attempt: h.attempt, Endpoint: h.endpoint, Reason: reason})
}

func (e *Entry) answered(id structs.RequestID, attempt uint64) (*held, bool) {
	h, ok := e.held[id]
	if !ok || h.phase == waiting || h.attempt != attempt {
		return nil, false
	}
	return h, true
}

func (e *Entry) notSent(now time.Time, ev NotSent) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	h.mayHaveSent = false
	r := scheduling.Return{ID: h.request.ID, Grant: h.grant, Reason: ev.Reason}
	e.emit(SendReturn{To: h.granter, Shard: h.shard, Return: r})
	if h.cancelled != structs.ReasonNone {
		e.conclude(h, structs.OutcomeNotRun, h.cancelled, "", 0)
		e.drop(h)
		return
	}
	h.phase = waiting
	h.endpoint = ""
	e.waiting++
	if !now.Before(h.request.Deadline) {
		e.expireHeld(h)
		return
	}
	if state := e.shards[h.shard]; state.owner != h.granter && state.owner != "" {
		e.emit(SendOffers{To: state.owner, Shard: h.shard, Offers: []scheduling.Offer{e.offer(h)}})
	}
}

func (e *Entry) declined(ev Declined) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	h.mayHaveSent = false
	r := scheduling.Return{ID: h.request.ID, Grant: h.grant, Reason: ev.Reason}
	e.emit(SendReturn{To: h.granter, Shard: h.shard, Return: r})
	e.withdrawFrom(h, ev.Reason)
	e.conclude(h, ev.Outcome, ev.Reason, ev.Detail, ev.RetryAfter)
	e.drop(h)
}

func (e *Entry) progressed(ev Progressed) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	h.output = ev.Output
	owner := e.shards[h.shard].owner
	if owner == "" {
		return
	}
	e.emit(SendProgress{To: owner, Shard: h.shard, Progress: scheduling.Progress{
		ID: h.request.ID, Grant: h.grant, Endpoint: h.endpoint,
		FirstTokenAfter: ev.FirstTokenAfter, Output: ev.Output,
	}})
}

func (e *Entry) ended(ev Finished) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	outcome, reason := ev.Outcome, ev.Reason
	if outcome != structs.OutcomeDone && h.cancelled != structs.ReasonNone {
		reason = h.cancelled
	}
	finish := scheduling.Finish{
		ID: h.request.ID, Grant: h.grant, Endpoint: h.endpoint,
		Outcome: outcome, Reason: reason,
		FirstTokenAfter: ev.FirstTokenAfter, Duration: ev.Whole,
		PromptTokens: ev.PromptTokens, CachedTokens: ev.CachedTokens, OutputTokens: ev.OutputTokens,
	}
	owner := e.shards[h.shard].owner
	if owner != "" {
		e.emit(SendFinish{To: owner, Shard: h.shard, Finish: finish})
	}
	if h.granter != owner {
		e.emit(SendFinish{To: h.granter, Shard: h.shard, Finish: finish})
	}
	e.conclude(h, outcome, reason, ev.Detail, 0)
	h.finish = finish
	e.drop(h)
}
