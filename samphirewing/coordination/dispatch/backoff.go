package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// backoff is the time for which an endpoint has asked this daemon for no requests.
// After it, one request at a time is sent until one has been answered.
type backoff struct {
	// until is zero if the endpoint has not asked, or has answered since.
	until time.Time
	trial *Grant
}

// allows reports whether a request may be sent now.
func (b *backoff) allows(now time.Time) bool {
	return b.until.IsZero() || !now.Before(b.until) && b.trial == nil
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// extend prolongs the backoff. A shorter one that was asked for later does not end
// the one before.
func (b *backoff) extend(until time.Time) {
	if until.After(b.until) {
		b.until = until
	}
}

// granted records that a request is sent.
func (b *backoff) granted(g *Grant) {
	if !b.until.IsZero() {
		b.trial = g
	}
}

// answered records that a request has been answered other than by a new backoff.
func (b *backoff) answered(now time.Time, g *Grant) {
	if b.trial == g && !b.active(now) {
		*b = backoff{}
	}
}

// released records that a request has ended, in whichever way.
func (b *backoff) released(g *Grant) {
	if b.trial == g {
		b.trial = nil
	}
}

// BackOff keeps requests from an endpoint until a time.
func (s *Scheduler) BackOff(name structs.EndpointName, until time.Time) {
	if p := s.endpointPools[name]; p != nil && p.endpoints[name] != nil {
		p.endpoints[name].backoff.extend(until)
	}
}

// UntilReturn returns the time until the first endpoint of a pool takes requests
// again if all have asked for none, or zero.
func (s *Scheduler) UntilReturn(now time.Time, name structs.PoolName) time.Duration {
	return s.pool(name).untilReturn(now)
}

// untilReturn returns the time until the first endpoint of the pool takes requests
// again if all that are listed and reachable have asked for none, or zero.
func (p *pool) untilReturn(now time.Time) (first time.Duration) {
	for _, e := range p.list {
		if !e.listed || now.Before(e.quarantinedUntil) {
			continue
		}
		if !e.backoff.active(now) {
			return 0
		}
		if wait := e.backoff.until.Sub(now); first == 0 || wait < first {
			first = wait
		}
	}
	return first
}

// returnsTooLate reports whether endpoints that all return after a time, which is
// zero if some are there, miss the request's latest start.
func (r *Request) returnsTooLate(now time.Time, untilReturn time.Duration) bool {
	return untilReturn > 0 && now.Add(untilReturn).After(r.latestStart())
}
