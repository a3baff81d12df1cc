package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/coordination/crossdomain"
	"github.com/samphirewing/samphirewing/coordination/episode"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// attentionCrossoverTokens is the prompt length at which the quadratic
	// cost of attention equals the linear cost of prefill. Both engine
	// families lie near 24,000.
	attentionCrossoverTokens = 24000
	// observationWeight is the weight of a new observation in a moving
	// average; ten observations replace most of the old value.
	observationWeight = 0.2
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.15
	// maxFailureRate keeps the failure penalty finite.
	maxFailureRate = 0.95
	// minQuarantine and maxQuarantine bound how long an unreachable endpoint
	// gets no requests; the minimum is about one missed heartbeat.
	minQuarantine = 500 * time.Millisecond
	maxQuarantine = 4 * time.Second
	// quarantineThreshold is the number of unreachable results since the last
	// success that starts a quarantine.
	quarantineThreshold = 2
)

// prefillUnits returns the cost of a prompt's prefill in units of one token of
// a short prompt.
func prefillUnits(prompt structs.Tokens) float64 {
	p := float64(prompt)
	return p * (1 + p/attentionCrossoverTokens)
}

// endpoint is the state that this daemon holds for one endpoint.
type endpoint struct {
	info   endpointset.Endpoint
	listed bool
	grants map[*Grant]struct{}
	// pendingPrefill is the prefill work, in units, of this daemon's requests
	// that have had no first event yet.
	pendingPrefill float64
	tokens         structs.Tokens

	// slowness is the moving average of the time to first event relative to
	// the pool's model; 0 before the first observation.
	slowness float64
	// own is what this daemon has observed in the last seconds, fleet the same of
	// all daemons together, this one included.
	own   observations
	fleet Estimate
	// lastSuccess is when an answer of the endpoint last began or completed.
	lastSuccess time.Time
	// callMs is the moving average of the duration of a plain service call.
	callMs float64

	failureRate        float64
	unreachableCount   int
	quarantineDuration time.Duration
	// quarantinedUntil is the end of the current or last quarantine. After it,
	// one request at a time probes the endpoint until one succeeds.
	quarantinedUntil time.Time

	// peerLoads holds the last reported load by peer, peerTotal its sum.
	peerLoads map[string]PeerLoad
	peerTotal PeerLoad
	// unreported is the number of requests, in no report, that the endpoint
	// must have been running at unreportedAt, when it rejected a request.
	unreported   float64
	unreportedAt time.Time

	// memoryHolders is the number of daemons to which the engine is assigned for
	// requests that need most of its memory, or zero if this daemon is not one of them.
	memoryHolders int

	slotDraw slotDraw
	rate     rateLimit
	backoff  backoff

	pace *episode.Engine
	// episodeSlowdown is the slowdown by an episode at the last sample; 1 without.
	episodeSlowdown float64
	// link leads to the endpoint's failure domain; nil within the own one.
	link *crossdomain.Link
}

func newEndpoint(info endpointset.Endpoint) *endpoint {
	return &endpoint{info: info, listed: true, rate: unlimitedRate(), grants: map[*Grant]struct{}{}, peerLoads: map[string]PeerLoad{}, pace: &episode.Engine{}, episodeSlowdown: 1}
}

// PeerLoad is one peer's load on an endpoint.
type PeerLoad struct {
	// Unreachable is the number of peers that can't reach the endpoint.
	Unreachable  int
	Running      int
	PrefillUnits float64
	Tokens       structs.Tokens
	ReceivedAt   time.Time
}

// peerReportTTL is how long a peer report counts. Peers report several times a
// second, so an older report is from a peer that stopped or is partitioned.
const peerReportTTL = 1500 * time.Millisecond

func (e *endpoint) setPeerLoad(peer string, load PeerLoad) {
	e.removePeerLoad(peer)
	e.peerLoads[peer] = load
	e.peerTotal.add(load, 1)
}

func (e *endpoint) removePeerLoad(peer string) {
	if load, known := e.peerLoads[peer]; known {
		delete(e.peerLoads, peer)
		e.peerTotal.add(load, -1)
	}
	if len(e.peerLoads) == 0 {
		// Avoids accumulated rounding errors in the floating-point sums.
		e.peerTotal = PeerLoad{}
	}
}

func (l *PeerLoad) add(other PeerLoad, sign int) {
	l.Unreachable += sign * other.Unreachable
	l.Running += sign * other.Running
	l.PrefillUnits = max(0, l.PrefillUnits+float64(sign)*other.PrefillUnits)
	l.Tokens += structs.Tokens(sign) * other.Tokens
}

// peerReportAge returns the age of the oldest peer report included in
// peerTotal.
func (e *endpoint) peerReportAge(now time.Time) (oldest time.Duration) {
	for _, load := range e.peerLoads {
		oldest = max(oldest, now.Sub(load.ReceivedAt))
	}
	return oldest
}

// recordRejection records that the endpoint was full although the known load
// left a free slot: daemons from which no report arrives have sent it
// requests.
func (e *endpoint) recordRejection(now time.Time, slots int, residence time.Duration) {
	e.unreported = math.Max(e.unreportedRunning(now, residence), float64(slots-len(e.grants)-e.peerTotal.Running))
	e.unreportedAt = now
}

// unreportedRunning estimates how many of the unreported requests are still
// running, given their mean residence time.
func (e *endpoint) unreportedRunning(now time.Time, residence time.Duration) float64 {
	if e.unreported == 0 {
		return 0
	}
	return e.unreported * math.Exp(-now.Sub(e.unreportedAt).Seconds()/residence.Seconds())
}

func updateAverage(value *float64, observed float64) {
	if *value == 0 {
		*value = observed
		return
	}
	*value += observationWeight * (observed - *value)
}

func (e *endpoint) recordSuccess(now time.Time) {
	e.lastSuccess = now
	e.own.outcomes++
	e.failureRate *= 1 - failureWeight
	e.unreachableCount = 0
	e.quarantineDuration = 0
	e.quarantinedUntil = time.Time{}
}

// recordFailure records a failure. refused means that nothing accepts
// connections at the endpoint's address, which one result is enough to tell.
func (e *endpoint) recordFailure(now time.Time, unreachable, refused bool) {
	e.own.outcomes++
	e.own.failures++
	e.failureRate = math.Min(maxFailureRate, e.failureRate+failureWeight*(1-e.failureRate))
	if !unreachable {
		return
	}
	e.unreachableCount++
	if e.unreachableCount < quarantineThreshold && !refused {
		return
	}
	e.quarantineDuration = min(max(2*e.quarantineDuration, minQuarantine), maxQuarantine)
	e.quarantinedUntil = now.Add(e.quarantineDuration)
}

// probing reports whether the endpoint has been quarantined and no request has
// succeeded since.
func (e *endpoint) probing() bool { return !e.quarantinedUntil.IsZero() }
