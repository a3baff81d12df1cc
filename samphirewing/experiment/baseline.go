package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// core is a scheduler's decision core: the pool owner or a baseline.
type core interface {
	Step(now time.Time, e scheduling.Event)
	Tick(now time.Time)
	Ready() []scheduling.Effect
}

// baseline places requests in order of arrival, on the next endpoint in turn
// or on the one with the fewest outstanding requests. It knows each
// endpoint's batch size and never sends more, and it drops what has passed
// its deadline in the queue.
type baseline struct {
	leastOutstanding bool
	queueLimit       int
	batch            func(structs.EndpointName) int

	pool      scheduling.PoolSpec
	queue     []structs.Request
	running   map[structs.RequestID]placed
	load      map[structs.EndpointName]int
	turn      int
	lastGrant scheduling.GrantID
	effects   []scheduling.Effect
}

type placed struct {
	request  structs.Request
	endpoint structs.EndpointName
}

func newBaseline(leastOutstanding bool, queueLimit int, batch func(structs.EndpointName) int) *baseline {
	return &baseline{
		leastOutstanding: leastOutstanding,
		queueLimit:       queueLimit,
		batch:            batch,
		running:          map[structs.RequestID]placed{},
		load:             map[structs.EndpointName]int{},
	}
}

// Step implements core.
func (b *baseline) Step(now time.Time, e scheduling.Event) {
	switch e := e.(type) {
	case scheduling.Configure:
		b.pool = e.Pool
	case scheduling.Offer:
		b.offer(e.Request)
	case scheduling.Return:
		if p, ok := b.free(e.ID); ok {
			b.queue = append([]structs.Request{p.request}, b.queue...)
		}
	case scheduling.Finish:
		b.free(e.ID)
	}
	b.place(now)
}

// Tick implements core.
func (b *baseline) Tick(now time.Time) { b.place(now) }

// Ready implements core.
func (b *baseline) Ready() []scheduling.Effect {
	effects := b.effects
	b.effects = nil
	return effects
}

func (b *baseline) offer(r structs.Request) {
	if len(b.queue) >= b.queueLimit {
		b.refuse(r, structs.ReasonQueueFull)
		return
	}
	b.queue = append(b.queue, r)
}

func (b *baseline) refuse(r structs.Request, reason structs.Reason) {
	refusal := structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: reason}
	b.effects = append(b.effects, scheduling.Refuse{Request: r.ID, Entry: r.Entry, Refusal: refusal})
}

func (b *baseline) free(id structs.RequestID) (placed, bool) {
	p, ok := b.running[id]
	if ok {
		delete(b.running, id)
		b.load[p.endpoint]--
	}
	return p, ok
}

// place serves the queue in order of arrival; work for another target may
// pass work whose endpoints are full.
func (b *baseline) place(now time.Time) {
	kept := b.queue[:0]
	full := map[structs.Target]bool{}
	for _, r := range b.queue {
		switch {
		case !r.Deadline.After(now):
			b.refuse(r, structs.ReasonDeadlineInQueue)
		case full[r.Target] || !b.grant(r):
			full[r.Target] = true
			kept = append(kept, r)
		}
	}
	b.queue = kept
}

func (b *baseline) grant(r structs.Request) bool {
	name, ok := b.choose(r.Target)
	if !ok {
		return false
	}
	b.lastGrant++
	b.load[name]++
	b.running[r.ID] = placed{request: r, endpoint: name}
	b.effects = append(b.effects, scheduling.Grant{Request: r.ID, Entry: r.Entry, ID: b.lastGrant, Endpoint: name})
	return true
}

func (b *baseline) choose(t structs.Target) (structs.EndpointName, bool) {
	n := len(b.pool.Endpoints)
	best := -1
	for i := range n {
		at := (b.turn + i) % n
		e := &b.pool.Endpoints[at]
		if !e.Listed || e.Targets[0] != t || b.load[e.Name] >= b.batch(e.Name) {
			continue
		}
		if best < 0 || b.load[e.Name] < b.load[b.pool.Endpoints[best].Name] {
			best = at
		}
		if !b.leastOutstanding {
			break
		}
	}
	if best < 0 {
		return "", false
	}
	b.turn = (best + 1) % n
	return b.pool.Endpoints[best].Name, true
}
