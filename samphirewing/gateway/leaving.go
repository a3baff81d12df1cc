package gateway

import (
	"net/http"
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/endpointlimit"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/transport/forward"
)

const (
	// leavingRetention is how long it is remembered that an endpoint leaves once the
	// registry no longer lists it. Its entry may lapse and come back meanwhile.
	leavingRetention = 10 * time.Minute
	// maxLeaving bounds the endpoints remembered.
	maxLeaving = 4096
)

// leavingEndpoints holds the starts of endpoints that have said in an answer that
// they leave, beside what the registry lists. A start never comes back.
type leavingEndpoints map[endpointlimit.Key]leavingEndpoint

type leavingEndpoint struct {
	// restartKnown is set if a new start can be told from this one.
	restartKnown bool
	// listedAt is when the registry last listed it.
	listedAt time.Time
}

// add reports whether the endpoint was not known to leave.
func (l leavingEndpoints) add(now time.Time, e endpointset.Endpoint) bool {
	key := startKey(e)
	if _, known := l[key]; known || len(l) >= maxLeaving {
		return false
	}
	l[key] = leavingEndpoint{restartKnown: e.StartedUnixMs != 0, listedAt: now}
	return true
}

// usable returns the listed endpoints that don't leave, and forgets those that have
// not been listed for long.
func (l leavingEndpoints) usable(now time.Time, listed []endpointset.Endpoint) []endpointset.Endpoint {
	if len(l) == 0 {
		return listed
	}
	var all []endpointset.Endpoint
	for _, e := range listed {
		key := startKey(e)
		if state, leaving := l[key]; leaving {
			state.listedAt = now
			l[key] = state
		} else {
			all = append(all, e)
		}
	}
	for key, state := range l {
		if age := now.Sub(state.listedAt); age >= leavingRetention || age > 0 && !state.restartKnown {
			delete(l, key)
		}
	}
	return all
}

// observeLeaving takes an endpoint out of use if its answer says that it leaves.
// Whatever the answer is otherwise, a refusal, a failure or unsigned, it takes out
// no other endpoint than the one that sent it. An answer of another endpoint at a
// reused address says nothing of the one that was meant.
func (g *Gateway) observeLeaving(e endpointset.Endpoint, answer *forward.Response) {
	if answer.Status == http.StatusMisdirectedRequest || !g.options.Dialect.Leaving(answer) {
		return
	}
	g.takeOutOfUse(e, EventEndpointLeaving)
}

// takeOutOfUse takes a start of an endpoint out of use for good, and logs why unless it
// was out of use before.
func (g *Gateway) takeOutOfUse(e endpointset.Endpoint, why events.Event, fields ...events.Field) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.leaving.add(now, e) {
		return
	}
	g.options.Events.Emit(why, append([]events.Field{events.F("endpoint", e.Name), events.F("started", e.StartedUnixMs)}, fields...)...)
	g.applyEndpointsLocked(now)
}
