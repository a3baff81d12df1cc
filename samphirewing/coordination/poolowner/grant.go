package poolowner

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/placement"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// blockedTarget is a target without room for a rank. Less urgent work must not
// use its endpoints.
type blockedTarget struct {
	target structs.Target
	rank   structs.Rank
}

// placeResult is the result of trying to place one request.
type placeResult int8

const (
	// placeHandled: granted, postponed or refused.
	placeHandled placeResult = iota + 1
	// placeNoRoom: no endpoint of the target has room.
	placeNoRoom
	// placeNoFit: endpoints have room, but not for this request.
	placeNoFit
)

const (
	// minTimeLeftShare is the share of its minimum run time that a request must
	// have left before its deadline. With less, it is postponed.
	minTimeLeftShare = 0.9
	// maxSetAsidePerStep bounds the requests set aside in one step.
	maxSetAsidePerStep = 16
	// maxResumedPerTick bounds the requests that each lane resumes in one tick.
	maxResumedPerTick = 32
)

// placeWaiting grants waiting requests while endpoints have room, most urgent
// first.
func (o *Owner) placeWaiting() {
	o.blocked = o.blocked[:0]
	setAsideLeft := maxSetAsidePerStep
	for lane := 0; lane < o.waiting.LaneCount() && setAsideLeft > 0; lane++ {
		o.placeLane(lane, &setAsideLeft)
	}
}

// placeLane places the requests of one target and tier until none fits.
func (o *Owner) placeLane(lane int, setAsideLeft *int) {
	for item := o.waiting.Head(lane); item != nil && *setAsideLeft > 0; item = o.waiting.Head(lane) {
		if o.isBlocked(item.Target) {
			return
		}
		r := o.requests[item.ID]
		switch o.placeRequest(r) {
		case placeHandled:
		case placeNoRoom:
			o.blocked = append(o.blocked, blockedTarget{target: item.Target, rank: item.Rank})
			return
		case placeNoFit:
			*setAsideLeft--
			if item.Postponed() {
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

// keyGrantedToOther reports whether another request was granted under the same
// caller key.
func (o *Owner) keyGrantedToOther(r *request) bool {
	return o.grantedKeys.grantedToOther(&r.spec) && !o.defectInjected(defectGrantKeyTwice)
}

// isFull reports whether no endpoint of a target has room.
func (o *Owner) isFull(t structs.Target) bool {
	s := o.targets[t]
	return s == nil || len(s.available) == 0
}

// placeRequest grants, postpones or refuses a request at the head of its lane.
func (o *Owner) placeRequest(r *request) placeResult {
	if o.keyGrantedToOther(r) {
		o.refuse(r, structs.OutcomeUnknown, structs.ReasonKeyGranted)
		return placeHandled
	}
	if o.isFull(r.spec.Target) {
		return placeNoRoom
	}
	if r.notBefore.After(o.now) {
		return placeNoFit
	}
	o.currentWork = o.placementWork(r)
	w := &o.currentWork
	if o.cannotMeetDeadline(w, r) {
		o.releaseReservation(r)
		o.waiting.Postpone(&r.item)
		return placeHandled
	}
	o.releaseReservation(r)
	best := o.choose(r, w)
	if best == nil {
		o.reserveSoonest(r, w)
		return placeNoFit
	}
	o.decisions.addPlacement(o.now, r.spec.ID, best.spec.Name, *w, o.nodes)
	o.grantTo(r, best, w)
	return placeHandled
}

// reserveSoonest reserves the endpoint that is expected to complete a request
// first. Less urgent work cannot use it until the request is placed or ends, or
// a more urgent request reserves it.
func (o *Owner) reserveSoonest(r *request, w *placement.Work) {
	e := o.soonestCandidate(w)
	if e == nil || w.Late {
		return
	}
	if e.reservedFor != nil {
		o.releaseReservation(e.reservedFor)
	}
	e.reservedFor = r
	r.reservedEndpoint = e
}

// resumeReserved resumes the request that an endpoint is reserved for, after
// the load of the endpoint has dropped.
func (o *Owner) resumeReserved(e *endpoint) {
	if e.reservedFor != nil {
		o.waiting.ResumeItem(&e.reservedFor.item)
	}
}

func (o *Owner) releaseReservation(r *request) {
	if r.reservedEndpoint != nil {
		r.reservedEndpoint.reservedFor = nil
		r.reservedEndpoint = nil
	}
}

// cannotMeetDeadline reports whether a request that is not yet postponed would
// miss its deadline even with the minimum run time.
func (o *Owner) cannotMeetDeadline(w *placement.Work, r *request) bool {
	if w.Late || w.Service || o.options.Disabled.Postponement {
		return false
	}
	minimum := o.targets[r.spec.Target].minRunTime(w)
	return time.Duration(minTimeLeftShare*float64(minimum)) > w.TimeLeft
}

func (o *Owner) grantTo(r *request, e *endpoint, w *placement.Work) {
	if !o.checkGrant(r, e) {
		return
	}
	o.waiting.Remove(&r.item)
	o.lastGrant++
	r.grant = o.lastGrant
	r.grantOutstanding = true
	o.assign(r, e, phaseGranted, w)
	o.retries.RecordGrant()
	o.totals.Grants++
	o.emitGrant(r)
}

// checkGrant asserts the invariants of a grant. Conditions are evaluated before
// calling invariant.Check, because every argument of a call costs an
// allocation.
func (o *Owner) checkGrant(r *request, e *endpoint) bool {
	switch {
	case r.phase != phaseWaiting || r.grantOutstanding:
		return invariant.Check(false, "grant-once", "request %s granted in phase %d", r.spec.ID, r.phase)
	case !e.eligible() || !e.serves(r.spec.Target):
		return invariant.Check(false, "grant-eligible",
			"endpoint %s takes no new work for %s", e.spec.Name, r.spec.Target)
	case o.grantedKeys.grantedToOther(&r.spec):
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

// assign assigns a request that is not in the queue to an endpoint.
func (o *Owner) assign(r *request, e *endpoint, p phase, w *placement.Work) {
	r.phase = p
	r.endpoint = e
	r.grantedAt = o.now
	r.lastReport = o.now
	r.run = runStats{expectedCached: o.estimateCached(r, e), upperOutput: w.OutputUpperBound, outputAt: o.now}
	if !w.Service {
		r.run.pendingPrefill = max(r.spec.PromptTokens-r.run.expectedCached, 1)
	}
	r.windowTokens = windowCost(r, w)
	o.addToEndpoint(r, e)
	r.charged = o.cost(r.run.pendingPrefill, w.Output)
	o.charge(r, r.charged)
	o.grantedKeys.recordGrant(&r.spec)
	if !w.Service && !o.options.Disabled.PrefixIndex {
		o.prefixes.Insert(o.now, e.number, r.spec.Prefix)
	}
	o.setTimer(r, o.releaseDeadline(r))
	o.updateAvailability(e)
}

func (o *Owner) addToEndpoint(r *request, e *endpoint) {
	if e.running == 0 {
		e.lastActivity = o.now
	}
	r.endpointIndex = len(e.requests)
	e.requests = append(e.requests, r)
	e.running++
	e.inFlight += r.windowTokens
	e.prefillAhead += r.run.pendingPrefill
	r.run.backlogAtDispatch = e.prefillAhead
}

// unassign removes a request from its endpoint, if it has one.
func (o *Owner) unassign(r *request) {
	e := r.endpoint
	if e == nil {
		return
	}
	o.completePrefill(r)
	if !o.defectInjected(defectLeakWindowTokens) {
		e.inFlight -= r.windowTokens
	}
	e.running--
	last := len(e.requests) - 1
	e.requests[r.endpointIndex] = e.requests[last]
	e.requests[r.endpointIndex].endpointIndex = r.endpointIndex
	e.requests[last] = nil
	e.requests = e.requests[:last]
	r.endpoint = nil
	r.windowTokens = 0
	o.resumeReserved(e)
	o.updateAvailability(e)
}

// completePrefill moves a request's prompt from the prefill backlog to the
// completed total. Further calls have no effect.
func (o *Owner) completePrefill(r *request) {
	r.endpoint.prefillAhead -= r.run.pendingPrefill
	r.endpoint.prefilled += r.run.pendingPrefill
	r.run.pendingPrefill = 0
}

// serviceCallTokens is what one service call counts against a window.
const serviceCallTokens structs.Tokens = 1024

// windowCost is what a request counts against its endpoint's window.
func windowCost(r *request, w *placement.Work) structs.Tokens {
	if w.Service {
		return serviceCallTokens
	}
	return r.run.pendingPrefill + w.Output
}

// decodeTokenCost is the cost of one generated token, in prefilled tokens.
const decodeTokenCost = 4

// cost is what an organisation is charged for a request, in prefilled tokens.
func (o *Owner) cost(prefill, output structs.Tokens) float64 {
	return float64(prefill) + decodeTokenCost*float64(output)
}

func (o *Owner) charge(r *request, cost float64) {
	if !o.options.Disabled.Fairness {
		o.waiting.Charge(r.spec.Rank, r.spec.Organisation, r.spec.Weight, cost)
	}
}

// adoptRunning records a request that was granted by an earlier owner and is
// already running.
func (o *Owner) adoptRunning(r *request, name structs.EndpointName) {
	if r.item.Queued() {
		o.waiting.Remove(&r.item)
	}
	o.unassign(r)
	r.grant = 0
	r.grantOutstanding = true
	w := o.placementWork(r)
	o.assign(r, o.endpointFor(name), phaseRunning, &w)
	o.completePrefill(r)
	o.updateAvailability(r.endpoint)
}

// confirmRunning records that the entry has dispatched a request, on the
// endpoint that this owner or an earlier one granted.
func (o *Owner) confirmRunning(r *request, name structs.EndpointName) {
	if r.endpoint == nil || r.endpoint.spec.Name != name {
		o.adoptRunning(r, name)
	}
	r.phase = phaseRunning
	r.lastReport = o.now
	o.setTimer(r, o.releaseDeadline(r))
}

// handleReturn requeues a request whose grant the entry returned unsent.
func (o *Owner) handleReturn(e scheduling.Return) {
	r, ok := o.requests[e.ID]
	if !ok || r.phase != phaseGranted || r.grant != e.Grant && !o.defectInjected(defectAcceptAnyReturn) {
		return
	}
	from := r.endpoint
	r.grantOutstanding = false
	o.unassign(r)
	o.charge(r, -r.charged)
	o.grantedKeys.releaseReturned(&r.spec)
	o.totals.Returned++
	r.returnedBy = from.spec.Name
	if isEndpointFailure(e.Reason) {
		o.recordFailure(from)
	}
	if r.entryLost {
		o.finishRequest(r, structs.OutcomeNotRun, structs.ReasonEntryLost)
		return
	}
	if !o.retries.Take(o.now) {
		r.notBefore = o.now.Add(retryDelay)
	}
	o.enqueue(r)
}

// retryDelay is how long a returned request waits while the retry budget is
// empty. It is not refused, because less urgent work may still be waiting.
const retryDelay = time.Second
