package entry

import (
	"container/heap"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The invariants that every step checks.
const (
	// AtMostOnce: a request that may have been sent is never dispatched again.
	AtMostOnce invariant.Name = "entry-dispatch-at-most-once"
	// OneOutcome: each accepted request is concluded exactly once.
	OneOutcome invariant.Name = "entry-one-outcome"
	// TruthfulNotRun: not_run is only concluded for a request of which no
	// byte was sent.
	TruthfulNotRun invariant.Name = "entry-truthful-not-run"
	// ShedLowestFirst: memory is released from the lowest waiting tier.
	ShedLowestFirst invariant.Name = "entry-shed-lowest-first"
)

const (
	// DefaultReofferInterval is how often everything held is offered again, which
	// heals messages lost with a session.
	DefaultReofferInterval = 2 * time.Second
	// OfferBatchLimit is the most offers in one message.
	OfferBatchLimit = 256
	// memoryRetryAfter is the delay suggested after a refusal for memory.
	memoryRetryAfter = time.Second
)

// Options configure an Entry.
type Options struct {
	Self         instance.Process
	ReofferEvery time.Duration
}

type phase int8

const (
	waiting phase = iota + 1
	dispatched
	concluded
)

// held is one request from Accept until its dispatch has been answered.
//
// Invariants: phase only moves waiting -> dispatched -> concluded, with one
// step back from dispatched to waiting on NotSent; attempt rises by one per
// Dispatch; a request that is concluded while its attempt is unanswered stays
// held until the answer, and is concluded only once.
type held struct {
	request  structs.Request
	shard    Shard
	accepted time.Time
	phase    phase
	attempt  uint64
	grant    scheduling.GrantID
	granter  instance.ID
	endpoint structs.EndpointName
	output   structs.Tokens
	// mayHaveSent is set by Dispatch and cleared only by NotSent.
	mayHaveSent bool
	cancelled   structs.Reason
	// finish is the report of a dispatch that has ended.
	finish   scheduling.Finish
	dueIndex int
}

// Entry is the state machine. It is not safe for concurrent use.
type Entry struct {
	options Options
	held    map[structs.RequestID]*held
	shards  map[Shard]*shardState
	due     dueHeap
	effects []Effect
	waiting int
	past    endedRequests
}

type shardState struct {
	owner       instance.ID
	requests    map[structs.RequestID]*held
	nextReoffer time.Time
}

// New returns an Entry that holds nothing.
func New(o Options) *Entry {
	if o.ReofferEvery == 0 {
		o.ReofferEvery = DefaultReofferInterval
	}
	return &Entry{
		options: o,
		held:    make(map[structs.RequestID]*held),
		shards:  make(map[Shard]*shardState),
		past:    newEndedRequests(),
	}
}

// Len returns how many requests are held, running ones included.
func (e *Entry) Len() int { return len(e.held) }

// Waiting returns how many held requests wait for a grant.
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
		e.accept(now, ev)
	case OwnerChanged:
		e.ownerIs(now, ev)
	case Granted:
		e.granted(now, ev)
	case Refused:
		e.refused(ev)
	case CancelRequested:
		e.cancelAsked(ev)
	case NotSent:
		e.notSent(now, ev)
	case Declined:
		e.declined(ev)
	case Progressed:
		e.progressed(ev)
	case Finished:
		e.ended(ev)
	case CallerDisconnected:
		e.callerLeft(ev)
	case ReleaseMemory:
		e.releaseMemory(ev)
	}
}

// Tick expires deadlines and offers again what is due.
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

func (e *Entry) accept(now time.Time, ev Accept) {
	id := ev.Request.ID
	if _, known := e.held[id]; known {
		invariant.Check(false, OneOutcome, "request %s accepted twice", id)
		return
	}
	h := &held{request: ev.Request, shard: ev.Shard, accepted: now, phase: waiting}
	e.held[id] = h
	e.waiting++
	heap.Push(&e.due, h)
	state := e.shard(now, ev.Shard)
	state.requests[id] = h
	if state.owner != "" {
		e.emit(SendOffers{To: state.owner, Shard: ev.Shard, Offers: []scheduling.Offer{e.offer(h)}})
	}
}

func (e *Entry) conclude(h *held, outcome structs.Outcome, reason structs.Reason, detail string, retryAfter time.Duration) {
	invariant.Check(h.phase != concluded, OneOutcome, "request %s concluded twice", h.request.ID)
	if !invariant.Check(outcome != structs.OutcomeNotRun || !h.mayHaveSent, TruthfulNotRun,
		"request %s may have been sent in attempt %d", h.request.ID, h.attempt) {
		outcome = structs.OutcomeUnknown
	}
	if h.phase == waiting {
		e.waiting--
	}
	h.phase = concluded
	e.emit(Conclude{
		Request: h.request.ID, Outcome: outcome, Reason: reason, Detail: detail,
		Endpoint: h.endpoint, RetryAfter: retryAfter,
	})
}

func (e *Entry) drop(h *held) {
	e.past.add(endedRequest{id: h.request.ID, sent: h.mayHaveSent, finish: h.finish})
	delete(e.held, h.request.ID)
	delete(e.shards[h.shard].requests, h.request.ID)
	if h.dueIndex >= 0 {
		heap.Remove(&e.due, h.dueIndex)
	}
}
