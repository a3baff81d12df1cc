package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/coordination/queue"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (o *Owner) offer(e scheduling.Offer) {
	if r, known := o.requests[e.Request.ID]; known {
		o.offerAgain(r, e)
		return
	}
	if past, known := o.ended.get(e.Request.ID); known {
		o.answerAgain(e, past)
		return
	}
	r := o.admit(e.Request)
	if e.Running {
		o.occupy(r, e.Endpoint)
		r.run.output = e.Streamed
		return
	}
	if o.keyTaken(r) {
		o.refuse(r, structs.OutcomeUnknown, structs.ReasonKeyGranted)
		return
	}
	o.enqueue(r)
}

// admit enters a request into the table.
func (o *Owner) admit(s structs.Request) *request {
	if s.Deadline.IsZero() {
		s.Deadline = o.now.Add(o.options.LongestRun)
	}
	o.sequence++
	r := &request{spec: s, arrived: o.now, timerPosition: indexheap.Absent}
	r.item = queue.Item{
		ID:           s.ID,
		Target:       s.Target,
		Rank:         s.Rank,
		Organisation: s.Organisation,
		Sequence:     o.sequence,
	}
	o.requests[s.ID] = r
	list, ok := o.entries[s.Entry]
	if !ok {
		list = &entryRequests{}
		o.entries[s.Entry] = list
	}
	list.add(r)
	o.accounting.Offered++
	return r
}

func (o *Owner) enqueue(r *request) {
	r.phase = phaseWaiting
	r.item.Due = r.arrived
	if !o.options.Disabled.SizeOrder {
		r.item.Due = o.options.Ordering.DueTime(r.arrived, r.spec.Deadline, o.runEstimate(r))
	}
	o.waiting.Push(&r.item)
	o.setTimer(r, r.spec.Deadline)
}

// offerAgain answers a repeated offer. A grant that has not been heard of is
// repeated as it was, with the same number: the entry may have lost it.
func (o *Owner) offerAgain(r *request, e scheduling.Offer) {
	if e.Running {
		o.confirmRunning(r, e.Endpoint)
		return
	}
	if r.phase == phaseGranted && r.grant != 0 && r.endpoint.eligible() {
		o.emitGrant(r)
	}
}

// answerAgain repeats the refusal of a request that has ended unrun; other
// ends are known to the entry, which reported them.
func (o *Owner) answerAgain(e scheduling.Offer, past endedRequest) {
	if past.outcome != structs.OutcomeNotRun || e.Running {
		return
	}
	refusal := structs.Refusal{Outcome: past.outcome, Reason: past.reason, RetryAfter: o.retryAfter(past.reason)}
	o.emit(scheduling.Refuse{Request: e.Request.ID, Entry: e.Request.Entry, Refusal: refusal})
}

func (o *Owner) withdraw(e scheduling.Withdraw) {
	r, ok := o.requests[e.ID]
	if !ok {
		o.rememberEnded(e.ID, endedRequest{outcome: structs.OutcomeNotRun, reason: e.Reason, at: o.now})
		return
	}
	if r.endpoint == nil {
		o.end(r, structs.OutcomeNotRun, e.Reason)
	}
}

// entryLost drops what the entry had waiting. What it may have dispatched
// holds its place for the drain delay, because the endpoint may go on.
func (o *Owner) entryLost(e scheduling.EntryLost) {
	list, ok := o.entries[e.Entry]
	if !ok {
		return
	}
	for _, r := range append([]*request(nil), list.list...) {
		if r.endpoint == nil {
			o.end(r, structs.OutcomeNotRun, structs.ReasonEntryLost)
			continue
		}
		if !r.entryGone {
			r.entryGone = true
			o.setTimer(r, o.now.Add(o.options.DrainDelay))
		}
	}
}

// retryAfter is when a retry of a refused request is useful.
func (o *Owner) retryAfter(reason structs.Reason) time.Duration {
	if reason == structs.ReasonQueueFull {
		return time.Second
	}
	return 0
}
