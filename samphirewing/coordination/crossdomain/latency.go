package crossdomain

import "math"

const (
	// fallWeight and riseWeight are the weights of a shorter and of a longer round
	// trip than the estimate, which thus stays near the shortest ones: the others
	// contain the scheduling delay of a busy processor.
	fallWeight = 0.3
	riseWeight = 0.02
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 3
)

// LatencyKind is a way to measure a round trip.
type LatencyKind int8

// The ways to measure. Round trips of different kinds are not compared: through a
// forwarder, a connection may be accepted before the endpoint is reached.
const (
	// Connect is the time in which a connection is established.
	Connect LatencyKind = iota
	// Refusal is the time to the head of an answer by an endpoint that did not run
	// the request.
	Refusal
	latencyKinds
)

// latency is the estimated round trip to the endpoints of one domain.
type latency [latencyKinds]struct {
	ms      float64
	samples int
}

// Latencies holds the round trips to the domains. It is not safe for concurrent
// use.
type Latencies map[string]*latency

// Observe records a round trip, in milliseconds, to an endpoint of a domain.
func (l Latencies) Observe(domain string, kind LatencyKind, ms float64) {
	if l[domain] == nil {
		l[domain] = &latency{}
	}
	estimate := &l[domain][kind]
	estimate.samples++
	switch {
	case estimate.samples == 1:
		estimate.ms = ms
	case ms < estimate.ms:
		estimate.ms += fallWeight * (ms - estimate.ms)
	default:
		estimate.ms += riseWeight * (ms - estimate.ms)
	}
}

// ExtraMs returns how much longer the round trip to another domain is than within
// the own one, or zero if either has not been measured.
func (l Latencies) ExtraMs(own, other string) float64 {
	a, b := l[own], l[other]
	if a == nil || b == nil {
		return 0
	}
	extra := 0.0
	for kind := range latencyKinds {
		if a[kind].samples >= minSamples && b[kind].samples >= minSamples {
			extra = math.Max(extra, b[kind].ms-a[kind].ms)
		}
	}
	return extra
}
