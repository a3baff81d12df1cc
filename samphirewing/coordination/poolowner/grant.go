package poolowner

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/placement"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// blockedTarget is a target whose endpoints have no room for a rank; less
// urgent work must leave those endpoints alone.
type blockedTarget struct {
	target structs.Target
	rank   structs.Rank
}

// attempt is the result of trying to place one request.
type attempt int8

const (
	// attemptMoved: granted, postponed or refused.
	attemptMoved attempt = iota + 1
	// attemptFull: no endpoint of the target has room.
	attemptFull
	// attemptUnfit: endpoints have room, but none for this request.
	attemptUnfit
)

const (
	// hopelessShare is the share of the least time a request needs that must
	// still be left for it to keep its place in the queue.
	hopelessShare = 0.9
	// unfitPerStep bounds the requests set aside in one step.
	unfitPerStep = 16
	// resumedPerTick bounds those of each lane that are tried again in a tick.
	resumedPerTick = 32
)

// place grants waiting requests while endpoints have room, most urgent first.
func (o *Owner) place() {
	o.blocked = o.blocked[:0]
	unfit := unfitPerStep
	for lane := 0; lane < o.waiting.Lanes() && unfit > 0; lane++ {
		o.placeLane(lane, &unfit)
	}
}

// placeLane serves one target in one tier until nothing more fits.
func (o *Owner) placeLane(lane int, unfit *int) {
	for item := o.waiting.Head(lane); item != nil && *unfit > 0; item = o.waiting.Head(lane) {
		if o.isBlocked(item.Target) {
			return
		}
		r := o.requests[item.ID]
		switch o.placeOne(r) {
		case attemptMoved:
		case attemptFull:
			o.blocked = append(o.blocked, blockedTarget{target: item.Target, rank: item.Rank})
			return
		case attemptUnfit:
			*unfit--
			if item.Late() {
				return
			}
			o.waiting.SetAside(item)
		}
	}
}

func (o *Owner) isBlocked(t structs.Target) bool {
	for _, b := range o.blocked {
		if b.target == t {
			return true
		}
	}
	return false
}

// keyTaken tells whether another request was granted under the same caller key.
func (o *Owner) keyTaken(r *request) bool {
	return o.keys.takenByOther(&r.spec) && !o.broken(breakKeyTwice)
}

func (o *Owner) isFull(t structs.Target) bool {
	s := o.targets[t]
	return s == nil || len(s.open) == 0
}

// placeOne grants, postpones or refuses a request near the front of its lane.
func (o *Owner) placeOne(r *request) attempt {
	if o.keyTaken(r) {
		o.refuse(r, structs.OutcomeUnknown, structs.ReasonKeyGranted)
		return attemptMoved
	}
	if o.isFull(r.spec.Target) {
		return attemptFull
	}
	if r.notBefore.After(o.now) {
		return attemptUnfit
	}
	o.current = o.work(r)
	w := &o.current
	if o.hopeless(w, r) {
		o.releaseKept(r)
		o.waiting.Postpone(&r.item)
		return attemptMoved
	}
	o.releaseKept(r)
	best := o.choose(r, w)
	if best == nil {
		o.keepSoonest(r, w)
		return attemptUnfit
	}
	o.decisions.placed(o.now, r.spec.ID, best.spec.Name, *w, o.nodes)
	o.grantTo(r, best, w)
	return attemptMoved
}

// keepSoonest keeps the endpoint that a request waits for from less urgent
// work, until the request is placed or ends, or a more urgent one needs it.
func (o *Owner) keepSoonest(r *request, w *placement.Work) {
	e := o.soonest(w)
	if e == nil || w.Late {
		return
	}
	if e.keptFor != nil {
		o.releaseKept(e.keptFor)
	}
	e.keptFor = r
	r.keeps = e
}

// resumeKept lets the request that an endpoint is kept for try again, because
// the endpoint has less to do than before.
func (o *Owner) resumeKept(e *endpoint) {
	if e.keptFor != nil {
		o.waiting.ResumeItem(&e.keptFor.item)
	}
}

func (o *Owner) releaseKept(r *request) {
	if r.keeps != nil {
		r.keeps.keptFor = nil
		r.keeps = nil
	}
}

// hopeless tells whether a request that was not yet postponed would miss its
// deadline even on the fastest endpoint, idle.
func (o *Owner) hopeless(w *placement.Work, r *request) bool {
	if w.Late || w.Service || o.options.Disabled.Postponement {
		return false
	}
	least := o.targets[r.spec.Target].leastTime(w)
	return time.Duration(hopelessShare*float64(least)) > w.TimeLeft
}

func (o *Owner) grantTo(r *request, e *endpoint, w *placement.Work) {
	if !o.mayGrant(r, e) {
		return
	}
	o.waiting.Remove(&r.item)
	o.lastGrant++
	r.grant = o.lastGrant
	r.unreturned = true
	o.take(r, e, phaseGranted, w)
	o.retries.RecordGrant()
	o.accounting.Grants++
	o.emitGrant(r)
}

// mayGrant asserts what must hold before a grant. The conditions stand before
// the calls, because a call's arguments cost an allocation each.
func (o *Owner) mayGrant(r *request, e *endpoint) bool {
	switch {
	case r.phase != phaseWaiting || r.unreturned:
		return invariant.Check(false, "grant-once", "request %s granted in phase %d", r.spec.ID, r.phase)
	case !e.eligible() || !e.serves(r.spec.Target):
		return invariant.Check(false, "grant-eligible",
			"endpoint %s takes no new work for %s", e.spec.Name, r.spec.Target)
	case o.keys.takenByOther(&r.spec):
		return invariant.Check(false, "grant-key-once", "key of %s was granted before", r.spec.ID)
	default:
		return true
	}
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
func (o *Owner) take(r *request, e *endpoint, p phase, w *placement.Work) {
	r.phase = p
	r.endpoint = e
	r.granted = o.now
	r.heard = o.now
	r.run = runFigures{expectedCached: o.expectCached(r, e), upper: w.OutputUpperBound, outputAt: o.now}
	if !w.Service {
		r.run.prefill = max(r.spec.PromptTokens-r.run.expectedCached, 1)
	}
	r.reserved = reservation(r, w)
	o.putOn(r, e)
	r.charged = o.cost(r.run.prefill, w.Output)
	o.charge(r, r.charged)
	o.keys.granted(&r.spec)
	if !w.Service && !o.options.Disabled.PrefixIndex {
		o.prefixes.Insert(o.now, e.number, r.spec.Prefix)
	}
	o.setTimer(r, o.releaseTime(r))
	o.refresh(e)
}

func (o *Owner) putOn(r *request, e *endpoint) {
	if e.running == 0 {
		e.heard = o.now
	}
	r.heldIndex = len(e.held)
	e.held = append(e.held, r)
	e.running++
	e.inFlight += r.reserved
	e.prefillAhead += r.run.prefill
	r.run.ahead = e.prefillAhead
}

// free takes a request off its endpoint, if it is on one.
func (o *Owner) free(r *request) {
	e := r.endpoint
	if e == nil {
		return
	}
	o.prefillDone(r)
	if !o.broken(breakLeakTokens) {
		e.inFlight -= r.reserved
	}
	e.running--
	last := len(e.held) - 1
	e.held[r.heldIndex] = e.held[last]
	e.held[r.heldIndex].heldIndex = r.heldIndex
	e.held[last] = nil
	e.held = e.held[:last]
	r.endpoint = nil
	r.reserved = 0
	o.resumeKept(e)
	o.refresh(e)
}

// prefillDone takes a request's prompt off the prefill backlog, once.
func (o *Owner) prefillDone(r *request) {
	r.endpoint.prefillAhead -= r.run.prefill
	r.endpoint.prefilled += r.run.prefill
	r.run.prefill = 0
}

// serviceTokens is what one call of a plain service takes of a window.
const serviceTokens structs.Tokens = 1024

// reservation is what a request takes of its endpoint's window.
func reservation(r *request, w *placement.Work) structs.Tokens {
	if w.Service {
		return serviceTokens
	}
	return r.run.prefill + w.Output
}

// decodeCost is what one generated token costs, in prefilled tokens.
const decodeCost = 4

// cost is what a request is charged to its organisation.
func (o *Owner) cost(prefill, output structs.Tokens) float64 {
	return float64(prefill) + decodeCost*float64(output)
}

func (o *Owner) charge(r *request, cost float64) {
	if !o.options.Disabled.Fairness {
		o.waiting.Charge(r.spec.Rank, r.spec.Organisation, r.spec.Weight, cost)
	}
}

// occupy enters a request that runs already, granted by another owner.
func (o *Owner) occupy(r *request, name structs.EndpointName) {
	if r.item.Waits() {
		o.waiting.Remove(&r.item)
	}
	o.free(r)
	r.grant = 0
	r.unreturned = true
	w := o.work(r)
	o.take(r, o.endpointFor(name), phaseRunning, &w)
	o.prefillDone(r)
	o.refresh(r.endpoint)
}

// confirmRunning notes that the entry has dispatched a request, on the
// endpoint that the owner granted or on one that an earlier owner did.
func (o *Owner) confirmRunning(r *request, name structs.EndpointName) {
	if r.endpoint == nil || r.endpoint.spec.Name != name {
		o.occupy(r, name)
	}
	r.phase = phaseRunning
	r.heard = o.now
	o.setTimer(r, o.releaseTime(r))
}

// giveBack puts a request back into the queue whose grant came back unsent.
func (o *Owner) giveBack(e scheduling.Return) {
	r, ok := o.requests[e.ID]
	if !ok || r.phase != phaseGranted || r.grant != e.Grant && !o.broken(breakAnyReturn) {
		return
	}
	from := r.endpoint
	r.unreturned = false
	o.free(r)
	o.charge(r, -r.charged)
	o.keys.returned(&r.spec)
	o.accounting.Returned++
	r.returnedBy = from.spec.Name
	if failureOfEndpoint(e.Reason) {
		o.failed(from)
	}
	if r.entryGone {
		o.end(r, structs.OutcomeNotRun, structs.ReasonEntryLost)
		return
	}
	if !o.retries.Take(o.now) {
		r.notBefore = o.now.Add(retryPause)
	}
	o.enqueue(r)
}

// retryPause is how long a returned request waits while the retry budget is
// empty. It is not refused: less urgent work may still be kept.
const retryPause = time.Second
