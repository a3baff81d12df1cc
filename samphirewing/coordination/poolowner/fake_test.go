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

// The fake system around an owner: entries, endpoints and a network that
// loses, repeats and reorders messages, all drawn from one seed.

const (
	fakeLoss      = 0.03
	fakeRepeat    = 0.03
	fakeEntries   = 3
	fakeEndpoints = 5
	fakeRequests  = 250
	fakeArrivals  = 40 * time.Second
	fakeEnd       = 150 * time.Second
)

type fakeEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type fakeRequest struct {
	spec       structs.Request
	entry      *fakeEntry
	dispatched bool
	ended      bool
	grant      scheduling.GrantID
	by         *fakeOwner
	endpoint   structs.EndpointName
	output     structs.Tokens
	// returned holds the grants given back; a returned grant is void.
	returned map[returnedGrant]bool
}

type returnedGrant struct {
	by *fakeOwner
	id scheduling.GrantID
}

type fakeEntry struct {
	life     instance.Process
	alive    bool
	requests []*fakeRequest
}

type fakeOwner struct {
	owner     *Owner
	takenOver bool
	pool      scheduling.PoolSpec
	// granted holds the unreturned grant of each request.
	granted map[structs.RequestID]scheduling.GrantID
	keys    map[string]structs.RequestID
	// refused holds the requests whose refusals after the first are repeats.
	refused map[structs.RequestID]bool
}

type fakeSystem struct {
	random   *rand.Rand
	breakage breakage
	now      time.Duration
	sequence int
	queue    *indexheap.Heap[*fakeEvent]
	entries  []*fakeEntry
	owner    *fakeOwner
	specs    []scheduling.EndpointSpec
	dead     map[structs.EndpointName]bool
	byID     map[structs.RequestID]*fakeRequest
	lives    uint64
}

// violation is what the fake system saw go wrong.
type violation string

func newFakeSystem(seed uint64, b breakage) *fakeSystem {
	f := &fakeSystem{
		random:   rand.New(rand.NewPCG(seed, 99)),
		breakage: b,
		queue: indexheap.New(func(a, b *fakeEvent) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.sequence < b.sequence
		}, func(*fakeEvent, int) {}),
		dead: map[structs.EndpointName]bool{},
		byID: map[structs.RequestID]*fakeRequest{},
	}
	for i := range fakeEndpoints {
		f.specs = append(f.specs, scheduling.EndpointSpec{
			Name:    structs.EndpointName(fmt.Sprintf("e%d", i)),
			Targets: [][]structs.Target{{"draft"}, {"draft", "quote"}, {"quote"}, {"draft"}, {"orders"}}[i],
			Listed:  true,
		})
	}
	for i := range fakeEntries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	f.takeOver()
	return f
}

func (f *fakeSystem) newEntry(i int) *fakeEntry {
	f.lives++
	return &fakeEntry{life: instance.Process{ID: instance.ID(fmt.Sprintf("n%d", i)), Incarnation: instance.Incarnation(f.lives)}, alive: true}
}

func (f *fakeSystem) after(d time.Duration, do func()) {
	f.sequence++
	f.queue.Push(&fakeEvent{at: f.now + d, sequence: f.sequence, do: do})
}

func (f *fakeSystem) chance(p float64) bool { return f.random.Float64() < p }

func (f *fakeSystem) within(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)) + 1)
}

// send carries a message with the network's faults.
func (f *fakeSystem) send(do func()) {
	if f.chance(fakeLoss) {
		return
	}
	f.after(f.within(150*time.Millisecond), do)
	if f.chance(fakeRepeat) {
		f.after(f.within(2*time.Second), do)
	}
}

// tell sends an event to whoever owns the shard when it arrives.
func (f *fakeSystem) tell(e scheduling.Event) { f.send(func() { f.step(e) }) }

func (f *fakeSystem) step(e scheduling.Event) {
	if r, ok := e.(scheduling.Return); ok && f.owner.granted[r.ID] == r.Grant {
		f.returned(r.ID)
	}
	f.owner.owner.Step(start.Add(f.now), e)
	f.carryOut()
}

func (f *fakeSystem) returned(id structs.RequestID) {
	delete(f.owner.granted, id)
	key := f.byID[id].spec.CallerKey
	if f.owner.keys[key] == id {
		delete(f.owner.keys, key)
	}
}

func (f *fakeSystem) carryOut() {
	by := f.owner
	for _, e := range by.owner.Ready() {
		switch e := e.(type) {
		case scheduling.Grant:
			f.checkGrant(e)
			f.send(func() { f.grantArrives(by, e) })
		case scheduling.Refuse:
			f.checkRefusal(e)
			f.send(func() { f.refusalArrives(by, e) })
		}
	}
}

func (f *fakeSystem) checkGrant(g scheduling.Grant) {
	if last, ok := f.owner.granted[g.Request]; ok && last != g.ID {
		panic(violation(fmt.Sprintf("%s granted as %d while grant %d was not returned", g.Request, g.ID, last)))
	}
	f.owner.granted[g.Request] = g.ID
	if key := f.byID[g.Request].spec.CallerKey; key != "" {
		if holder, ok := f.owner.keys[key]; ok && holder != g.Request {
			panic(violation(fmt.Sprintf("key %s granted to %s and %s", key, holder, g.Request)))
		}
		f.owner.keys[key] = g.Request
	}
	for _, e := range f.owner.pool.Endpoints {
		if e.Name == g.Endpoint && e.Listed && !e.Leaving && !e.Drained {
			return
		}
	}
	panic(violation(fmt.Sprintf("%s granted to %s, which takes no new work", g.Request, g.Endpoint)))
}

func (f *fakeSystem) checkRefusal(e scheduling.Refuse) {
	if _, granted := f.owner.granted[e.Request]; granted && e.Refusal.Outcome == structs.OutcomeNotRun {
		panic(violation(fmt.Sprintf("%s refused as not run while granted", e.Request)))
	}
	repeat := f.owner.refused[e.Request]
	f.owner.refused[e.Request] = true
	if e.Refusal.Reason != structs.ReasonQueueFull || repeat {
		return
	}
	if !f.owner.takenOver {
		panic(violation(fmt.Sprintf("%s shed during takeover", e.Request)))
	}
	rank := f.byID[e.Request].spec.Rank
	for _, w := range f.owner.owner.Snapshot().Waiting {
		if w.Rank > rank {
			panic(violation(fmt.Sprintf("%s of rank %d shed while rank %d waits", e.Request, rank, w.Rank)))
		}
	}
}

// grantArrives is the entry's part: it dispatches a request once, and returns
// every other grant unsent.
func (f *fakeSystem) grantArrives(by *fakeOwner, g scheduling.Grant) {
	r := f.byID[g.Request]
	if !r.entry.alive || r.dispatched && r.by == by && r.grant == g.ID || f.chance(0.02) {
		return
	}
	if r.returned[returnedGrant{by, g.ID}] {
		return
	}
	give := func(reason structs.Reason) {
		r.returned[returnedGrant{by, g.ID}] = true
		f.send(func() {
			if f.owner == by {
				f.step(scheduling.Return{ID: g.Request, Grant: g.ID, Reason: reason})
			}
		})
	}
	switch {
	case r.dispatched || r.ended:
		give(structs.ReasonCallerLeft)
	case f.dead[g.Endpoint] || f.chance(0.05):
		give(structs.ReasonConnectFailed)
	default:
		r.dispatched = true
		r.by = by
		r.grant = g.ID
		r.endpoint = g.Endpoint
		f.work(r)
	}
}

// work plays a dispatched request: first token, progress, end.
func (f *fakeSystem) work(r *fakeRequest) {
	first := f.within(800 * time.Millisecond)
	whole := first + f.within(5*time.Second)
	f.after(first, func() { f.report(r, first) })
	f.after((first+whole)/2, func() { f.report(r, 0) })
	f.after(whole, func() {
		switch {
		case f.dead[r.endpoint]:
			f.finish(r, structs.OutcomeUnknown, structs.ReasonStreamBroken, 0, whole)
		case f.chance(0.1):
			f.finish(r, structs.OutcomeFailed, structs.ReasonEngineError, first, whole)
		default:
			f.finish(r, structs.OutcomeDone, structs.ReasonNone, first, whole)
		}
	})
}

func (f *fakeSystem) report(r *fakeRequest, first time.Duration) {
	if !r.entry.alive || r.ended || f.dead[r.endpoint] {
		return
	}
	r.output += structs.Tokens(1 + f.random.IntN(40))
	f.tell(scheduling.Progress{ID: r.spec.ID, Grant: r.grant, Endpoint: r.endpoint, FirstTokenAfter: first, Output: r.output})
}

func (f *fakeSystem) finish(r *fakeRequest, o structs.Outcome, reason structs.Reason, first, whole time.Duration) {
	if !r.entry.alive || r.ended {
		return
	}
	r.ended = true
	f.tell(scheduling.Finish{
		ID: r.spec.ID, Grant: r.grant, Endpoint: r.endpoint, Outcome: o, Reason: reason,
		FirstTokenAfter: first, Duration: whole, PromptTokens: r.spec.PromptTokens, OutputTokens: r.output,
	})
}

func (f *fakeSystem) refusalArrives(by *fakeOwner, e scheduling.Refuse) {
	r := f.byID[e.Request]
	if r.dispatched && e.Refusal.Outcome == structs.OutcomeNotRun && r.by == by {
		panic(violation(fmt.Sprintf("%s dispatched and then refused as not run", e.Request)))
	}
	if !r.dispatched {
		r.ended = true
	}
}
