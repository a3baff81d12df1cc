package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/coordination/enginememory"
	"github.com/samphirewing/samphirewing/coordination/episode"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// maxPrefillBacklog is how much prefill work an endpoint may have pending
	// before further requests wait in the queue. More would stretch the token
	// gaps of concurrent streams beyond the usual target of 300 ms.
	maxPrefillBacklog = 200 * time.Millisecond
	// failurePenaltyMs is the cost of a failure: about the time that a client
	// loses when its request is repeated.
	failurePenaltyMs = 800.0
	// defaultCallMs is the assumed duration of a call before the first
	// observation in a pool; plain services answer within tens of
	// milliseconds.
	defaultCallMs = 30.0
	// defaultResidenceMs is the assumed residence time of a request before the
	// first one has completed; streams take several hundred milliseconds.
	defaultResidenceMs = 500.0
	// callsPerSlot is the number of calls that a plain service may run per
	// slot; further ones would queue there without regard to rank.
	callsPerSlot = 1.5
)

// filterReason is the reason why an endpoint cannot take a request now.
type filterReason int8

const (
	eligible filterReason = iota
	filterQuarantined
	filterProbing
	filterAlreadyTried
	filterNoFreeSlot
	filterRateLimited
	filterBackoff
	filterPrefillBacklog
	filterCacheFull
)

// appliesToAll reports whether the reason does not depend on the request.
func (f filterReason) appliesToAll() bool {
	return f != eligible && f != filterAlreadyTried && f != filterCacheFull
}

// pool holds the endpoints and the waiting requests of one pool.
type pool struct {
	engine    *routing.Engine
	endpoints map[structs.EndpointName]*endpoint
	// list has the endpoints in no particular order, for faster iteration.
	list    []*endpoint
	waiting waitingQueue
	// residenceMs is the moving average of the time for which a request
	// occupies a slot; 0 before the first request has completed.
	residenceMs float64
	// prefill and callMs are estimated over all endpoints.
	prefill    prefillModel
	callMs     float64
	placements placementRates
	// msPerToken is the moving average of the time per token of output.
	msPerToken float64
	// peerReports holds the last report of each peer.
	peerReports map[string]PoolReport
	// lastFreeSlots is the number of free slots on eligible endpoints at the
	// last call of choose.
	lastFreeSlots int
	// fullForAll is set if the last call of choose would have found no endpoint for
	// any other request either.
	fullForAll bool
	// memoryFull is set if an endpoint was left out for its memory.
	memoryFull bool
	spare      spareMemo
	// sizes are those of placed requests, unassignedSizes of those that any daemon might
	// have sent. The others are what daemons may have sent to an engine unseen.
	sizes, unassignedSizes          enginememory.Sizes
	memoryReserve, memoryUnassigned structs.Tokens
	memoryConcurrent                int
	// reportInterval is the interval between a daemon's reports, daemons the number
	// of daemons.
	reportInterval time.Duration
	daemons        int
	// lastSuccess is when an answer of any endpoint last began or completed.
	lastSuccess time.Time
	// slowedEngines is the number of engines with an episodeSlowdown above 1.
	slowedEngines int
	// paced holds the engines that this daemon has had streams at since they were last
	// idle. With thousands of endpoints, each daemon uses few at a time.
	paced   map[structs.EndpointName]*endpoint
	pace    episode.Pace
	traffic domainTraffic
}

func newPool(reportInterval time.Duration, daemons int) *pool {
	return &pool{reportInterval: reportInterval, daemons: daemons, waiting: newWaitingQueue(), endpoints: map[structs.EndpointName]*endpoint{}, paced: map[structs.EndpointName]*endpoint{}, peerReports: map[string]PoolReport{}}
}

func firstPositive(values ...float64) float64 {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// msPerUnit returns the time that an endpoint takes for one prefill unit.
func (p *pool) msPerUnit(e *endpoint) float64 {
	_, perUnit := p.prefill.fit()
	return perUnit * p.slowness(e)
}

func (p *pool) expectedCallMs(e *endpoint) float64 {
	return firstPositive(e.callMs, p.callMs, defaultCallMs)
}

// residence returns the expected time for which a request occupies a slot.
func (p *pool) residence() time.Duration {
	return msToDuration(firstPositive(p.residenceMs, defaultResidenceMs))
}

// slots returns how many requests, of all daemons, an endpoint may run.
func (p *pool) slots(e *endpoint) int {
	n := e.info.Slots
	if p.engine != nil {
		if p.engine.Slots > 0 {
			n = p.engine.Slots
		}
		return max(n, 1) + p.spareSlots(n)
	}
	return max(int(math.Ceil(float64(n)*callsPerSlot)), 1) + p.spareSlots(n)
}

// freeSlots returns the estimated number of free slots of an endpoint.
func (p *pool) freeSlots(now time.Time, e *endpoint) int {
	free := p.slots(e) - len(e.grants) - e.peerTotal.Running
	if e.unreported > 0 {
		free -= int(math.Round(e.unreportedRunning(now, p.residence())))
	}
	return free
}

// filter returns why an endpoint cannot take a request now, or eligible.
func (p *pool) filter(now time.Time, e *endpoint, r *Request, free int) filterReason {
	if now.Before(e.quarantinedUntil) {
		return filterQuarantined
	}
	if e.probing() && len(e.grants) > 0 {
		return filterProbing
	}
	for _, name := range r.Tried {
		if name == e.info.Name {
			return filterAlreadyTried
		}
	}
	if free <= 0 {
		return filterNoFreeSlot
	}
	if !e.rate.allows(now) {
		return filterRateLimited
	}
	if !e.backoff.allows(now) {
		return filterBackoff
	}
	if p.engine == nil {
		return eligible
	}
	if p.prefillBacklog(e) > maxPrefillBacklog {
		return filterPrefillBacklog
	}
	if !enginememory.Fits(p.memoryOf(e), r.memory()) {
		return filterCacheFull
	}
	return eligible
}

// prefillBacklog returns the expected duration of an endpoint's pending
// prefill work.
func (p *pool) prefillBacklog(e *endpoint) time.Duration {
	return msToDuration(p.msPerUnit(e) * (e.pendingPrefill + e.peerTotal.PrefillUnits))
}

func msToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func durationToMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// forecastMs returns the expected time to the first event or, for a plain
// service, to the complete answer.
func (p *pool) forecastMs(e *endpoint, r *Request) float64 {
	if p.engine == nil {
		load := float64(len(e.grants)+e.peerTotal.Running) / float64(max(e.info.Slots, 1))
		return p.expectedCallMs(e) * (1 + load)
	}
	return p.slowness(e) * p.prefill.predict(prefillUnits(r.Prompt)+e.pendingPrefill+e.peerTotal.PrefillUnits)
}

// score returns the cost, in milliseconds, of placing a request on an
// endpoint; the lowest cost wins.
func (p *pool) score(e *endpoint, r *Request, domain string) float64 {
	s := p.forecastMs(e, r) + p.domainCostMs(e, r, domain)
	failureRate := e.expectedFailureRate()
	s += failurePenaltyMs * failureRate / (1 - failureRate)
	if p.engine != nil {
		// Streams on a slow engine occupy its slots longer.
		s += p.slowness(e) * float64(len(e.grants)+e.peerTotal.Running)
	}
	return s
}

// choose returns the endpoint with the lowest score for a request, or nil, and
// whether the pool has any usable endpoint. Endpoints that peers can't reach are
// used only if there is no other.
func (s *Scheduler) choose(now time.Time, p *pool, r *Request) (best *endpoint, usable bool) {
	if s.versions != nil {
		return s.chooseVersion(now, p, r)
	}
	return s.chooseAdmitted(now, p, r)
}

// chooseAdmitted does so among the endpoints that the admission allows.
func (s *Scheduler) chooseAdmitted(now time.Time, p *pool, r *Request) (best *endpoint, usable bool) {
	best, usable = s.chooseAmong(now, p, r, func(e *endpoint) bool { return !e.unreachableForPeers(now) })
	if !usable {
		return s.chooseAmong(now, p, r, func(*endpoint) bool { return true })
	}
	return best, usable
}

func (s *Scheduler) chooseAmong(now time.Time, p *pool, r *Request, allowed func(*endpoint) bool) (best *endpoint, usable bool) {
	p.updateMemoryReserve()
	totalFree, fraction := 0, p.slotShare(r)
	p.fullForAll, p.memoryFull = true, false
	p.spare = spareMemo{valid: true, slots: -1}
	candidates := s.candidates[:0]
	for _, e := range p.list {
		if !e.listed || !s.admits(e, r) || !allowed(e) {
			continue
		}
		free := p.freeSlots(now, e)
		if free <= 0 && usable && len(r.Tried) == 0 {
			// No other reason matters, and none depends on the request.
			continue
		}
		reason := p.filter(now, e, r, free)
		p.fullForAll = p.fullForAll && reason.appliesToAll()
		p.memoryFull = p.memoryFull || reason == filterCacheFull
		if reason != filterQuarantined && reason != filterAlreadyTried {
			usable = true
		}
		if reason != eligible {
			continue
		}
		totalFree += free
		if s.mayTake(now, e, free, fraction) {
			candidates = append(candidates, e)
		}
	}
	p.lastFreeSlots, p.spare.valid = totalFree, false
	s.candidates = candidates
	candidates = p.avoidEpisodes(now, candidates, r)
	return p.bestOf(s.sampleDomains(p, candidates), r, s.domain), usable
}

// bestOf returns the endpoint with the lowest score, or nil.
func (p *pool) bestOf(candidates []*endpoint, r *Request, domain string) (best *endpoint) {
	bestScore := math.Inf(1)
	for _, e := range candidates {
		score := p.score(e, r, domain)
		if best == nil || score < bestScore || score == bestScore && e.info.Name < best.info.Name {
			best, bestScore = e, score
		}
	}
	return best
}

// reserve reserves a slot on an endpoint for a request.
func (p *pool) reserve(now time.Time, e *endpoint, r *Request) *Grant {
	g := &Grant{
		Request: r, Endpoint: e.info, Forecast: msToDuration(p.forecastMs(e, r)),
		Usual: msToDuration(p.usualMs(e, r)), Learned: p.learned(e), Plain: p.engine == nil,
		Waited: now.Sub(r.Arrived), PeerReportAge: e.peerReportAge(now), PeerRunning: e.peerTotal.Running,
		grantedAt: now, meter: &e.pace.Meter, tokens: r.memory(), prefillAhead: e.pendingPrefill + e.peerTotal.PrefillUnits,
	}
	if p.engine != nil {
		g.prefillUnits = prefillUnits(r.Prompt)
		p.paced[e.info.Name] = e
		e.pace.AddWork(msToDuration(p.msPerUnit(e) * g.prefillUnits))
	}
	p.observeMemory(e, g.tokens)
	p.charge(now, g)
	p.placements.record(now, r.Rank)
	p.recordTraffic(now, e, r)
	e.slotDraw.recordTaken()
	e.rate.take(now)
	e.backoff.granted(g)
	e.grants[g] = struct{}{}
	e.pendingPrefill += g.prefillUnits
	e.tokens += g.tokens
	return g
}
