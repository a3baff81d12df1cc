package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/rollout"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay returned to
	// refused clients.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// minDrainPerSecond is the minimum drain rate assumed in forecasts.
	minDrainPerSecond = 2.0
)

// Result is the outcome of a granted request.
type Result int8

// The results of granted requests.
const (
	// Succeeded requests were answered completely.
	Succeeded Result = iota
	// Rejected requests are known not to have run.
	Rejected
	// Failed requests got an error or an incomplete answer.
	Failed
	// Unreachable requests could not be sent, or got no answer.
	Unreachable
	// Refused requests could not be sent because nothing accepts connections at
	// the endpoint's address.
	Refused
	// Abandoned requests were ended by the client or by a deadline.
	Abandoned
)

// Scheduler places the requests of one daemon. It is not safe for concurrent
// use.
// Invariant: a request is in at most one queue and holds at most one grant.
type Scheduler struct {
	domain string
	pools  map[structs.PoolName]*pool
	// endpointPools maps each endpoint to its pool.
	endpointPools map[structs.EndpointName]*pool
	// lastReportAt is when each peer last reported.
	lastReportAt map[string]time.Time
	// daemons is the number of daemons, drawInterval is the interval between a daemon's reports; random returns
	// values in [0, 1).
	daemons      int
	drawInterval time.Duration
	random       func() float64
	// candidates is reused by choose.
	candidates []*endpoint
	// versions restricts the endpoints by their versions; nil does not. admission is
	// the restriction of the request for which choose is called.
	versions  Versions
	admission rollout.Admission
}

// New returns a scheduler for a daemon in a failure domain.
func New(domain instance.FailureDomain) *Scheduler {
	return &Scheduler{
		domain: string(domain), pools: map[structs.PoolName]*pool{}, endpointPools: map[structs.EndpointName]*pool{}, lastReportAt: map[string]time.Time{},
		drawInterval: defaultDrawInterval, random: rand.Float64,
	}
}

func (s *Scheduler) pool(name structs.PoolName) *pool {
	p := s.pools[name]
	if p == nil {
		p = newPool(s.drawInterval, s.daemons)
		s.pools[name] = p
	}
	return p
}

// SetTable applies the pools' configuration.
func (s *Scheduler) SetTable(t *routing.Table) {
	for name, p := range t.Pools {
		s.pool(name).engine = p.Engine
	}
}

// SetEndpoints replaces the usable endpoints. The estimates of an endpoint are
// retained until it restarts.
func (s *Scheduler) SetEndpoints(all []endpointset.Endpoint) {
	present := make(map[structs.EndpointName]bool, len(all))
	for _, info := range all {
		present[info.Name] = true
		p := s.pool(info.Pool)
		if oldPool := s.endpointPools[info.Name]; oldPool != nil && oldPool != p {
			delete(oldPool.endpoints, info.Name)
		}
		s.endpointPools[info.Name] = p
		old := p.endpoints[info.Name]
		if old == nil || old.info.StartedUnixMs != info.StartedUnixMs || old.info.Address != info.Address {
			p.endpoints[info.Name] = newEndpoint(info)
			continue
		}
		old.info, old.listed = info, true
	}
	for name, p := range s.endpointPools {
		if present[name] {
			continue
		}
		if e := p.endpoints[name]; e != nil {
			e.listed = false
			if len(e.grants) > 0 {
				continue
			}
			delete(p.endpoints, name)
		}
		delete(s.endpointPools, name)
	}
}

// Offer places a request and returns its grant, queues it and returns neither,
// or refuses it.
func (s *Scheduler) Offer(now time.Time, r *Request) (*Grant, *Refusal) {
	s.expirePeerReports(now)
	p := s.pool(r.Pool)
	r.queueIndex = -1
	if p.waiting.Len() == 0 || r.Rank < p.waiting.items[0].Rank {
		e, usable := s.choose(now, p, r)
		if e != nil {
			return s.reserve(now, p, e, r), nil
		}
		if !usable {
			return nil, &Refusal{Request: r, Reason: ReasonNoEndpoint, RetryAfter: max(minQuarantine, p.untilReturn(now))}
		}
	}
	if r.returnsTooLate(now, p.untilReturn(now)) {
		return nil, p.refuse(now, r, ReasonBackoff)
	}
	if now.Add(p.expectedWait(now, r)).After(r.latestStart()) {
		return nil, p.refuse(now, r, ReasonOverload)
	}
	p.waiting.add(r)
	return nil, nil
}

func boundRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// expectedWait returns the expected time until the requests ahead of r are
// placed. It uses the throughput of all daemons, since one daemon places too
// few requests in a second for an estimate. It is zero, so that nothing is
// refused, until the first request has completed.
func (p *pool) expectedWait(now time.Time, r *Request) time.Duration {
	if p.residenceMs == 0 {
		return 0
	}
	_, ahead := p.peersWaiting(r.Rank)
	ahead += 1 + p.waiting.onTime(r.Rank)
	rate := p.slotsPerSecond(now) - p.placements.aboveRank(now, r.Rank) + p.peerSlotRate(r.Rank)
	return time.Duration(float64(ahead) / max(rate, minDrainPerSecond) * float64(time.Second))
}

// slotsPerSecond returns the rate at which slots become free for this daemon:
// the larger of the rate by Little's law for the requests running now, which
// reacts to a burst immediately, and the recent placement rate. A slot of an
// endpoint with a rate limit can be used at that rate only, however many are free.
func (p *pool) slotsPerSecond(now time.Time) float64 {
	running, limited := 0, 0.0
	for _, e := range p.endpoints {
		if e.backoff.active(now) {
			continue
		}
		if e.rate.limited() {
			limited += e.rate.perSecond
		} else {
			running += len(e.grants)
		}
	}
	released := limited + float64(running)/p.residenceMs*float64(time.Second/time.Millisecond)
	return max(released, p.placements.total(now))
}

// Withdraw removes a request from the queue. It returns false if the request
// is not queued.
func (s *Scheduler) Withdraw(r *Request) bool { return s.pool(r.Pool).waiting.remove(r) }

// Advance places queued requests on free slots and refuses those that are past
// StartBy, or that no endpoint takes in time.
func (s *Scheduler) Advance(now time.Time) (grants []*Grant, refusals []*Refusal) {
	s.expirePeerReports(now)
	for _, p := range s.pools {
		if p.waiting.Len() == 0 {
			continue
		}
		for _, r := range p.waiting.removeExpired(now) {
			refusals = append(refusals, p.refuse(now, r, ReasonExpired))
		}
		away := p.untilReturn(now)
		for _, r := range p.waiting.removeAll(func(r *Request) bool { return r.returnsTooLate(now, away) }) {
			refusals = append(refusals, p.refuse(now, r, ReasonBackoff))
		}
		p.waiting.markLate(now)
		grants = append(grants, s.placeWaiting(now, p)...)
	}
	return grants, refusals
}

func (p *pool) refuse(now time.Time, r *Request, reason RefusalReason) *Refusal {
	retryAfter := max(boundRetryAfter(p.expectedWait(now, r)), p.untilReturn(now))
	return &Refusal{Request: r, Reason: reason, Waiting: p.waiting.Len(), RetryAfter: retryAfter}
}

// maxSkipped bounds how many requests that do not fit are skipped in one pass,
// so that a large request at the head does not block smaller ones.
const maxSkipped = 4

func (s *Scheduler) placeWaiting(now time.Time, p *pool) (grants []*Grant) {
	var skipped []*Request
	for p.waiting.Len() > 0 && len(skipped) < maxSkipped {
		r := heap.Pop(&p.waiting).(*Request)
		e, _ := s.choose(now, p, r)
		if e == nil {
			skipped = append(skipped, r)
			continue
		}
		grants = append(grants, s.reserve(now, p, e, r))
	}
	for _, r := range skipped {
		heap.Push(&p.waiting, r)
	}
	return grants
}

// RecordFirstEvent records the first event of a granted request.
func (s *Scheduler) RecordFirstEvent(now time.Time, g *Grant) {
	p, e := s.findGrant(g)
	if e == nil || g.started || g.released {
		return
	}
	g.started, g.firstEventAt = true, now
	e.backoff.answered(now, g)
	e.lastSuccess, p.lastSuccess = now, now
	e.pendingPrefill = max(0, e.pendingPrefill-g.prefillUnits)
	if p.engine != nil {
		p.observeFirstEvent(e, g.prefillUnits+g.prefillAhead, now.Sub(g.grantedAt))
	}
}

func (s *Scheduler) findGrant(g *Grant) (*pool, *endpoint) {
	p := s.endpointPools[g.Endpoint.Name]
	if p == nil {
		return nil, nil
	}
	e := p.endpoints[g.Endpoint.Name]
	if e == nil {
		return p, nil
	}
	if _, ok := e.grants[g]; !ok {
		return p, nil
	}
	return p, e
}

// Release frees a grant's slot and records the result. Repeated calls have no
// effect.
func (s *Scheduler) Release(now time.Time, g *Grant, result Result) {
	p, e := s.findGrant(g)
	if e == nil || g.released {
		return
	}
	g.released = true
	delete(e.grants, g)
	e.slotDraw.ownFreed++
	if !g.started {
		e.pendingPrefill = max(0, e.pendingPrefill-g.prefillUnits)
	}
	e.tokens -= g.tokens
	if len(e.grants) == 0 {
		e.pendingPrefill, e.tokens = 0, 0
	}
	if result == Succeeded || result == Failed || result == Rejected {
		e.backoff.answered(now, g)
	}
	e.backoff.released(g)
	switch result {
	case Succeeded:
		e.recordSuccess(now)
		p.lastSuccess = now
		ms := durationToMs(now.Sub(g.grantedAt))
		updateAverage(&p.residenceMs, ms)
		if p.engine == nil {
			updateAverage(&e.callMs, ms)
			updateAverage(&p.callMs, ms)
		}
	case Failed:
		e.recordFailure(now, false, false)
	case Unreachable:
		e.recordFailure(now, true, false)
	case Refused:
		e.recordFailure(now, true, true)
	case Rejected:
		e.recordRejection(now, p.slots(e), p.residence())
	case Abandoned:
	}
}

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, p := range s.pools {
		n += p.waiting.Len()
	}
	return n
}
