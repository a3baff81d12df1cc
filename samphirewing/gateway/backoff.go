package gateway

import (
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/endpointlimit"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// backoffs holds until when endpoints have asked for no requests. It outlasts the
// scheduler's state of an endpoint whose entry lapses and comes back.
type backoffs map[endpointlimit.Key]time.Time

// expire forgets the backoffs that have ended.
func (b backoffs) expire(now time.Time) {
	for key, until := range b {
		if !now.Before(until) {
			delete(b, key)
		}
	}
}

// observeBackoff keeps requests from an endpoint for as long as its answer asks
// for.
func (g *Gateway) observeBackoff(e endpointset.Endpoint, answer *forward.Response) {
	length := g.options.Dialect.Backoff(answer)
	if length <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.backoffs.expire(now)
	key, until := startKey(e), now.Add(length)
	if !until.After(g.backoffs[key]) {
		return
	}
	g.backoffs[key] = until
	g.metrics.backoffs.Inc(1)
	g.options.Events.Emit(EventEndpointBackoff, events.F("endpoint", e.Name), events.F("started", e.StartedUnixMs), events.F("backoff_ms", length.Milliseconds()))
	g.applyBackoffsLocked(now)
	g.advanceLocked(now)
}

// applyBackoffsLocked applies the backoffs to the usable endpoints.
func (g *Gateway) applyBackoffsLocked(now time.Time) {
	for key, until := range g.backoffs {
		if name, usable := g.endpointsByKey[key]; usable && now.Before(until) {
			g.scheduler.BackOff(name, until)
		}
	}
}

// rejectedWait returns after which time a caller should return whose request was
// rejected by an endpoint.
func (x *exchange) rejectedWait() time.Duration {
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	return max(rejectedRetryAfter, x.gateway.scheduler.UntilReturn(time.Now(), x.pool))
}
