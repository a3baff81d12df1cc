package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// readHorizon is how much unread prompt work an endpoint may hold before
	// further requests wait here: more would stretch the pauses of the streams
	// that run beside it over the usual gap target of 300 ms.
	readHorizon = 200 * time.Millisecond
	// failurePenalty is the score of a certain failure: about what a caller
	// loses when its request is repeated.
	failurePenalty = 800.0
	// defaultCall stands in for the duration of a call that no endpoint of a
	// pool has shown yet, in milliseconds; plain services answer in tens.
	defaultCall = 30.0
	// defaultStay stands in for the time that a request keeps its place before
	// one has ended, in milliseconds; streams take several hundred.
	defaultStay = 500.0
	// domainPenalty is the cost of leaving the failure domain, in
	// milliseconds; it decides between endpoints that are otherwise alike.
	domainPenalty = 2.0
	// callDepth is how many calls a plain service may hold for each slot;
	// more would queue behind work that has no order there.
	callDepth = 1.5
	// cacheShare is the part of an engine's KV cache that is filled; the rest
	// absorbs wrong estimates of the output.
	cacheShare = 0.92
)

// filterReason says why an endpoint may not take a request now.
type filterReason int8

const (
	eligible filterReason = iota
	filterQuarantined
	filterOnTrial
	filterTried
	filterSlots
	filterReading
	filterCache
)

// pool is the endpoints and the waiting requests of one pool.
type pool struct {
	engine    *routing.Engine
	endpoints map[structs.EndpointName]*endpoint
	waiting   waitingQueue
	// stayMs is how long a request keeps its place; zero before the first one
	// has ended.
	stayMs float64
	// read and callMs are learned over all endpoints.
	read   readModel
	callMs float64
	placed placedRates
	// peers is what each peer reported.
	peers map[string]PoolReport
	// free is how many places were free when the endpoints were last looked
	// through.
	free int
}

func newPool() *pool {
	return &pool{endpoints: map[structs.EndpointName]*endpoint{}, peers: map[string]PoolReport{}}
}

func firstSet(values ...float64) float64 {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// unitMs is the time that an endpoint takes to read one unit of prompt work.
func (p *pool) unitMs(e *endpoint) float64 {
	_, perUnit := p.read.fit()
	return perUnit * p.slowness(e)
}

func (p *pool) callTime(e *endpoint) float64 {
	return firstSet(e.callMs, p.callMs, defaultCall)
}

// stay is how long a request keeps its place.
func (p *pool) stay() time.Duration {
	return milliseconds(firstSet(p.stayMs, defaultStay))
}

// slots returns how many requests of all daemons an endpoint may hold.
func (p *pool) slots(e *endpoint) int {
	n := e.info.Slots
	if p.engine != nil {
		if p.engine.Slots > 0 {
			n = p.engine.Slots
		}
		return max(n, 1)
	}
	return max(int(math.Ceil(float64(n)*callDepth)), 1)
}

// freeAt is how many places an endpoint has, by all that is known.
func (p *pool) freeAt(now time.Time, e *endpoint) int {
	return p.slots(e) - len(e.grants) - e.others.Running - int(math.Round(e.unseenRunning(now, p.stay())))
}

// filter tells whether an endpoint may take a request now.
func (p *pool) filter(now time.Time, e *endpoint, r *Request, free int) filterReason {
	if now.Before(e.closedUntil) {
		return filterQuarantined
	}
	if e.onTrial() && len(e.grants) > 0 {
		return filterOnTrial
	}
	for _, name := range r.Tried {
		if name == e.info.Name {
			return filterTried
		}
	}
	if free <= 0 {
		return filterSlots
	}
	if p.engine == nil {
		return eligible
	}
	if p.readTime(e) > readHorizon {
		return filterReading
	}
	cache := float64(p.engine.CacheTokens) * cacheShare
	if held := e.tokens + e.others.Tokens; held > 0 && cache > 0 && float64(held+r.Prompt+r.Output) > cache {
		return filterCache
	}
	return eligible
}

// readTime is how long the unread prompts of an endpoint will take.
func (p *pool) readTime(e *endpoint) time.Duration {
	return milliseconds(p.unitMs(e) * (e.readUnits + e.others.ReadUnits))
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// forecast is the expected time to the first event, or to the answer of a
// plain call, in milliseconds.
func (p *pool) forecast(e *endpoint, r *Request) float64 {
	if p.engine == nil {
		load := float64(len(e.grants)+e.others.Running) / float64(max(e.info.Slots, 1))
		return p.callTime(e) * (1 + load)
	}
	return p.slowness(e) * p.read.predict(promptUnits(r.Prompt)+e.readUnits+e.others.ReadUnits)
}

// score is the cost of placing a request, in milliseconds; the least wins.
func (p *pool) score(e *endpoint, r *Request, domain string) float64 {
	s := p.forecast(e, r)
	if string(e.info.FailureDomain) != domain {
		s += domainPenalty
	}
	s += failurePenalty * e.failureRate / (1 - e.failureRate)
	if p.engine != nil {
		// Streams on a slow engine hold its slots longer.
		s += p.slowness(e) * float64(len(e.grants)+e.others.Running)
	}
	return s
}

// choose returns the endpoint that suits a request best, or nil and whether
// any endpoint of the pool is usable at all.
func (s *Scheduler) choose(now time.Time, p *pool, r *Request) (best *endpoint, usable bool) {
	bestScore, allFree, part := math.Inf(1), 0, p.shareOf(r)
	for _, e := range p.endpoints {
		if !e.listed {
			continue
		}
		free := p.freeAt(now, e)
		reason := p.filter(now, e, r, free)
		if reason != filterQuarantined && reason != filterTried {
			usable = true
		}
		if reason != eligible {
			continue
		}
		allFree += free
		if !s.mayTake(now, e, free, part) {
			continue
		}
		score := p.score(e, r, s.domain)
		if score < bestScore || score == bestScore && e.info.Name < best.info.Name {
			best, bestScore = e, score
		}
	}
	p.free = allFree
	return best, usable
}

// reserve counts a request in on an endpoint.
func (p *pool) reserve(now time.Time, e *endpoint, r *Request) *Grant {
	g := &Grant{
		Request: r, Endpoint: e.info, Forecast: milliseconds(p.forecast(e, r)),
		Waited: now.Sub(r.Arrived), PeerReportAge: e.viewAge(now), PeerRunning: e.others.Running,
		sentAt: now, tokens: r.Prompt + r.Output, ahead: e.readUnits + e.others.ReadUnits,
	}
	if p.engine != nil {
		g.units = promptUnits(r.Prompt)
	}
	p.placed.placed(now, r.Rank)
	e.turns.took()
	e.grants[g] = struct{}{}
	e.readUnits += g.units
	e.tokens += g.tokens
	return g
}
