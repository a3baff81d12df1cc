package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// quadraticTokens is the prompt length at which attention over the prompt
	// costs as much as the rest of reading it; both engine families measured
	// lie near 24,000.
	quadraticTokens = 24000
	// learnShare is the weight of one observation in a learned figure; ten
	// observations replace most of an old figure.
	learnShare = 0.2
	// failureShare is the weight of one outcome in the failure rate.
	failureShare = 0.15
	// maxFailureRate keeps the failure penalty finite.
	maxFailureRate = 0.95
	// quarantineMin and quarantineMax bound how long an endpoint that can't be
	// reached gets no work; the first is about one missed heartbeat.
	quarantineMin = 500 * time.Millisecond
	quarantineMax = 4 * time.Second
	// unreachableLimit is how many failures in a row start a quarantine.
	unreachableLimit = 2
)

// promptUnits is the cost of reading a prompt, in tokens of a short prompt.
func promptUnits(prompt structs.Tokens) float64 {
	p := float64(prompt)
	return p * (1 + p/quadraticTokens)
}

// endpoint is one endpoint and what this daemon has learned of it.
type endpoint struct {
	info   endpointset.Endpoint
	listed bool
	grants map[*Grant]struct{}
	// readUnits is the unread prompt work of this daemon's requests there.
	readUnits float64
	tokens    structs.Tokens

	// slowness is the learned time to a first event against the pool's; zero
	// before the first observation.
	slowness float64
	// callMs is the learned duration of a plain call, in milliseconds.
	callMs float64

	failureRate   float64
	failuresInRow int
	quarantine    time.Duration
	// closedUntil is the end of a quarantine; after it, one request at a time
	// is tried until one succeeds.
	closedUntil time.Time

	// remote is what each peer reported, and others its sum.
	remote map[string]RemoteLoad
	others RemoteLoad
	// unseen is how many requests that no report tells of the endpoint must
	// have held at unseenAt, when it rejected one.
	unseen   float64
	unseenAt time.Time

	turns turns
}

func newEndpoint(info endpointset.Endpoint) *endpoint {
	return &endpoint{info: info, listed: true, grants: map[*Grant]struct{}{}, remote: map[string]RemoteLoad{}}
}

// RemoteLoad is one peer's work on an endpoint.
type RemoteLoad struct {
	Running   int
	ReadUnits float64
	Tokens    structs.Tokens
	At        time.Time
}

// remoteLifetime is how long a peer's report counts; reports come several
// times a second, so an older one is of a peer that is gone or cut off.
const remoteLifetime = 1500 * time.Millisecond

// setRemote replaces a peer's work.
func (e *endpoint) setRemote(peer string, load RemoteLoad) {
	e.dropRemote(peer)
	e.remote[peer] = load
	e.others.add(load, 1)
}

// dropRemote forgets a peer's work.
func (e *endpoint) dropRemote(peer string) {
	if load, known := e.remote[peer]; known {
		delete(e.remote, peer)
		e.others.add(load, -1)
	}
	if len(e.remote) == 0 {
		// Sums of fractions don't come back to zero by themselves.
		e.others = RemoteLoad{}
	}
}

func (l *RemoteLoad) add(other RemoteLoad, sign int) {
	l.Running += sign * other.Running
	l.ReadUnits = max(0, l.ReadUnits+float64(sign)*other.ReadUnits)
	l.Tokens += structs.Tokens(sign) * other.Tokens
}

// viewAge is the age of the oldest report that is counted in.
func (e *endpoint) viewAge(now time.Time) (oldest time.Duration) {
	for _, load := range e.remote {
		oldest = max(oldest, now.Sub(load.At))
	}
	return oldest
}

// rejected takes in that the endpoint was full though it had room by what this
// daemon knows: daemons that are not heard have sent it work.
func (e *endpoint) rejected(now time.Time, slots int, stay time.Duration) {
	e.unseen = math.Max(e.unseenRunning(now, stay), float64(slots-len(e.grants)-e.others.Running))
	e.unseenAt = now
}

// unseenRunning is how much of the unseen work is still there, when requests
// stay that long.
func (e *endpoint) unseenRunning(now time.Time, stay time.Duration) float64 {
	if e.unseen == 0 {
		return 0
	}
	return e.unseen * math.Exp(-now.Sub(e.unseenAt).Seconds()/stay.Seconds())
}

func learn(value *float64, observed float64) {
	if *value == 0 {
		*value = observed
		return
	}
	*value += learnShare * (observed - *value)
}

func (e *endpoint) succeeded() {
	e.failureRate *= 1 - failureShare
	e.failuresInRow = 0
	e.quarantine = 0
	e.closedUntil = time.Time{}
}

func (e *endpoint) failed(now time.Time, unreachable bool) {
	e.failureRate = math.Min(maxFailureRate, e.failureRate+failureShare*(1-e.failureRate))
	if !unreachable {
		return
	}
	e.failuresInRow++
	if e.failuresInRow < unreachableLimit {
		return
	}
	e.quarantine = min(max(2*e.quarantine, quarantineMin), quarantineMax)
	e.closedUntil = now.Add(e.quarantine)
}

// onTrial returns whether the endpoint failed lately and has not succeeded
// since.
func (e *endpoint) onTrial() bool { return !e.closedUntil.IsZero() }
