package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/coordination/queue"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (o *Owner) handleOffer(e scheduling.Offer) {
	if r, known := o.requests[e.Request.ID]; known {
		o.handleRepeatedOffer(r, e)
		return
	}
	if record, known := o.finished.get(e.Request.ID); known {
		o.repeatRefusal(e, record)
		return
	}
	r := o.addRequest(e.Request)
	if e.Running {
		o.adoptRunning(r, e.Endpoint)
		r.run.output = e.Streamed
		return
	}
	if o.keyGrantedToOther(r) {
		o.refuse(r, structs.OutcomeUnknown, structs.ReasonKeyGranted)
		return
	}
	o.enqueue(r)
}

// addRequest adds a request to the table.
func (o *Owner) addRequest(s structs.Request) *request {
	if s.Deadline.IsZero() {
		s.Deadline = o.now.Add(o.options.MaxRunTime)
	}
	o.sequence++
	r := &request{spec: s, arrivedAt: o.now, timerPosition: indexheap.Absent}
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
	o.totals.Offered++
	return r
}

func (o *Owner) enqueue(r *request) {
	r.phase = phaseWaiting
	r.item.Due = r.arrivedAt
	if !o.options.Disabled.SizeOrder {
		r.item.Due = o.options.Ordering.DueTime(r.arrivedAt, r.spec.Deadline, o.runTimeEstimate(r))
	}
	o.waiting.Push(&r.item)
	o.setTimer(r, r.spec.Deadline)
}

// handleRepeatedOffer answers a repeated offer. A grant that the entry has not
// confirmed is sent again unchanged, with the same number, because it may have
// been lost.
func (o *Owner) handleRepeatedOffer(r *request, e scheduling.Offer) {
	if e.Running {
		o.confirmRunning(r, e.Endpoint)
		return
	}
	if r.phase == phaseGranted && r.grant != 0 && r.endpoint.eligible() {
		o.emitGrant(r)
	}
}

// repeatRefusal repeats the refusal of a request that finished as not run.
// Other outcomes were reported by the entry itself.
func (o *Owner) repeatRefusal(e scheduling.Offer, record finishedRequest) {
	if record.outcome != structs.OutcomeNotRun || e.Running {
		return
	}
	refusal := structs.Refusal{Outcome: record.outcome, Reason: record.reason, RetryAfter: o.retryAfter(record.reason)}
	o.emit(scheduling.Refuse{Request: e.Request.ID, Entry: e.Request.Entry, Refusal: refusal})
}

func (o *Owner) handleWithdraw(e scheduling.Withdraw) {
	r, ok := o.requests[e.ID]
	if !ok {
		o.recordFinished(e.ID, finishedRequest{outcome: structs.OutcomeNotRun, reason: e.Reason, finishedAt: o.now})
		return
	}
	if r.endpoint == nil {
		o.finishRequest(r, structs.OutcomeNotRun, e.Reason)
	}
}

// handleEntryLost drops the waiting requests of a lost entry. Its granted and
// running requests keep their slots for the drain delay, because the endpoints
// may still work on them.
func (o *Owner) handleEntryLost(e scheduling.EntryLost) {
	list, ok := o.entries[e.Entry]
	if !ok {
		return
	}
	for _, r := range append([]*request(nil), list.requests...) {
		if r.endpoint == nil {
			o.finishRequest(r, structs.OutcomeNotRun, structs.ReasonEntryLost)
			continue
		}
		if !r.entryLost {
			r.entryLost = true
			o.setTimer(r, o.now.Add(o.options.DrainDelay))
		}
	}
}

// retryAfter is the delay after which a retry of a refused request is useful,
// or zero.
func (o *Owner) retryAfter(reason structs.Reason) time.Duration {
	if reason == structs.ReasonQueueFull {
		return time.Second
	}
	return 0
}
