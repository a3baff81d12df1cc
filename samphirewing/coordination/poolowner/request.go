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
	// phaseGranted: granted and not heard of since. It may be running, so it
	// holds its place and is never granted to another endpoint unless the
	// entry returns the grant.
	phaseGranted
	// phaseRunning: the entry has told that it was dispatched.
	phaseRunning
)

// request is one offered request that has not ended.
// Invariant: it is in the queue if and only if its phase is waiting, and on
// an endpoint if and only if its phase is granted or running.
type request struct {
	spec    structs.Request
	item    queue.Item
	phase   phase
	arrived time.Time

	endpoint *endpoint
	grant    scheduling.GrantID
	// unreturned is set from a grant until the entry returns it; no other
	// grant may be made meanwhile.
	unreturned bool
	granted    time.Time
	// heard is when the entry last spoke of the dispatch.
	heard time.Time
	// reserved is what the request takes of its endpoint's window.
	reserved structs.Tokens
	// charged is what its organisation was charged for it.
	charged float64
	run     runFigures
	// notBefore is when a returned request may be placed again.
	notBefore time.Time
	// returnedBy is the endpoint whose grant came back last.
	returnedBy structs.EndpointName

	timerAt       time.Time
	timerPosition int
	// entryIndex is the place in the entry's list.
	entryIndex int
	entryGone  bool
	// keeps is the endpoint that is kept for this waiting request.
	keeps *endpoint
	// heldIndex is the place in the endpoint's list.
	heldIndex int
}

// entryLife keys the requests of one entry.
type entryLife = instance.Process

// entryRequests lists what one entry's life has offered and has not ended.
type entryRequests struct {
	list []*request
}

func (e *entryRequests) add(r *request) {
	r.entryIndex = len(e.list)
	e.list = append(e.list, r)
}

func (e *entryRequests) remove(r *request) {
	last := len(e.list) - 1
	e.list[r.entryIndex] = e.list[last]
	e.list[r.entryIndex].entryIndex = r.entryIndex
	e.list[last] = nil
	e.list = e.list[:last]
}

func timerBefore(a, b *request) bool {
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return a.item.Sequence < b.item.Sequence
}

// setTimer moves a request's only timer.
func (o *Owner) setTimer(r *request, at time.Time) {
	r.timerAt = at
	if r.timerPosition == indexheap.Absent {
		o.timers.Push(r)
		return
	}
	o.timers.Fix(r.timerPosition)
}

// fireTimers ends what waited past its deadline and what has not been heard
// of for too long.
func (o *Owner) fireTimers() {
	for o.timers.Len() > 0 {
		r := o.timers.Min()
		if r.timerAt.After(o.now) {
			return
		}
		o.timeUp(r)
	}
}

func (o *Owner) timeUp(r *request) {
	if r.phase == phaseWaiting {
		o.waitOver(r)
		return
	}
	if due := o.releaseTime(r); due.After(o.now) {
		o.setTimer(r, due)
		return
	}
	if o.brokenSilence(r) {
		return
	}
	o.accounting.Released++
	o.options.Events.Emit(EventGrantUnreported, events.F("request", r.spec.ID), events.F("endpoint", r.endpoint.spec.Name))
	o.end(r, structs.OutcomeUnknown, structs.ReasonOwnerUnreachable)
}

// brokenSilence acts out the deliberate faults in how silence is handled.
func (o *Owner) brokenSilence(r *request) bool {
	switch {
	case o.broken(breakRegrantOnSilence):
		o.free(r)
		r.spec.Deadline = o.now.Add(o.options.DrainDelay)
		o.enqueue(r)
	case o.broken(breakNeverRelease):
		o.setTimer(r, o.now.Add(o.options.LongestRun))
	case o.broken(breakRefuseGranted):
		o.refuse(r, structs.OutcomeNotRun, structs.ReasonDeadlineInQueue)
	default:
		return false
	}
	return true
}

// waitOver ends a wait at its deadline.
func (o *Owner) waitOver(r *request) {
	reason := structs.ReasonDeadlineInQueue
	if o.targets[r.spec.Target] == nil {
		reason = structs.ReasonNoEndpoint
	}
	o.refuse(r, structs.OutcomeNotRun, reason)
}

// releaseTime is when the place of a dispatched request is given up if
// nothing more is heard.
func (o *Owner) releaseTime(r *request) time.Time {
	if r.entryGone {
		return r.timerAt
	}
	last := r.heard
	if r.spec.Deadline.After(last) {
		last = r.spec.Deadline
	}
	due := last.Add(o.options.DrainDelay)
	if r.phase != phaseRunning || o.options.ReofferInterval == 0 {
		return due
	}
	if silent := r.heard.Add(missedReoffers * o.options.ReofferInterval); silent.Before(due) {
		return silent
	}
	return due
}

// missedReoffers is how many repeats of an offer may be lost before a running
// request counts as ended.
const missedReoffers = 5

// end forgets a request. It is the only way out of the table, so that each
// request has one outcome.
func (o *Owner) end(r *request, outcome structs.Outcome, reason structs.Reason) {
	if r.item.Waits() {
		o.waiting.Remove(&r.item)
	}
	o.releaseKept(r)
	o.free(r)
	if r.timerPosition != indexheap.Absent {
		o.timers.Remove(r.timerPosition)
	}
	o.forgetEntry(r)
	delete(o.requests, r.spec.ID)
	o.keys.ended(r, outcome, o.now)
	o.rememberEnded(r.spec.ID, endedRequest{outcome: outcome, reason: reason, at: o.now})
	o.accounting.count(outcome)
	if o.broken(breakCountTwice) && outcome == structs.OutcomeFailed {
		o.accounting.count(outcome)
	}
}

func (o *Owner) rememberEnded(id structs.RequestID, e endedRequest) {
	if !o.broken(breakForgetEnded) {
		o.ended.add(id, e)
	}
}

func (o *Owner) forgetEntry(r *request) {
	list := o.entries[r.spec.Entry]
	list.remove(r)
	if len(list.list) == 0 {
		delete(o.entries, r.spec.Entry)
	}
}

func (o *Owner) refuse(r *request, outcome structs.Outcome, reason structs.Reason) {
	proved := outcome != structs.OutcomeNotRun || !r.unreturned
	if !invariant.Check(proved, "not-run-proved", "request %s was granted and is refused as not run", r.spec.ID) {
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
	o.end(r, outcome, reason)
}
