package poolowner

import (
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/coordination/queue"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

type phase int8

const (
	// phaseWaiting: in the queue, on no endpoint.
	phaseWaiting phase = iota + 1
	// phaseGranted: granted, but not confirmed by the entry. The request may be
	// running, so it keeps its slot and is not granted to another endpoint
	// unless the entry returns the grant.
	phaseGranted
	// phaseRunning: the entry has reported the dispatch.
	phaseRunning
)

// request is an offered request that has not finished.
// Invariant: it is in the queue if and only if its phase is waiting, and on an
// endpoint if and only if its phase is granted or running.
type request struct {
	spec      structs.Request
	item      queue.Item
	phase     phase
	arrivedAt time.Time

	endpoint *endpoint
	grant    scheduling.GrantID
	// grantOutstanding is set from a grant until the entry returns it. No other
	// grant may be made meanwhile.
	grantOutstanding bool
	grantedAt        time.Time
	// lastReport is when the last message about the dispatch arrived from the
	// entry.
	lastReport time.Time
	// windowTokens is what the request counts against its endpoint's window.
	windowTokens structs.Tokens
	// charged is the cost that its organisation was charged.
	charged float64
	run     runStats
	// notBefore is the earliest time at which a returned request may be placed
	// again.
	notBefore time.Time
	// returnedBy is the endpoint of the last grant that was returned.
	returnedBy structs.EndpointName

	timerAt       time.Time
	timerPosition int
	// entryIndex is the index in the entry's list.
	entryIndex int
	entryLost  bool
	// reservedEndpoint is the endpoint that is reserved for this waiting
	// request.
	reservedEndpoint *endpoint
	// endpointIndex is the index in the endpoint's list.
	endpointIndex int
}

// entryIncarnation identifies one incarnation of an entry.
type entryIncarnation = instance.Process

// entryRequests lists the unfinished requests that one incarnation of an entry
// has offered.
type entryRequests struct {
	requests []*request
}

func (e *entryRequests) add(r *request) {
	r.entryIndex = len(e.requests)
	e.requests = append(e.requests, r)
}

func (e *entryRequests) remove(r *request) {
	last := len(e.requests) - 1
	e.requests[r.entryIndex] = e.requests[last]
	e.requests[r.entryIndex].entryIndex = r.entryIndex
	e.requests[last] = nil
	e.requests = e.requests[:last]
}

func timerBefore(a, b *request) bool {
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return a.item.Sequence < b.item.Sequence
}

// setTimer sets the only timer of a request.
func (o *Owner) setTimer(r *request, at time.Time) {
	r.timerAt = at
	if r.timerPosition == indexheap.Absent {
		o.timers.Push(r)
		return
	}
	o.timers.Fix(r.timerPosition)
}

// fireTimers ends waiting requests at their deadline, and releases dispatched
// requests after their release deadline.
func (o *Owner) fireTimers() {
	for o.timers.Len() > 0 {
		r := o.timers.Min()
		if r.timerAt.After(o.now) {
			return
		}
		o.handleTimer(r)
	}
}

func (o *Owner) handleTimer(r *request) {
	if r.phase == phaseWaiting {
		o.expireWaiting(r)
		return
	}
	if due := o.releaseDeadline(r); due.After(o.now) {
		o.setTimer(r, due)
		return
	}
	if o.injectTimeoutDefect(r) {
		return
	}
	o.totals.Released++
	o.options.Events.Emit(EventGrantUnreported, events.F("request", r.spec.ID), events.F("endpoint", r.endpoint.spec.Name))
	o.finishRequest(r, structs.OutcomeUnknown, structs.ReasonOwnerUnreachable)
}

// injectTimeoutDefect applies the injected defects that concern release timeouts.
func (o *Owner) injectTimeoutDefect(r *request) bool {
	switch {
	case o.defectInjected(defectRegrantOnTimeout):
		o.unassign(r)
		r.spec.Deadline = o.now.Add(o.options.DrainDelay)
		o.enqueue(r)
	case o.defectInjected(defectNeverRelease):
		o.setTimer(r, o.now.Add(o.options.MaxRunTime))
	case o.defectInjected(defectRefuseGranted):
		o.refuse(r, structs.OutcomeNotRun, structs.ReasonDeadlineInQueue)
	default:
		return false
	}
	return true
}

// expireWaiting refuses a request that waited until its deadline.
func (o *Owner) expireWaiting(r *request) {
	reason := structs.ReasonDeadlineInQueue
	if o.targets[r.spec.Target] == nil {
		reason = structs.ReasonNoEndpoint
	}
	o.refuse(r, structs.OutcomeNotRun, reason)
}

// releaseDeadline is when the slot of a dispatched request is released unless
// another message about it arrives.
func (o *Owner) releaseDeadline(r *request) time.Time {
	if r.entryLost {
		return r.timerAt
	}
	last := r.lastReport
	if r.spec.Deadline.After(last) {
		last = r.spec.Deadline
	}
	due := last.Add(o.options.DrainDelay)
	if r.phase != phaseRunning || o.options.ReofferInterval == 0 {
		return due
	}
	if reofferTimeout := r.lastReport.Add(maxMissedReoffers * o.options.ReofferInterval); reofferTimeout.Before(due) {
		return reofferTimeout
	}
	return due
}

// maxMissedReoffers is the number of intervals without a repeated offer after
// which a running request is considered finished.
const maxMissedReoffers = 5

// finishRequest removes a request and records its outcome. All removals from
// the table go through it, so every request has exactly one outcome.
func (o *Owner) finishRequest(r *request, outcome structs.Outcome, reason structs.Reason) {
	if r.item.Queued() {
		o.waiting.Remove(&r.item)
	}
	o.releaseReservation(r)
	o.unassign(r)
	if r.timerPosition != indexheap.Absent {
		o.timers.Remove(r.timerPosition)
	}
	o.removeFromEntry(r)
	delete(o.requests, r.spec.ID)
	o.grantedKeys.recordFinish(r, outcome, o.now)
	o.recordFinished(r.spec.ID, finishedRequest{outcome: outcome, reason: reason, finishedAt: o.now})
	o.totals.count(outcome)
	if o.defectInjected(defectCountOutcomeTwice) && outcome == structs.OutcomeFailed {
		o.totals.count(outcome)
	}
}

func (o *Owner) recordFinished(id structs.RequestID, r finishedRequest) {
	if !o.defectInjected(defectForgetFinished) {
		o.finished.add(id, r)
	}
}

func (o *Owner) removeFromEntry(r *request) {
	list := o.entries[r.spec.Entry]
	list.remove(r)
	if len(list.requests) == 0 {
		delete(o.entries, r.spec.Entry)
	}
}

func (o *Owner) refuse(r *request, outcome structs.Outcome, reason structs.Reason) {
	mayRefuse := outcome != structs.OutcomeNotRun || !r.grantOutstanding
	if !invariant.Check(mayRefuse, "not-run-proved", "request %s was granted and is refused as not run", r.spec.ID) {
		outcome = structs.OutcomeUnknown
	}
	o.decisions.add(scheduling.Decision{
		At:      o.now,
		Request: r.spec.ID,
		Kind:    scheduling.DecisionRefused,
		Reason:  reason,
	})
	refusal := structs.Refusal{Outcome: outcome, Reason: reason, RetryAfter: o.retryAfter(reason)}
	o.emit(scheduling.Refuse{Request: r.spec.ID, Entry: r.spec.Entry, Refusal: refusal})
	o.finishRequest(r, outcome, reason)
}
