package gateway

import (
	"math"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// observeRateLimit records the rate limit that an endpoint names in an answer.
func (g *Gateway) observeRateLimit(e endpointset.Endpoint, answer *forward.Response) {
	perSecond, ok := g.options.Dialect.RateLimit(answer)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, limited := g.namedLimits[e.Name]
	switch {
	case math.IsInf(perSecond, 1) && limited:
		delete(g.namedLimits, e.Name)
		g.options.Events.Emit(EventEndpointLimitLifted, events.F("endpoint", e.Name))
	case !math.IsInf(perSecond, 1):
		g.namedLimits[e.Name] = perSecond
		if !limited {
			g.options.Events.Emit(EventEndpointLimitNamed, events.F("endpoint", e.Name), events.F("per_second", perSecond))
		}
	}
}
