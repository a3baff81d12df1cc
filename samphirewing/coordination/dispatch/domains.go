package dispatch

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/crossdomain"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// domainUpdateInterval is the interval at which shares of traffic are moved.
	domainUpdateInterval = 100 * time.Millisecond
	// newsIntervals is the age of the last peer report, in report intervals, from
	// which it is stale; minNewsTTL is the least such age.
	newsIntervals = 6
	minNewsTTL    = 400 * time.Millisecond
	// requestBytesWeight is the weight of a request in the mean size.
	requestBytesWeight = 0.02
)

// DomainChange is a change in whether traffic of a pool leaves the domain by
// decision.
type DomainChange struct {
	Pool structs.PoolName
	crossdomain.Change
}

// domainTraffic is the traffic of one pool between failure domains. The zero value
// has no controller, and the constant cost applies.
type domainTraffic struct {
	controller *crossdomain.Controller
	meanBytes  float64
}

// domainCostMs returns the cost of leaving the failure domain for an endpoint.
func (p *pool) domainCostMs(e *endpoint, r *Request, domain string) float64 {
	if string(e.info.FailureDomain) == domain {
		return 0
	}
	if e.link == nil {
		return crossdomain.ConstantCostMs
	}
	return e.link.CostMs(float64(r.Bytes))
}

// recordTraffic counts a placement for the traffic between domains.
func (p *pool) recordTraffic(now time.Time, e *endpoint, r *Request) {
	if p.traffic.controller == nil {
		return
	}
	p.traffic.meanBytes += requestBytesWeight * (float64(r.Bytes) - p.traffic.meanBytes)
	p.traffic.controller.Record(now, e.link)
}

// sampleDomains returns a sample of the candidates. Where leaving the domain has a
// cost that follows the load, the candidates of the own domain are sampled apart from
// the others. Else most samples contain none of the own domain, whatever the cost.
func (s *Scheduler) sampleDomains(p *pool, candidates []*endpoint) []*endpoint {
	concurrent := p.concurrentPlacements()
	if p.traffic.controller == nil || !p.traffic.controller.Active() || len(candidates) == 0 {
		return s.sample(candidates, concurrent)
	}
	own := 0
	for i, e := range candidates {
		if e.link == nil {
			candidates[i], candidates[own] = candidates[own], candidates[i]
			own++
		}
	}
	ownFraction := float64(own) / float64(len(candidates))
	others := s.sample(candidates[own:], concurrent*(1-ownFraction))
	return append(s.sample(candidates[:own], concurrent*ownFraction), others...)
}

// linkEndpoints sets the links to endpoints of other domains.
func (s *Scheduler) linkEndpoints() {
	if !s.settings.CrossDomain {
		return
	}
	for _, p := range s.pools {
		if p.traffic.controller == nil {
			p.traffic.controller = crossdomain.New(crossdomain.Settings{Own: s.domain, PriceMsPerMiB: s.settings.TrafficPriceMsPerMiB, Latencies: s.latencies})
		}
		for _, e := range p.endpoints {
			if e.link == nil && string(e.info.FailureDomain) != s.domain {
				e.link = p.traffic.controller.Link(string(e.info.FailureDomain))
			}
		}
	}
}

// RecordLatency records a round trip to an endpoint of a failure domain.
func (s *Scheduler) RecordLatency(domain instance.FailureDomain, kind crossdomain.LatencyKind, d time.Duration) {
	s.latencies.Observe(string(domain), kind, durationToMs(d))
}

// UpdateDomains moves the shares of the traffic between failure domains and returns
// what has changed. It may be called at any interval.
func (s *Scheduler) UpdateDomains(now time.Time) (changes []DomainChange) {
	if !s.settings.CrossDomain || now.Sub(s.domainsUpdatedAt) < domainUpdateInterval {
		return nil
	}
	s.domainsUpdatedAt = now
	fresh := s.hasFreshNews(now)
	for name, p := range s.pools {
		if p.traffic.controller == nil {
			continue
		}
		for _, c := range p.traffic.controller.Update(now, p.domainInput(now, s.domain, fresh)) {
			changes = append(changes, DomainChange{Pool: name, Change: c})
		}
	}
	return changes
}

// hasFreshNews reports whether the loads of the other daemons are known.
func (s *Scheduler) hasFreshNews(now time.Time) bool {
	ttl := max(minNewsTTL, newsIntervals*s.drawInterval)
	for _, at := range s.lastReportAt {
		if now.Sub(at) <= ttl {
			return true
		}
	}
	return s.daemons <= 1
}

// domainInput derives the domains' states from the loads of endpoints, which carry
// their domain, so that daemons need not exchange them.
func (p *pool) domainInput(now time.Time, own string, fresh bool) crossdomain.Input {
	others := map[string]crossdomain.State{}
	var ownState crossdomain.State
	for _, e := range p.endpoints {
		if !e.listed {
			continue
		}
		domain := string(e.info.FailureDomain)
		state := others[domain]
		if domain == own {
			state = ownState
		}
		state.Listed++
		if !e.probing() && !e.unreachableForPeers(now) && !e.backoff.active(now) {
			state.Usable++
			state.Slots += p.slots(e)
			state.Running += len(e.grants) + e.peerTotal.Running
			state.WorkMs += p.expectedDelayMs(e)
		}
		if domain == own {
			ownState = state
		} else {
			others[domain] = state
		}
	}
	for domain, state := range others {
		state.WorkMs /= float64(max(state.Usable, 1))
		others[domain] = state
	}
	ownState.WorkMs /= float64(max(ownState.Usable, 1))
	return crossdomain.Input{
		Own: ownState, Others: others, ResidenceMs: durationToMs(p.residence()), Bytes: p.traffic.meanBytes, Fresh: fresh,
	}
}

// expectedDelayMs returns the expected time that a request loses at an endpoint by
// the work ahead and by failures.
func (p *pool) expectedDelayMs(e *endpoint) float64 {
	failureRate := e.expectedFailureRate()
	delay := failurePenaltyMs * failureRate / (1 - failureRate)
	if p.engine == nil {
		return delay + p.expectedCallMs(e)*float64(len(e.grants)+e.peerTotal.Running)/float64(max(e.info.Slots, 1))
	}
	return delay + durationToMs(p.prefillBacklog(e))
}

// LeftShare returns the recent share of the placements that left the domain, of the
// pool for which it is largest.
func (s *Scheduler) LeftShare() (share float64) {
	for _, p := range s.pools {
		if p.traffic.controller != nil {
			share = max(share, p.traffic.controller.LeftShare())
		}
	}
	return share
}

// ExtraRoundTrip returns how much longer the round trip to another failure domain is
// than within the own one, of the domain for which that is largest.
func (s *Scheduler) ExtraRoundTrip() time.Duration {
	extra := 0.0
	for domain := range s.latencies {
		extra = max(extra, s.latencies.ExtraMs(s.domain, domain))
	}
	return msToDuration(extra)
}
