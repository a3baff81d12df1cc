package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// shortDrain is the least drain rate assumed when forecasting, a second.
	shortDrain = 2.0
)

// Result is how a granted request ended.
type Result int8

// The results of granted requests.
const (
	// Succeeded requests were answered whole.
	Succeeded Result = iota
	// Rejected requests were proved not to have run.
	Rejected
	// Failed requests were answered with a failure, or not whole.
	Failed
	// Unreachable requests could not be sent, or were never answered.
	Unreachable
	// Abandoned requests were ended by the caller or by a deadline.
	Abandoned
)

// Scheduler places the requests of one daemon. It is not safe for concurrent
// use.
// Invariant: a request waits in at most one queue and holds at most one grant.
type Scheduler struct {
	domain string
	pools  map[structs.PoolName]*pool
	// homes holds the pool of each endpoint.
	homes map[structs.EndpointName]*pool
	// heard is when each peer last reported.
	heard map[string]time.Time
	// turnInterval is the time between two reports of a daemon; random is in
	// [0, 1).
	turnInterval time.Duration
	random       func() float64
}

// New returns a scheduler of a daemon in a failure domain.
func New(domain instance.FailureDomain) *Scheduler {
	return &Scheduler{
		domain: string(domain), pools: map[structs.PoolName]*pool{}, homes: map[structs.EndpointName]*pool{}, heard: map[string]time.Time{},
		turnInterval: defaultTurnInterval, random: rand.Float64,
	}
}

func (s *Scheduler) pool(name structs.PoolName) *pool {
	p := s.pools[name]
	if p == nil {
		p = newPool()
		s.pools[name] = p
	}
	return p
}

// SetTable takes in what the configuration says of the pools.
func (s *Scheduler) SetTable(t *routing.Table) {
	for name, p := range t.Pools {
		s.pool(name).engine = p.Engine
	}
}

// SetEndpoints replaces the usable endpoints. What was learned of an endpoint
// is kept until it starts anew.
func (s *Scheduler) SetEndpoints(all []endpointset.Endpoint) {
	named := make(map[structs.EndpointName]bool, len(all))
	for _, info := range all {
		named[info.Name] = true
		p := s.pool(info.Pool)
		if home := s.homes[info.Name]; home != nil && home != p {
			delete(home.endpoints, info.Name)
		}
		s.homes[info.Name] = p
		old := p.endpoints[info.Name]
		if old == nil || old.info.StartedUnixMs != info.StartedUnixMs || old.info.Address != info.Address {
			p.endpoints[info.Name] = newEndpoint(info)
			continue
		}
		old.info, old.listed = info, true
	}
	for name, p := range s.homes {
		if named[name] {
			continue
		}
		if e := p.endpoints[name]; e != nil {
			e.listed = false
			if len(e.grants) > 0 {
				continue
			}
			delete(p.endpoints, name)
		}
		delete(s.homes, name)
	}
}

// Offer places a request, queues it, or refuses it. Grants may go to other
// requests that waited.
func (s *Scheduler) Offer(now time.Time, r *Request) (*Grant, *Refusal) {
	s.forgetSilent(now)
	p := s.pool(r.Pool)
	r.position = -1
	if p.waiting.Len() == 0 || r.Rank < p.waiting.items[0].Rank {
		e, usable := s.choose(now, p, r)
		if e != nil {
			return p.reserve(now, e, r), nil
		}
		if !usable {
			return nil, &Refusal{Request: r, Reason: ReasonNoEndpoint, RetryAfter: quarantineMin}
		}
	}
	if now.Add(p.expectedWait(now, r)).After(r.queueUntil()) {
		return nil, p.refuse(now, r, ReasonOverload)
	}
	p.waiting.add(r)
	return nil, nil
}

func bounded(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// expectedWait is how long the requests ahead of r take to be placed, by what
// all daemons together do: what one daemon does in a second is too little to
// tell. It is zero while too little is known to refuse anybody.
func (p *pool) expectedWait(now time.Time, r *Request) time.Duration {
	if p.stayMs == 0 {
		return 0
	}
	_, ahead := p.othersWaiting(r.Rank)
	ahead += 1 + p.waiting.inTime(r.Rank)
	rate := p.placesPerSecond(now) - p.placed.moreUrgent(now, r.Rank) + p.othersRate(r.Rank)
	return time.Duration(float64(ahead) / max(rate, shortDrain) * float64(time.Second))
}

// placesPerSecond is how many places become free for this daemon: by Little's
// law from what it runs now, so that a burst is met with the present figure,
// or what it has placed lately if that is more.
func (p *pool) placesPerSecond(now time.Time) float64 {
	running := 0
	for _, e := range p.endpoints {
		running += len(e.grants)
	}
	free := float64(running) / p.stayMs * float64(time.Second/time.Millisecond)
	return max(free, p.placed.all(now))
}

// Withdraw takes back a request that waits. It returns false if it doesn't.
func (s *Scheduler) Withdraw(r *Request) bool { return s.pool(r.Pool).waiting.remove(r) }

// Advance places waiting requests for which there is room and refuses those
// whose time has passed.
func (s *Scheduler) Advance(now time.Time) (grants []*Grant, refusals []*Refusal) {
	s.forgetSilent(now)
	for _, p := range s.pools {
		if p.waiting.Len() == 0 {
			continue
		}
		for _, r := range p.waiting.expired(now) {
			refusals = append(refusals, p.refuse(now, r, ReasonExpired))
		}
		p.waiting.markLate(now)
		grants = append(grants, s.advance(now, p)...)
	}
	return grants, refusals
}

func (p *pool) refuse(now time.Time, r *Request, reason RefuseReason) *Refusal {
	return &Refusal{Request: r, Reason: reason, Waiting: p.waiting.Len(), RetryAfter: bounded(p.expectedWait(now, r))}
}

// lookPast bounds how many requests are tried that may fit where the first
// one doesn't, so that one large request doesn't hold up the rest for long.
const lookPast = 4

func (s *Scheduler) advance(now time.Time, p *pool) (grants []*Grant) {
	var passed []*Request
	for p.waiting.Len() > 0 && len(passed) < lookPast {
		r := heap.Pop(&p.waiting).(*Request)
		e, _ := s.choose(now, p, r)
		if e == nil {
			passed = append(passed, r)
			continue
		}
		grants = append(grants, p.reserve(now, e, r))
	}
	for _, r := range passed {
		heap.Push(&p.waiting, r)
	}
	return grants
}

// RecordFirstEvent notes that a granted request began to be answered.
func (s *Scheduler) RecordFirstEvent(now time.Time, g *Grant) {
	p, e := s.find(g)
	if e == nil || g.started || g.ended {
		return
	}
	g.started = true
	e.readUnits = max(0, e.readUnits-g.units)
	if p.engine != nil {
		p.learnFirstEvent(e, g.units+g.ahead, now.Sub(g.sentAt))
	}
}

func (s *Scheduler) find(g *Grant) (*pool, *endpoint) {
	p := s.homes[g.Endpoint.Name]
	if p == nil {
		return nil, nil
	}
	e := p.endpoints[g.Endpoint.Name]
	if e == nil {
		return p, nil
	}
	if _, held := e.grants[g]; !held {
		return p, nil
	}
	return p, e
}

// Release gives a grant's place back.
func (s *Scheduler) Release(now time.Time, g *Grant, result Result) {
	p, e := s.find(g)
	if e == nil || g.ended {
		return
	}
	g.ended = true
	delete(e.grants, g)
	e.turns.freed++
	if !g.started {
		e.readUnits = max(0, e.readUnits-g.units)
	}
	e.tokens -= g.tokens
	if len(e.grants) == 0 {
		e.readUnits, e.tokens = 0, 0
	}
	switch result {
	case Succeeded:
		e.succeeded()
		ms := inMilliseconds(now.Sub(g.sentAt))
		learn(&p.stayMs, ms)
		if p.engine == nil {
			learn(&e.callMs, ms)
			learn(&p.callMs, ms)
		}
	case Failed:
		e.failed(now, false)
	case Unreachable:
		e.failed(now, true)
	case Rejected:
		e.rejected(now, p.slots(e), p.stay())
	case Abandoned:
	}
}

// Waiting returns how many requests wait.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, p := range s.pools {
		n += p.waiting.Len()
	}
	return n
}
