package gateway

import (
	"math"
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/endpointlimit"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// startKey identifies a start of an endpoint.
func startKey(e endpointset.Endpoint) endpointlimit.Key {
	return endpointlimit.KeyOf(string(e.Name), e.StartedUnixMs)
}

// observeRateLimit records the rate limit that an endpoint names in an answer.
func (g *Gateway) observeRateLimit(e endpointset.Endpoint, answer *forward.Response) {
	perSecond, ok := g.options.Dialect.RateLimit(answer)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if math.IsInf(perSecond, 1) && g.limits.Len() == 0 {
		return
	}
	now := time.Now()
	if key := startKey(e); g.limits.Observe(now, key, perSecond) {
		g.applyLimitLocked(now, key)
	}
}

// retainLimitsLocked applies the limits after the usable endpoints have changed.
func (g *Gateway) retainLimitsLocked(usable map[uint32]structs.EndpointName) {
	for name := range g.limited {
		if usable[endpointHash(name)] != name {
			delete(g.limited, name)
		}
	}
	if len(g.limited) > 0 || g.limits.Len() > 0 {
		g.applyLimitsLocked(time.Now())
	}
}

// applyLimitsLocked applies the limits of all usable endpoints.
func (g *Gateway) applyLimitsLocked(now time.Time) {
	for key := range g.endpointsByKey {
		g.applyLimitLocked(now, key)
	}
}

// applyLimitLocked sets this daemon's share of the limit of an endpoint, and logs
// a limit that is new or has ended.
func (g *Gateway) applyLimitLocked(now time.Time, key endpointlimit.Key) {
	name, usable := g.endpointsByKey[key]
	if !usable {
		return
	}
	limit, share := g.limits.Limit(key), g.limits.Share(key)
	_, limited := g.limited[name]
	switch {
	case limit == endpointlimit.Unlimited && limited:
		delete(g.limited, name)
		g.options.Events.Emit(EventEndpointLimitLifted, events.F("endpoint", name))
	case limit != endpointlimit.Unlimited && !limited:
		g.limited[name] = struct{}{}
		g.options.Events.Emit(EventEndpointLimitNamed, events.F("endpoint", name), events.F("per_second", limit), events.F("share_per_second", share))
	case !limited:
		return
	}
	g.metrics.limitedEndpoints.Update(int64(len(g.limited)))
	g.scheduler.SetEndpointRate(now, name, share)
}

// mergeLimits applies the limits known to another daemon.
func (g *Gateway) mergeLimits(now time.Time, m *peerpb.EndpointLimits) {
	if m == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range g.limits.Merge(now, m) {
		g.applyLimitLocked(now, key)
	}
}

// outgoingLimits returns the limits to send to other daemons, or nil. members are
// the other daemons.
func (g *Gateway) outgoingLimits(now time.Time, self instance.ID, members []instance.ID) *peerpb.EndpointLimits {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.limits.SetMembers(self, members)
	if g.limits.Len() == 0 {
		return nil
	}
	if g.limits.Expire(now) || changed {
		g.applyLimitsLocked(now)
	}
	return g.limits.Outgoing(now)
}
