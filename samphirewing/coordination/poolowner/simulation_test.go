package poolowner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	messageLossRate   = 0.03
	messageRepeatRate = 0.03
	entryCount        = 3
	endpointCount     = 5
	requestCount      = 250
	arrivalPeriod     = 40 * time.Second
	simulationPeriod  = 150 * time.Second
)

type simulatedEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type simulatedRequest struct {
	spec       structs.Request
	entry      *simulatedEntry
	dispatched bool
	ended      bool
	grant      scheduling.GrantID
	grantedBy  *simulatedOwner
	endpoint   structs.EndpointName
	output     structs.Tokens
	// returned holds the grants that the entry has returned; a returned grant
	// is void.
	returned map[returnedGrant]bool
}

type returnedGrant struct {
	owner *simulatedOwner
	id    scheduling.GrantID
}

type simulatedEntry struct {
	incarnation instance.Process
	alive       bool
	requests    []*simulatedRequest
}

type simulatedOwner struct {
	owner        *Owner
	takeoverDone bool
	pool         scheduling.PoolSpec
	// granted holds the outstanding grant of each request.
	granted map[structs.RequestID]scheduling.GrantID
	keys    map[string]structs.RequestID
	// refused holds the refused requests. Further refusals of them are repeats.
	refused map[structs.RequestID]bool
}

// simulation simulates the system around an owner: entries, endpoints and a
// network that loses, repeats and reorders messages. All random choices are
// drawn from one seed.
type simulation struct {
	random       *rand.Rand
	defect       defect
	now          time.Duration
	sequence     int
	queue        *indexheap.Heap[*simulatedEvent]
	entries      []*simulatedEntry
	owner        *simulatedOwner
	specs        []scheduling.EndpointSpec
	dead         map[structs.EndpointName]bool
	byID         map[structs.RequestID]*simulatedRequest
	incarnations uint64
}

// violation describes a violated invariant that the simulation detected.
type violation string

func newSimulation(seed uint64, injected defect) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 99)),
		defect: injected,
		queue: indexheap.New(func(a, b *simulatedEvent) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.sequence < b.sequence
		}, func(*simulatedEvent, int) {}),
		dead: map[structs.EndpointName]bool{},
		byID: map[structs.RequestID]*simulatedRequest{},
	}
	for i := range endpointCount {
		s.specs = append(s.specs, scheduling.EndpointSpec{
			Name:    structs.EndpointName(fmt.Sprintf("e%d", i)),
			Targets: [][]structs.Target{{"draft"}, {"draft", "quote"}, {"quote"}, {"draft"}, {"orders"}}[i],
			Listed:  true,
		})
	}
	for i := range entryCount {
		s.entries = append(s.entries, s.newEntry(i))
	}
	s.replaceOwner()
	return s
}

func (s *simulation) newEntry(i int) *simulatedEntry {
	s.incarnations++
	return &simulatedEntry{incarnation: instance.Process{ID: instance.ID(fmt.Sprintf("n%d", i)), Incarnation: instance.Incarnation(s.incarnations)}, alive: true}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	s.queue.Push(&simulatedEvent{at: s.now + d, sequence: s.sequence, do: do})
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)) + 1)
}

// send delivers a message, subject to loss, repetition and random delay.
func (s *simulation) send(do func()) {
	if s.chance(messageLossRate) {
		return
	}
	s.after(s.randomDuration(150*time.Millisecond), do)
	if s.chance(messageRepeatRate) {
		s.after(s.randomDuration(2*time.Second), do)
	}
}

// sendToOwner sends an event to the instance that owns the shard when the event
// arrives.
func (s *simulation) sendToOwner(e scheduling.Event) { s.send(func() { s.step(e) }) }

func (s *simulation) step(e scheduling.Event) {
	if r, ok := e.(scheduling.Return); ok && s.owner.granted[r.ID] == r.Grant {
		s.recordReturn(r.ID)
	}
	s.owner.owner.Step(start.Add(s.now), e)
	s.applyEffects()
}

func (s *simulation) recordReturn(id structs.RequestID) {
	delete(s.owner.granted, id)
	key := s.byID[id].spec.CallerKey
	if s.owner.keys[key] == id {
		delete(s.owner.keys, key)
	}
}

func (s *simulation) applyEffects() {
	owner := s.owner
	for _, e := range owner.owner.Ready() {
		switch e := e.(type) {
		case scheduling.Grant:
			s.checkGrant(e)
			s.send(func() { s.receiveGrant(owner, e) })
		case scheduling.Refuse:
			s.checkRefusal(e)
			s.send(func() { s.receiveRefusal(owner, e) })
		}
	}
}

func (s *simulation) checkGrant(g scheduling.Grant) {
	if last, ok := s.owner.granted[g.Request]; ok && last != g.ID {
		panic(violation(fmt.Sprintf("%s granted as %d while grant %d was not returned", g.Request, g.ID, last)))
	}
	s.owner.granted[g.Request] = g.ID
	if key := s.byID[g.Request].spec.CallerKey; key != "" {
		if holder, ok := s.owner.keys[key]; ok && holder != g.Request {
			panic(violation(fmt.Sprintf("key %s granted to %s and %s", key, holder, g.Request)))
		}
		s.owner.keys[key] = g.Request
	}
	for _, e := range s.owner.pool.Endpoints {
		if e.Name == g.Endpoint && e.Listed && !e.Leaving && !e.Drained {
			return
		}
	}
	panic(violation(fmt.Sprintf("%s granted to %s, which takes no new work", g.Request, g.Endpoint)))
}

func (s *simulation) checkRefusal(e scheduling.Refuse) {
	if _, granted := s.owner.granted[e.Request]; granted && e.Refusal.Outcome == structs.OutcomeNotRun {
		panic(violation(fmt.Sprintf("%s refused as not run while granted", e.Request)))
	}
	repeat := s.owner.refused[e.Request]
	s.owner.refused[e.Request] = true
	if e.Refusal.Reason != structs.ReasonQueueFull || repeat {
		return
	}
	if !s.owner.takeoverDone {
		panic(violation(fmt.Sprintf("%s shed during takeover", e.Request)))
	}
	rank := s.byID[e.Request].spec.Rank
	for _, w := range s.owner.owner.Snapshot().Waiting {
		if w.Rank > rank {
			panic(violation(fmt.Sprintf("%s of rank %d shed while rank %d waits", e.Request, rank, w.Rank)))
		}
	}
}

// receiveGrant simulates the entry: it dispatches a request once, and returns
// every other grant unsent.
func (s *simulation) receiveGrant(owner *simulatedOwner, g scheduling.Grant) {
	r := s.byID[g.Request]
	if !r.entry.alive || r.dispatched && r.grantedBy == owner && r.grant == g.ID || s.chance(0.02) {
		return
	}
	if r.returned[returnedGrant{owner, g.ID}] {
		return
	}
	returnGrant := func(reason structs.Reason) {
		r.returned[returnedGrant{owner, g.ID}] = true
		s.send(func() {
			if s.owner == owner {
				s.step(scheduling.Return{ID: g.Request, Grant: g.ID, Reason: reason})
			}
		})
	}
	switch {
	case r.dispatched || r.ended:
		returnGrant(structs.ReasonCallerLeft)
	case s.dead[g.Endpoint] || s.chance(0.05):
		returnGrant(structs.ReasonConnectFailed)
	default:
		r.dispatched = true
		r.grantedBy = owner
		r.grant = g.ID
		r.endpoint = g.Endpoint
		s.runRequest(r)
	}
}

// runRequest simulates a dispatched request: its first token, its progress and
// its finish.
func (s *simulation) runRequest(r *simulatedRequest) {
	first := s.randomDuration(800 * time.Millisecond)
	total := first + s.randomDuration(5*time.Second)
	s.after(first, func() { s.sendProgress(r, first) })
	s.after((first+total)/2, func() { s.sendProgress(r, 0) })
	s.after(total, func() {
		switch {
		case s.dead[r.endpoint]:
			s.sendFinish(r, structs.OutcomeUnknown, structs.ReasonStreamBroken, 0, total)
		case s.chance(0.1):
			s.sendFinish(r, structs.OutcomeFailed, structs.ReasonEngineError, first, total)
		default:
			s.sendFinish(r, structs.OutcomeDone, structs.ReasonNone, first, total)
		}
	})
}

func (s *simulation) sendProgress(r *simulatedRequest, first time.Duration) {
	if !r.entry.alive || r.ended || s.dead[r.endpoint] {
		return
	}
	r.output += structs.Tokens(1 + s.random.IntN(40))
	s.sendToOwner(scheduling.Progress{ID: r.spec.ID, Grant: r.grant, Endpoint: r.endpoint, FirstTokenAfter: first, Output: r.output})
}

func (s *simulation) sendFinish(r *simulatedRequest, o structs.Outcome, reason structs.Reason, first, total time.Duration) {
	if !r.entry.alive || r.ended {
		return
	}
	r.ended = true
	s.sendToOwner(scheduling.Finish{
		ID: r.spec.ID, Grant: r.grant, Endpoint: r.endpoint, Outcome: o, Reason: reason,
		FirstTokenAfter: first, Duration: total, PromptTokens: r.spec.PromptTokens, OutputTokens: r.output,
	})
}

func (s *simulation) receiveRefusal(owner *simulatedOwner, e scheduling.Refuse) {
	r := s.byID[e.Request]
	if r.dispatched && e.Refusal.Outcome == structs.OutcomeNotRun && r.grantedBy == owner {
		panic(violation(fmt.Sprintf("%s dispatched and then refused as not run", e.Request)))
	}
	if !r.dispatched {
		r.ended = true
	}
}
