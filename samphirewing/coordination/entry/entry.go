package entry

import (
	"container/heap"
	"sort"
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
	// DefaultReofferEvery is how often everything held is offered again, which
	// heals messages lost with a session.
	DefaultReofferEvery = 2 * time.Second
	// OfferBatchLimit is the most offers in one message.
	OfferBatchLimit = 256
	// memoryRetryAfter is the delay suggested after a refusal for memory.
	memoryRetryAfter = time.Second
)

// Options configure an Entry.
type Options struct {
	Self         instance.Life
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
		o.ReofferEvery = DefaultReofferEvery
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
	case OwnerIs:
		e.ownerIs(now, ev)
	case Granted:
		e.granted(now, ev)
	case Refused:
		e.refused(ev)
	case CancelAsked:
		e.cancelAsked(ev)
	case NotSent:
		e.notSent(now, ev)
	case Declined:
		e.declined(ev)
	case Progressed:
		e.progressed(ev)
	case Ended:
		e.ended(ev)
	case CallerLeft:
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

func (e *Entry) shard(now time.Time, s Shard) *shardState {
	state, ok := e.shards[s]
	if !ok {
		state = &shardState{
			requests:    make(map[structs.RequestID]*held),
			nextReoffer: now.Add(e.options.ReofferEvery),
		}
		e.shards[s] = state
	}
	return state
}

func (e *Entry) ownerIs(now time.Time, ev OwnerIs) {
	state := e.shard(now, ev.Shard)
	if state.owner == ev.Owner {
		return
	}
	previous := state.owner
	state.owner = ev.Owner
	if previous != "" {
		e.withdrawAll(previous, ev.Shard, state)
	}
	e.offerAll(now, ev.Shard, state)
}

// withdrawAll takes waiting requests back from an owner that was replaced, so
// that one which still lives places none of them.
func (e *Entry) withdrawAll(previous instance.ID, shard Shard, state *shardState) {
	for _, h := range sortedHeld(state.requests) {
		if h.phase != waiting {
			continue
		}
		w := scheduling.Withdraw{ID: h.request.ID}
		e.emit(SendWithdraw{To: previous, Shard: shard, Withdraw: w})
	}
}

func (e *Entry) offerAll(now time.Time, shard Shard, state *shardState) {
	state.nextReoffer = now.Add(e.options.ReofferEvery)
	if state.owner == "" {
		return
	}
	var batch []scheduling.Offer
	for _, h := range sortedHeld(state.requests) {
		batch = append(batch, e.offer(h))
		if len(batch) == OfferBatchLimit {
			e.emit(SendOffers{To: state.owner, Shard: shard, Offers: batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		e.emit(SendOffers{To: state.owner, Shard: shard, Offers: batch})
	}
}

func (e *Entry) offer(h *held) scheduling.Offer {
	o := scheduling.Offer{Request: h.request}
	if h.phase != waiting {
		o.Running = true
		o.Endpoint = h.endpoint
		o.Streamed = h.output
	}
	return o
}

// granted dispatches a waiting request. A grant for a request that is already
// dispatched is answered with what runs, so that the owner's accounting
// follows; the request is never dispatched a second time.
func (e *Entry) granted(now time.Time, ev Granted) {
	h, ok := e.held[ev.Grant.Request]
	if !ok {
		e.grantedAfterEnd(ev)
		return
	}
	if h.phase != waiting {
		e.emit(SendOffers{To: ev.From, Shard: h.shard, Offers: []scheduling.Offer{e.offer(h)}})
		return
	}
	if !now.Before(h.request.Deadline) {
		e.returnGrant(ev, structs.ReasonDeadlineInQueue)
		e.conclude(h, structs.OutcomeNotRun, structs.ReasonDeadlineInQueue, "", 0)
		e.drop(h)
		return
	}
	e.dispatch(h, ev)
}

// grantedAfterEnd answers a grant for a request that has ended. It is returned
// only when the request is known not to have been sent, because a returned
// grant frees the caller's key; one that ran is reported again, and one that
// is no longer known is left to the owner's own time limit.
func (e *Entry) grantedAfterEnd(ev Granted) {
	past, known := e.past.byID[ev.Grant.Request]
	switch {
	case !known:
	case past.sent:
		e.emit(SendFinish{To: ev.From, Shard: ev.Shard, Finish: past.finish})
	default:
		e.returnGrant(ev, structs.ReasonCallerGone)
	}
}

func (e *Entry) dispatch(h *held, ev Granted) {
	if !invariant.Check(!h.mayHaveSent, AtMostOnce, "request %s granted after attempt %d", h.request.ID, h.attempt) {
		return
	}
	h.phase = dispatched
	h.mayHaveSent = true
	h.attempt++
	h.grant = ev.Grant.ID
	h.granter = ev.From
	h.endpoint = ev.Grant.Endpoint
	e.waiting--
	e.emit(Dispatch{
		Request:  h.request.ID,
		Attempt:  h.attempt,
		Grant:    h.grant,
		Endpoint: h.endpoint,
		Deadline: h.request.Deadline,
	})
}

func (e *Entry) returnGrant(ev Granted, reason structs.Reason) {
	r := scheduling.Return{ID: ev.Grant.Request, Grant: ev.Grant.ID, Reason: reason}
	e.emit(SendReturn{To: ev.From, Shard: ev.Shard, Return: r})
}

func (e *Entry) refused(ev Refused) {
	h, ok := e.held[ev.Request]
	if !ok || h.phase != waiting {
		return
	}
	if e.shards[h.shard].owner != ev.From {
		return
	}
	outcome := ev.Refusal.Outcome
	if outcome == structs.OutcomeNone {
		outcome = structs.OutcomeNotRun
	}
	e.conclude(h, outcome, ev.Refusal.Reason, "", ev.Refusal.RetryAfter)
	e.drop(h)
}

func (e *Entry) cancelAsked(ev CancelAsked) {
	h, ok := e.held[ev.Request]
	if !ok || h.phase != dispatched {
		return
	}
	e.cancel(h, ev.Reason)
}

// cancel stops a running attempt; its answer to Dispatch concludes it.
func (e *Entry) cancel(h *held, reason structs.Reason) {
	if h.cancelled != structs.ReasonNone {
		return
	}
	h.cancelled = reason
	e.emit(CancelDispatch{Request: h.request.ID, Attempt: h.attempt, Endpoint: h.endpoint, Reason: reason})
}

func (e *Entry) answered(id structs.RequestID, attempt uint64) (*held, bool) {
	h, ok := e.held[id]
	if !ok || h.phase == waiting || h.attempt != attempt {
		return nil, false
	}
	return h, true
}

func (e *Entry) notSent(now time.Time, ev NotSent) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	h.mayHaveSent = false
	r := scheduling.Return{ID: h.request.ID, Grant: h.grant, Reason: ev.Reason}
	e.emit(SendReturn{To: h.granter, Shard: h.shard, Return: r})
	if h.cancelled != structs.ReasonNone {
		e.conclude(h, structs.OutcomeNotRun, h.cancelled, "", 0)
		e.drop(h)
		return
	}
	h.phase = waiting
	h.endpoint = ""
	e.waiting++
	if !now.Before(h.request.Deadline) {
		e.expireHeld(h)
		return
	}
	if state := e.shards[h.shard]; state.owner != h.granter && state.owner != "" {
		e.emit(SendOffers{To: state.owner, Shard: h.shard, Offers: []scheduling.Offer{e.offer(h)}})
	}
}

func (e *Entry) declined(ev Declined) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	h.mayHaveSent = false
	r := scheduling.Return{ID: h.request.ID, Grant: h.grant, Reason: ev.Reason}
	e.emit(SendReturn{To: h.granter, Shard: h.shard, Return: r})
	e.withdrawFrom(h, ev.Reason)
	e.conclude(h, ev.Outcome, ev.Reason, ev.Detail, ev.RetryAfter)
	e.drop(h)
}

func (e *Entry) withdrawFrom(h *held, reason structs.Reason) {
	owner := e.shards[h.shard].owner
	if owner == "" {
		return
	}
	w := scheduling.Withdraw{ID: h.request.ID, Reason: reason}
	e.emit(SendWithdraw{To: owner, Shard: h.shard, Withdraw: w})
}

func (e *Entry) progressed(ev Progressed) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	h.output = ev.Output
	owner := e.shards[h.shard].owner
	if owner == "" {
		return
	}
	e.emit(SendProgress{To: owner, Shard: h.shard, Progress: scheduling.Progress{
		ID: h.request.ID, Grant: h.grant, Endpoint: h.endpoint,
		FirstTokenAfter: ev.FirstTokenAfter, Output: ev.Output,
	}})
}

func (e *Entry) ended(ev Ended) {
	h, ok := e.answered(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	outcome, reason := ev.Outcome, ev.Reason
	if outcome != structs.OutcomeDone && h.cancelled != structs.ReasonNone {
		reason = h.cancelled
	}
	finish := scheduling.Finish{
		ID: h.request.ID, Grant: h.grant, Endpoint: h.endpoint,
		Outcome: outcome, Reason: reason,
		FirstTokenAfter: ev.FirstTokenAfter, Whole: ev.Whole,
		PromptTokens: ev.PromptTokens, CachedTokens: ev.CachedTokens, OutputTokens: ev.OutputTokens,
	}
	owner := e.shards[h.shard].owner
	if owner != "" {
		e.emit(SendFinish{To: owner, Shard: h.shard, Finish: finish})
	}
	if h.granter != owner {
		e.emit(SendFinish{To: h.granter, Shard: h.shard, Finish: finish})
	}
	e.conclude(h, outcome, reason, ev.Detail, 0)
	h.finish = finish
	e.drop(h)
}

func (e *Entry) callerLeft(ev CallerLeft) {
	h, ok := e.held[ev.Request]
	if !ok {
		return
	}
	if h.phase == dispatched {
		e.cancel(h, structs.ReasonCallerGone)
		return
	}
	e.giveUp(h, structs.ReasonCallerGone, 0)
}

// giveUp withdraws and concludes a waiting request.
func (e *Entry) giveUp(h *held, reason structs.Reason, retryAfter time.Duration) {
	e.withdrawFrom(h, reason)
	e.conclude(h, structs.OutcomeNotRun, reason, "", retryAfter)
	e.drop(h)
}

func (e *Entry) releaseMemory(ev ReleaseMemory) {
	if e.waiting <= ev.Keep {
		return
	}
	candidates := e.waitingLowestFirst()
	lowest := candidates[0].request.Rank
	for _, h := range candidates[:e.waiting-ev.Keep] {
		invariant.Check(h.request.Rank <= lowest, ShedLowestFirst,
			"request %s of rank %d given up after rank %d", h.request.ID, h.request.Rank, lowest)
		lowest = h.request.Rank
		e.giveUp(h, structs.ReasonMemoryBound, memoryRetryAfter)
	}
}

// waitingLowestFirst orders waiting requests by tier, lowest first, and the
// youngest first inside a tier.
func (e *Entry) waitingLowestFirst() []*held {
	var all []*held
	for _, h := range e.held {
		if h.phase == waiting {
			all = append(all, h)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.request.Rank != b.request.Rank {
			return a.request.Rank > b.request.Rank
		}
		if !a.accepted.Equal(b.accepted) {
			return a.accepted.After(b.accepted)
		}
		return a.request.ID > b.request.ID
	})
	return all
}

func (e *Entry) expire(now time.Time) {
	for len(e.due) > 0 {
		h := e.due[0]
		if now.Before(h.request.Deadline) {
			return
		}
		if h.phase == dispatched {
			heap.Pop(&e.due)
			e.cancel(h, structs.ReasonDeadlineRunning)
			continue
		}
		e.expireHeld(h)
	}
}

func (e *Entry) expireHeld(h *held) {
	e.giveUp(h, structs.ReasonDeadlineInQueue, 0)
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

func (e *Entry) sortedShards() []Shard {
	all := make([]Shard, 0, len(e.shards))
	for s := range e.shards {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Pool != all[j].Pool {
			return all[i].Pool < all[j].Pool
		}
		return all[i].Number < all[j].Number
	})
	return all
}

// sortedHeld returns requests in the order of their acceptance.
func sortedHeld(requests map[structs.RequestID]*held) []*held {
	all := make([]*held, 0, len(requests))
	for _, h := range requests {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool {
		if !all[i].accepted.Equal(all[j].accepted) {
			return all[i].accepted.Before(all[j].accepted)
		}
		return all[i].request.ID < all[j].request.ID
	})
	return all
}
