package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// core is the decision core of a scheduler: the pool owner or a baseline.
type core interface {
	Step(now time.Time, e scheduling.Event)
	Tick(now time.Time)
	Ready() []scheduling.Effect
}

// baseline dispatches requests in order of arrival, by round robin or to the
// endpoint with the fewest outstanding requests. It never sends an endpoint
// more requests than its batch size, and it refuses requests whose deadline
// passes in the queue.
type baseline struct {
	leastOutstanding bool
	queueLimit       int
	batchSize        func(structs.EndpointName) int

	pool         scheduling.PoolSpec
	queue        []structs.Request
	running      map[structs.RequestID]placement
	outstanding  map[structs.EndpointName]int
	nextEndpoint int
	lastGrant    scheduling.GrantID
	effects      []scheduling.Effect
}

type placement struct {
	request  structs.Request
	endpoint structs.EndpointName
}

func newBaseline(leastOutstanding bool, queueLimit int, batch func(structs.EndpointName) int) *baseline {
	return &baseline{
		leastOutstanding: leastOutstanding,
		queueLimit:       queueLimit,
		batchSize:        batch,
		running:          map[structs.RequestID]placement{},
		outstanding:      map[structs.EndpointName]int{},
	}
}

// Step implements core.
func (b *baseline) Step(now time.Time, e scheduling.Event) {
	switch e := e.(type) {
	case scheduling.Configure:
		b.pool = e.Pool
	case scheduling.Offer:
		b.enqueue(e.Request)
	case scheduling.Return:
		if p, ok := b.release(e.ID); ok {
			b.queue = append([]structs.Request{p.request}, b.queue...)
		}
	case scheduling.Finish:
		b.release(e.ID)
	}
	b.dispatchQueue(now)
}

// Tick implements core.
func (b *baseline) Tick(now time.Time) { b.dispatchQueue(now) }

// Ready implements core.
func (b *baseline) Ready() []scheduling.Effect {
	effects := b.effects
	b.effects = nil
	return effects
}

func (b *baseline) enqueue(r structs.Request) {
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

func (b *baseline) release(id structs.RequestID) (placement, bool) {
	p, ok := b.running[id]
	if ok {
		delete(b.running, id)
		b.outstanding[p.endpoint]--
	}
	return p, ok
}

// dispatchQueue dispatches queued requests in order of arrival. A request may
// overtake earlier ones for another target whose endpoints are full.
func (b *baseline) dispatchQueue(now time.Time) {
	remaining := b.queue[:0]
	full := map[structs.Target]bool{}
	for _, r := range b.queue {
		switch {
		case !r.Deadline.After(now):
			b.refuse(r, structs.ReasonDeadlineInQueue)
		case full[r.Target] || !b.grant(r):
			full[r.Target] = true
			remaining = append(remaining, r)
		}
	}
	b.queue = remaining
}

func (b *baseline) grant(r structs.Request) bool {
	name, ok := b.chooseEndpoint(r.Target)
	if !ok {
		return false
	}
	b.lastGrant++
	b.outstanding[name]++
	b.running[r.ID] = placement{request: r, endpoint: name}
	b.effects = append(b.effects, scheduling.Grant{Request: r.ID, Entry: r.Entry, ID: b.lastGrant, Endpoint: name})
	return true
}

func (b *baseline) chooseEndpoint(target structs.Target) (structs.EndpointName, bool) {
	n := len(b.pool.Endpoints)
	best := -1
	for i := range n {
		index := (b.nextEndpoint + i) % n
		e := &b.pool.Endpoints[index]
		if !e.Listed || e.Targets[0] != target || b.outstanding[e.Name] >= b.batchSize(e.Name) {
			continue
		}
		if best < 0 || b.outstanding[e.Name] < b.outstanding[b.pool.Endpoints[best].Name] {
			best = index
		}
		if !b.leastOutstanding {
			break
		}
	}
	if best < 0 {
		return "", false
	}
	b.nextEndpoint = (best + 1) % n
	return b.pool.Endpoints[best].Name, true
}
