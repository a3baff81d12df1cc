package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// rateLimit is this daemon's share of the rate limit of an endpoint: a token
// bucket that holds at most maxSavedRequests. It starts empty, since the requests
// before the limit was known count as well.
type rateLimit struct {
	// perSecond is infinite without a limit.
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

// maxSavedRequests bounds what an endpoint gets at once after a pause.
const maxSavedRequests = 1

func unlimitedRate() rateLimit { return rateLimit{perSecond: math.Inf(1)} }

func (l *rateLimit) limited() bool { return !math.IsInf(l.perSecond, 1) }

func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.perSecond, maxSavedRequests)
		l.updatedAt = now
	}
}

// set changes the limit. Requests earned so far are kept.
func (l *rateLimit) set(now time.Time, perSecond float64) {
	if l.limited() {
		l.refill(now)
	} else {
		l.tokens, l.updatedAt = 0, now
	}
	l.perSecond = perSecond
}

// allows reports whether a request may be sent now.
func (l *rateLimit) allows(now time.Time) bool {
	if !l.limited() {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// take counts a request.
func (l *rateLimit) take(now time.Time) {
	if l.limited() {
		l.refill(now)
		l.tokens--
	}
}

// SetEndpointRate sets how many requests per second this daemon may send to an
// endpoint; infinity sets no limit.
func (s *Scheduler) SetEndpointRate(now time.Time, name structs.EndpointName, perSecond float64) {
	p := s.endpointPools[name]
	if p == nil || p.endpoints[name] == nil {
		return
	}
	p.endpoints[name].rate.set(now, perSecond)
}
