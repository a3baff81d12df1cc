package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/crossdomain"
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
	domain   string
	settings Settings
	pools    map[structs.PoolName]*pool
	// endpointPools maps each endpoint to its pool.
	endpointPools map[structs.EndpointName]*pool
	// lastReportAt is when each peer last reported.
	lastReportAt map[string]time.Time
	// daemons is the number of daemons, drawInterval is the interval between a daemon's reports; random returns
	// values in [0, 1).
	daemons      int
	drawInterval time.Duration
	random       func() float64
	// memoryHolders is nil until it is set.
	memoryHolders map[structs.EndpointName]int
	// displaced holds refusals that the next Advance returns.
	displaced []*Refusal
	// candidates is reused by choose, skipped by placeWaiting.
	candidates []*endpoint
	skipped    []*Request
	// latencies holds the round trips to the failure domains.
	latencies        crossdomain.Latencies
	domainsUpdatedAt time.Time
	// versions restricts the endpoints by their versions; nil does not. admission is
	// the restriction of the request for which choose is called.
	versions  Versions
	admission rollout.Admission
	admitted  AdmittedVersions
}

// New returns a scheduler for a daemon in a failure domain.
func New(domain instance.FailureDomain) *Scheduler {
	return &Scheduler{
		domain: string(domain), settings: DefaultSettings(), pools: map[structs.PoolName]*pool{}, endpointPools: map[structs.EndpointName]*pool{}, lastReportAt: map[string]time.Time{},
		drawInterval: defaultDrawInterval, random: rand.Float64,
		latencies: crossdomain.Latencies{},
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
			p.endpoints[info.Name].memoryHolders = s.holdersOf(info.Name)
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
	for _, p := range s.pools {
		p.list = slices.AppendSeq(p.list[:0], maps.Values(p.endpoints))
	}
	s.linkEndpoints()
}

// Offer places a request and returns its grant, queues it and returns neither,
// or refuses it. A request that it queues may take the place of another one, whose
// refusal Advance returns; Displaced tells whether there is any.
func (s *Scheduler) Offer(now time.Time, r *Request) (*Grant, *Refusal) {
	s.expirePeerReports(now)
	p := s.pool(r.Pool)
	s.claimPlace(now, p, r)
	r.key = s.settings.key(r)
	if p.isTooLarge(r) {
		return nil, &Refusal{Request: r, Reason: ReasonTooLarge, Waiting: p.waiting.Len()}
	}
	// A stream that goes on precedes those that begin, which may be sent elsewhere.
	if first := p.waiting.first(); first == nil || r.Rank < first.rank || r.Binding.Bound {
		e, usable := s.choose(now, p, r)
		if e != nil {
			return s.reserve(now, p, e, r), nil
		}
		if !usable {
			return nil, &Refusal{Request: r, Reason: ReasonNoEndpoint, RetryAfter: max(minQuarantine, p.untilReturn(now))}
		}
	}
	if r.returnsTooLate(now, p.untilReturn(now)) {
		return nil, s.refuse(now, p, r, ReasonBackoff)
	}
	return nil, s.admit(now, p, r)
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
	return p.waitBehind(now, r.Rank, 1+p.ahead(r)+p.promised(now, r))
}

// waitBehind returns the expected time until so many requests of a rank are placed.
func (p *pool) waitBehind(now time.Time, rank structs.Rank, ahead float64) time.Duration {
	rate := p.slotsPerSecond(now) - p.placements.aboveRank(now, rank) + p.peerSlotRate(rank)
	return time.Duration(ahead / max(rate, minDrainPerSecond) * float64(time.Second))
}

// slotsPerSecond returns the rate at which slots become free for this daemon:
// the larger of the rate by Little's law for the requests running now, which
// reacts to a burst immediately, and the recent placement rate. A slot of an
// endpoint with a rate limit can be used at that rate only, however many are free.
func (p *pool) slotsPerSecond(now time.Time) float64 {
	running, limited := 0, 0.0
	for _, e := range p.list {
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

// MeanDuration returns the mean time for which a request of a pool occupies a slot, or
// zero if none has completed yet.
func (s *Scheduler) MeanDuration(name structs.PoolName) time.Duration {
	return msToDuration(s.pool(name).residenceMs)
}

// Withdraw removes a request from the queue. It returns false if the request
// is not queued.
func (s *Scheduler) Withdraw(r *Request) bool { return s.pool(r.Pool).waiting.remove(r) }

// Displaced reports whether the next Advance returns a refusal of a request that was
// displaced.
func (s *Scheduler) Displaced() bool { return len(s.displaced) > 0 }

// Advance places queued requests on free slots and refuses those that are past
// StartBy, or that no endpoint takes in time.
func (s *Scheduler) Advance(now time.Time) (grants []*Grant, refusals []*Refusal) {
	s.expirePeerReports(now)
	if len(s.displaced) > 0 {
		refusals, s.displaced = s.displaced, nil
	}
	for _, p := range s.pools {
		if p.waiting.Len() == 0 {
			continue
		}
		for _, r := range p.waiting.removeExpired(now) {
			refusals = append(refusals, s.refuse(now, p, r, ReasonExpired))
		}
		if away := p.untilReturn(now); away > 0 {
			for _, r := range p.waiting.removeAll(func(r *Request) bool { return r.returnsTooLate(now, away) }) {
				refusals = append(refusals, s.refuse(now, p, r, ReasonBackoff))
			}
		}
		p.waiting.markLate()
		p.updateShares(now)
		placed, refused := s.placeWaiting(now, p)
		grants, refusals = append(grants, placed...), append(refusals, refused...)
	}
	return grants, refusals
}

func (s *Scheduler) refuse(now time.Time, p *pool, r *Request, reason RefusalReason) *Refusal {
	refusal := &Refusal{Request: r, Reason: reason, Waiting: p.waiting.Len()}
	refusal.RetryAfter = max(s.retryAfter(now, p, refusal), p.untilReturn(now))
	return refusal
}

// maxSkipped bounds how many requests that do not fit are skipped in one pass,
// so that a large request at the head does not block smaller ones.
const maxSkipped = 4

// maxSkippedForMemory is the bound while the requests that are skipped need more memory
// than any engine has free, which others may need less of.
const maxSkippedForMemory = 16

// placeWaiting places waiting requests. It refuses streams whose version has no endpoint
// left.
func (s *Scheduler) placeWaiting(now time.Time, p *pool) (grants []*Grant, refusals []*Refusal) {
	skipped := s.skipped[:0]
	count, limit := 0, maxSkippedForMemory
	for p.waiting.Len() > 0 && count < limit {
		r := p.waiting.peek()
		p.waiting.remove(r)
		e, usable := s.choose(now, p, r)
		if e != nil {
			grants = append(grants, s.reserve(now, p, e, r))
			continue
		}
		if r.Binding.Bound && !usable {
			refusals = append(refusals, s.refuse(now, p, r, ReasonNoEndpoint))
			continue
		}
		skipped = append(skipped, r)
		if r.Binding.Bound {
			// It says nothing of what others may be sent to.
			continue
		}
		count++
		if p.fullForAll {
			break
		}
		if !p.memoryFull {
			limit = maxSkipped
		}
	}
	for _, r := range skipped {
		p.waiting.restore(r)
	}
	clear(skipped)
	s.skipped = skipped
	return grants, refusals
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
	if p.engine != nil && !e.pace.InEpisode() {
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
	p.correctCharge(now, g)
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
		p.observeOutput(now, g)
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
