package entry

import (
	"container/heap"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The invariants checked while events are applied.
const (
	// AtMostOnce: a request that may have been sent is never dispatched again.
	AtMostOnce invariant.Name = "entry-dispatch-at-most-once"
	// OneOutcome: each accepted request is concluded exactly once.
	OneOutcome invariant.Name = "entry-one-outcome"
	// NotRunUnsent: a request is concluded as not_run only if no byte of it was
	// sent.
	NotRunUnsent invariant.Name = "entry-truthful-not-run"
	// ShedLowestFirst: memory is released from the lowest waiting tier.
	ShedLowestFirst invariant.Name = "entry-shed-lowest-first"
)

const (
	// DefaultReofferInterval is the default interval at which all unfinished
	// requests are offered again, to recover from messages lost with a session.
	DefaultReofferInterval = 2 * time.Second
	// OfferBatchLimit is the maximum number of offers in one message.
	OfferBatchLimit = 256
	// memoryRetryAfter is the retry delay suggested when a request is refused
	// for lack of memory.
	memoryRetryAfter = time.Second
)

// Options configures an Entry.
type Options struct {
	Self            instance.Process
	ReofferInterval time.Duration
}

type phase int8

const (
	phaseWaiting phase = iota + 1
	phaseDispatched
	phaseConcluded
)

// request is one accepted request until its dispatch has been answered.
//
// Invariants: phase moves only from waiting to dispatched to concluded, except
// that NotSent moves it from dispatched back to waiting; attempt rises by one
// with each Dispatch; a request that is concluded while its attempt is
// unanswered is retained until the answer, and is concluded only once.
type request struct {
	spec       structs.Request
	shard      Shard
	acceptedAt time.Time
	phase      phase
	attempt    uint64
	grant      scheduling.GrantID
	grantedBy  instance.ID
	endpoint   structs.EndpointName
	output     structs.Tokens
	// mayHaveSent is set by Dispatch and cleared only by NotSent and Declined.
	mayHaveSent  bool
	cancelReason structs.Reason
	// finish is the report of a finished dispatch.
	finish        scheduling.Finish
	deadlineIndex int
}

// Entry is the state machine of the entry role. It is not safe for concurrent
// use.
type Entry struct {
	options   Options
	requests  map[structs.RequestID]*request
	shards    map[Shard]*shardState
	deadlines deadlineHeap
	effects   []Effect
	// waiting counts the requests in phaseWaiting.
	waiting  int
	finished finishedRequests
}

type shardState struct {
	owner       instance.ID
	requests    map[structs.RequestID]*request
	nextReoffer time.Time
}

// New returns an Entry without requests.
func New(o Options) *Entry {
	if o.ReofferInterval == 0 {
		o.ReofferInterval = DefaultReofferInterval
	}
	return &Entry{
		options:  o,
		requests: make(map[structs.RequestID]*request),
		shards:   make(map[Shard]*shardState),
		finished: newFinishedRequests(),
	}
}

// Len returns the number of unfinished requests, including running ones.
func (e *Entry) Len() int { return len(e.requests) }

// Waiting returns the number of requests that wait for a grant.
func (e *Entry) Waiting() int { return e.waiting }

// Ready returns the effects since the last call, in order.
func (e *Entry) Ready() []Effect {
	effects := e.effects
	e.effects = nil
	return effects
}

// Step applies one event.
func (e *Entry) Step(now time.Time, event Event) {
	switch ev := event.(type) {
	case Accept:
		e.handleAccept(now, ev)
	case OwnerChanged:
		e.handleOwnerChanged(now, ev)
	case Granted:
		e.handleGranted(now, ev)
	case Refused:
		e.handleRefused(ev)
	case CancelRequested:
		e.handleCancelRequested(ev)
	case NotSent:
		e.handleNotSent(now, ev)
	case Declined:
		e.handleDeclined(ev)
	case Progressed:
		e.handleProgressed(ev)
	case Finished:
		e.handleFinished(ev)
	case CallerDisconnected:
		e.handleCallerDisconnected(ev)
	case ReleaseMemory:
		e.handleReleaseMemory(ev)
	}
}

// Tick expires deadlines and repeats the offers that are due.
func (e *Entry) Tick(now time.Time) {
	e.expire(now)
	for _, shard := range e.sortedShards() {
		state := e.shards[shard]
		if len(state.requests) == 0 || now.Before(state.nextReoffer) {
			continue
		}
		e.offerAll(now, shard, state)
	}
}

func (e *Entry) emit(effect Effect) { e.effects = append(e.effects, effect) }

func (e *Entry) handleAccept(now time.Time, ev Accept) {
	id := ev.Request.ID
	if _, known := e.requests[id]; known {
		invariant.Check(false, OneOutcome, "request %s accepted twice", id)
		return
	}
	r := &request{spec: ev.Request, shard: ev.Shard, acceptedAt: now, phase: phaseWaiting}
	e.requests[id] = r
	e.waiting++
	heap.Push(&e.deadlines, r)
	state := e.shardState(now, ev.Shard)
	state.requests[id] = r
	if state.owner != "" {
		e.emit(SendOffers{To: state.owner, Shard: ev.Shard, Offers: []scheduling.Offer{e.offer(r)}})
	}
}

func (e *Entry) conclude(r *request, outcome structs.Outcome, reason structs.Reason, detail string, retryAfter time.Duration) {
	invariant.Check(r.phase != phaseConcluded, OneOutcome, "request %s concluded twice", r.spec.ID)
	if !invariant.Check(outcome != structs.OutcomeNotRun || !r.mayHaveSent, NotRunUnsent,
		"request %s may have been sent in attempt %d", r.spec.ID, r.attempt) {
		outcome = structs.OutcomeUnknown
	}
	if r.phase == phaseWaiting {
		e.waiting--
	}
	r.phase = phaseConcluded
	e.emit(Conclude{
		Request: r.spec.ID, Outcome: outcome, Reason: reason, Detail: detail,
		Endpoint: r.endpoint, RetryAfter: retryAfter,
	})
}

func (e *Entry) remove(r *request) {
	e.finished.add(finishedRequest{id: r.spec.ID, mayHaveSent: r.mayHaveSent, finish: r.finish})
	delete(e.requests, r.spec.ID)
	delete(e.shards[r.shard].requests, r.spec.ID)
	if r.deadlineIndex >= 0 {
		heap.Remove(&e.deadlines, r.deadlineIndex)
	}
}
