package poolowner

import (
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// place grants waiting requests while endpoints have room, most urgent first.
func (o *Owner) place() {
	for lane := 0; lane < o.waiting.Lanes(); lane++ {
		for item := o.waiting.Head(lane); item != nil; item = o.waiting.Head(lane) {
			if !o.placeOne(o.requests[item.ID]) {
				break
			}
		}
	}
}

// placeOne grants a request that is first in its lane; it returns false when
// no endpoint has room.
func (o *Owner) placeOne(r *request) bool {
	if o.keys.takenByOther(&r.spec) {
		o.refuse(r, structs.OutcomeUnknown, structs.ReasonKeyGranted)
		return true
	}
	d := scheduling.Decision{At: o.now, Request: r.spec.ID, Kind: scheduling.DecisionPlaced}
	best := o.choose(r, &d)
	if best == nil {
		return false
	}
	d.Chosen = best.spec.Name
	o.decisions.add(d)
	o.grantTo(r, best)
	return true
}

func (o *Owner) grantTo(r *request, e *endpoint) {
	ok := invariant.Check(r.phase == phaseWaiting, "grant-once", "request %s granted in phase %d", r.spec.ID, r.phase)
	ok = ok && invariant.Check(e.eligible(), "grant-eligible", "endpoint %s takes no new work", e.spec.Name)
	if !ok {
		return
	}
	o.waiting.Remove(&r.item)
	o.lastGrant++
	r.grant = o.lastGrant
	o.take(r, e, phaseGranted)
	o.keys.granted(&r.spec)
	o.accounting.Grants++
	o.emitGrant(r)
}

func (o *Owner) emitGrant(r *request) {
	o.emit(scheduling.Grant{
		Request:  r.spec.ID,
		Entry:    r.spec.Entry,
		ID:       r.grant,
		Endpoint: r.endpoint.spec.Name,
		ValidFor: o.options.GrantValidFor,
	})
}

// take puts a request that is not in the queue onto an endpoint.
func (o *Owner) take(r *request, e *endpoint, p phase) {
	r.phase = p
	r.endpoint = e
	r.granted = o.now
	r.heard = o.now
	r.reserved = r.spec.PromptTokens + r.spec.MaxOutputTokens
	e.inFlight += r.reserved
	e.running++
	r.charged = float64(r.reserved)
	o.waiting.Charge(r.spec.Rank, r.spec.Organisation, r.spec.Weight, r.charged)
	o.setTimer(r, o.releaseTime(r))
}

// free takes a request off its endpoint, if it is on one.
func (o *Owner) free(r *request) {
	if r.endpoint == nil {
		return
	}
	r.endpoint.inFlight -= r.reserved
	r.endpoint.running--
	r.endpoint = nil
	r.reserved = 0
}

// occupy enters a request that runs already, granted by another owner.
func (o *Owner) occupy(r *request, name structs.EndpointName, id scheduling.GrantID) {
	if r.item.Waits() {
		o.waiting.Remove(&r.item)
	}
	o.free(r)
	r.grant = id
	o.take(r, o.endpointFor(name), phaseRunning)
	o.keys.granted(&r.spec)
}

// confirmRunning notes that the entry has dispatched a request, on the
// endpoint that the owner granted or on one that an earlier owner did.
func (o *Owner) confirmRunning(r *request, name structs.EndpointName) {
	if r.phase == phaseWaiting || r.endpoint.spec.Name != name {
		o.occupy(r, name, 0)
	}
	r.phase = phaseRunning
	r.heard = o.now
}

// giveBack puts a request back into the queue whose grant came back unsent.
func (o *Owner) giveBack(e scheduling.Return) {
	r, ok := o.requests[e.ID]
	if !ok || r.phase != phaseGranted || r.grant != e.Grant {
		return
	}
	o.free(r)
	o.waiting.Charge(r.spec.Rank, r.spec.Organisation, r.spec.Weight, -r.charged)
	o.keys.returned(&r.spec)
	o.accounting.Returned++
	if r.entryGone {
		o.end(r, structs.OutcomeNotRun, structs.ReasonEntryLost)
		return
	}
	o.enqueue(r)
}

func (o *Owner) progress(e scheduling.Progress) {
	r, ok := o.requests[e.ID]
	if !ok {
		return
	}
	o.confirmRunning(r, e.Endpoint)
	r.output = max(r.output, e.Output)
}

func (o *Owner) finish(e scheduling.Finish) {
	r, ok := o.requests[e.ID]
	if !ok {
		o.ended.add(e.ID, endedRequest{outcome: e.Outcome, reason: e.Reason, at: o.now})
		return
	}
	o.end(r, e.Outcome, e.Reason)
}
