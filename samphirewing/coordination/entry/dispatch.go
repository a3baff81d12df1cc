package entry

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// handleGranted dispatches a waiting request. A grant for a request that is
// already dispatched is answered with an offer of the running request, which
// corrects the accounting of the owner. The request is never dispatched a
// second time.
func (e *Entry) handleGranted(now time.Time, ev Granted) {
	r, ok := e.requests[ev.Grant.Request]
	if !ok {
		e.answerLateGrant(ev)
		return
	}
	if r.phase != phaseWaiting {
		e.emit(SendOffers{To: ev.From, Shard: r.shard, Offers: []scheduling.Offer{e.offer(r)}})
		return
	}
	if !now.Before(r.spec.Deadline) {
		e.returnGrant(ev, structs.ReasonDeadlineInQueue)
		e.conclude(r, structs.OutcomeNotRun, structs.ReasonDeadlineInQueue, "", 0)
		e.remove(r)
		return
	}
	e.dispatch(r, ev)
}

// answerLateGrant answers a grant for a finished request. The grant is returned
// only if the request is known not to have been sent, because a returned grant
// releases the caller key. If the request may have been sent, its finish is
// reported again. If the request is unknown, the grant is left to time out at
// the owner.
func (e *Entry) answerLateGrant(ev Granted) {
	finished, known := e.finished.byID[ev.Grant.Request]
	switch {
	case !known:
	case finished.mayHaveSent:
		e.emit(SendFinish{To: ev.From, Shard: ev.Shard, Finish: finished.finish})
	default:
		e.returnGrant(ev, structs.ReasonCallerLeft)
	}
}

func (e *Entry) dispatch(r *request, ev Granted) {
	if !invariant.Check(!r.mayHaveSent, AtMostOnce, "request %s granted after attempt %d", r.spec.ID, r.attempt) {
		return
	}
	r.phase = phaseDispatched
	r.mayHaveSent = true
	r.attempt++
	r.grant = ev.Grant.ID
	r.grantedBy = ev.From
	r.endpoint = ev.Grant.Endpoint
	e.waiting--
	e.emit(Dispatch{
		Request:  r.spec.ID,
		Attempt:  r.attempt,
		Grant:    r.grant,
		Endpoint: r.endpoint,
		Deadline: r.spec.Deadline,
	})
}

func (e *Entry) returnGrant(ev Granted, reason structs.Reason) {
	ret := scheduling.Return{ID: ev.Grant.Request, Grant: ev.Grant.ID, Reason: reason}
	e.emit(SendReturn{To: ev.From, Shard: ev.Shard, Return: ret})
}

func (e *Entry) handleRefused(ev Refused) {
	r, ok := e.requests[ev.Request]
	if !ok || r.phase != phaseWaiting {
		return
	}
	if e.shards[r.shard].owner != ev.From {
		return
	}
	outcome := ev.Refusal.Outcome
	if outcome == structs.OutcomeNone {
		outcome = structs.OutcomeNotRun
	}
	e.conclude(r, outcome, ev.Refusal.Reason, "", ev.Refusal.RetryAfter)
	e.remove(r)
}

func (e *Entry) handleCancelRequested(ev CancelRequested) {
	r, ok := e.requests[ev.Request]
	if !ok || r.phase != phaseDispatched {
		return
	}
	e.cancel(r, ev.Reason)
}

// cancel cancels a running attempt. The request is concluded when the shell
// answers the Dispatch.
func (e *Entry) cancel(r *request, reason structs.Reason) {
	if r.cancelReason != structs.ReasonNone {
		return
	}
	r.cancelReason = reason
	e.emit(CancelDispatch{Request: r.spec.ID, Attempt: r.attempt, Endpoint: r.endpoint, Reason: reason})
}

// findAttempt returns the request with the given attempt, unless the attempt
// was already answered.
func (e *Entry) findAttempt(id structs.RequestID, attempt uint64) (*request, bool) {
	r, ok := e.requests[id]
	if !ok || r.phase == phaseWaiting || r.attempt != attempt {
		return nil, false
	}
	return r, true
}

func (e *Entry) handleNotSent(now time.Time, ev NotSent) {
	r, ok := e.findAttempt(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	r.mayHaveSent = false
	ret := scheduling.Return{ID: r.spec.ID, Grant: r.grant, Reason: ev.Reason}
	e.emit(SendReturn{To: r.grantedBy, Shard: r.shard, Return: ret})
	if r.cancelReason != structs.ReasonNone {
		e.conclude(r, structs.OutcomeNotRun, r.cancelReason, "", 0)
		e.remove(r)
		return
	}
	r.phase = phaseWaiting
	r.endpoint = ""
	e.waiting++
	if !now.Before(r.spec.Deadline) {
		e.expireWaiting(r)
		return
	}
	if state := e.shards[r.shard]; state.owner != r.grantedBy && state.owner != "" {
		e.emit(SendOffers{To: state.owner, Shard: r.shard, Offers: []scheduling.Offer{e.offer(r)}})
	}
}

func (e *Entry) handleDeclined(ev Declined) {
	r, ok := e.findAttempt(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	r.mayHaveSent = false
	ret := scheduling.Return{ID: r.spec.ID, Grant: r.grant, Reason: ev.Reason}
	e.emit(SendReturn{To: r.grantedBy, Shard: r.shard, Return: ret})
	e.withdraw(r, ev.Reason)
	e.conclude(r, ev.Outcome, ev.Reason, ev.Detail, ev.RetryAfter)
	e.remove(r)
}

func (e *Entry) handleProgressed(ev Progressed) {
	r, ok := e.findAttempt(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	r.output = ev.Output
	owner := e.shards[r.shard].owner
	if owner == "" {
		return
	}
	e.emit(SendProgress{To: owner, Shard: r.shard, Progress: scheduling.Progress{
		ID: r.spec.ID, Grant: r.grant, Endpoint: r.endpoint,
		FirstTokenAfter: ev.FirstTokenAfter, Output: ev.Output,
	}})
}

func (e *Entry) handleFinished(ev Finished) {
	r, ok := e.findAttempt(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	outcome, reason := ev.Outcome, ev.Reason
	if outcome != structs.OutcomeDone && r.cancelReason != structs.ReasonNone {
		reason = r.cancelReason
	}
	finish := scheduling.Finish{
		ID: r.spec.ID, Grant: r.grant, Endpoint: r.endpoint,
		Outcome: outcome, Reason: reason,
		FirstTokenAfter: ev.FirstTokenAfter, Duration: ev.Duration,
		PromptTokens: ev.PromptTokens, CachedTokens: ev.CachedTokens, OutputTokens: ev.OutputTokens,
	}
	owner := e.shards[r.shard].owner
	if owner != "" {
		e.emit(SendFinish{To: owner, Shard: r.shard, Finish: finish})
	}
	if r.grantedBy != owner {
		e.emit(SendFinish{To: r.grantedBy, Shard: r.shard, Finish: finish})
	}
	e.conclude(r, outcome, reason, ev.Detail, 0)
	r.finish = finish
	e.remove(r)
}
