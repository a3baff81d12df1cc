// Package dispatch decides which endpoint a daemon sends a request to, which
// requests are queued, and which are refused.
//
// Each daemon decides for its own requests. It counts its own load on each
// endpoint exactly and adds the load that its peers last reported. A Scheduler
// is a state machine: events and the current time are its input, decisions its
// output.
package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/episode"
	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Request is a request as the scheduler sees it.
type Request struct {
	ID   string
	Pool structs.PoolName
	Rank structs.Rank
	// Bytes is the expected size of the request and its answer.
	Bytes        int32
	Organisation structs.OrganisationName
	// Route is the name of the request's route.
	Route string
	// Prompt and Output are the expected token counts; both are zero for calls
	// of plain services.
	Prompt structs.Tokens
	Output structs.Tokens
	// MaxOutput is the most output that the request may get, or zero if unknown.
	MaxOutput structs.Tokens
	// Arrived is when the client's request was read.
	Arrived time.Time
	// Target is the latency objective, counted from Arrived.
	Target time.Duration
	// StartBy is the latest time at which starting the request is still
	// useful.
	StartBy time.Time
	// Deadline is until when the client waits for the answer; zero if unknown.
	Deadline time.Time
	// Fingerprint identifies the request's content, by which a client that comes back
	// is recognised; zero if unknown.
	Fingerprint retryschedule.Fingerprint
	// Binding restricts the versions of the endpoints that the request may be sent to.
	Binding Binding
	// Tried lists the endpoints to which the request was already sent.
	Tried []structs.EndpointName

	// key identifies the organisation.
	key    fairshare.Key
	queued queuedRequest
}

// Returned reports whether the client came back at a time that it was promised.
func (r *Request) Returned() bool { return r.queued.returning }

// queueTargetShare is the share of the latency objective that a request may
// spend in the queue; the rest is for the endpoint.
const queueTargetShare = 0.7

// latestStart returns the latest start for which the request is queued: in
// time for the target, or StartBy if there is no target or it would be later
// than StartBy.
func (r *Request) latestStart() time.Time {
	onTime := r.Arrived.Add(time.Duration(queueTargetShare * float64(r.Target)))
	if r.Target == 0 || onTime.After(r.StartBy) {
		return r.StartBy
	}
	return onTime
}

// RefusalReason is the reason why a request was refused or could not be
// placed.
type RefusalReason string

// The reasons for refusing a request.
const (
	// ReasonNoEndpoint means that the pool has no usable endpoint.
	ReasonNoEndpoint RefusalReason = "no-endpoint"
	// ReasonOverload means that the expected wait exceeds the request's latest
	// start.
	ReasonOverload RefusalReason = "overload"
	// ReasonOverShare means that not all requests can be in time, and that the
	// request's organisation is over its share. It had been queued.
	ReasonOverShare RefusalReason = "over-share"
	// ReasonBackoff means that all endpoints of the pool have asked for no requests
	// until after the request's latest start.
	ReasonBackoff RefusalReason = "backoff"
	// ReasonTooLarge means that no engine of the pool can hold the request. It is never
	// placed.
	ReasonTooLarge RefusalReason = "larger-than-engines"
	// ReasonExpired means that the request was still queued after StartBy.
	ReasonExpired RefusalReason = "expired"
)

// Grant is a reserved slot on an endpoint, held until Release.
type Grant struct {
	Request  *Request
	Endpoint endpointset.Endpoint
	// Forecast is the expected time to the first event on that endpoint.
	Forecast time.Duration
	// Usual is the forecast for an endpoint of usual speed.
	Usual time.Duration
	// Learned is set if the endpoint's speed was known from several responses.
	Learned bool
	// Plain is set for calls of plain services, which have no first event.
	Plain bool
	// Waited is how long the request was queued.
	Waited time.Duration
	// PeerReportAge is the age of the oldest peer report that the decision
	// used.
	PeerReportAge time.Duration
	// PeerRunning is the number of requests of other daemons that the decision
	// counted on the endpoint.
	PeerRunning int

	prefillUnits float64
	tokens       structs.Tokens
	cost         fairshare.Cost
	grantedAt    time.Time
	meter        *episode.Meter
	prefillAhead float64
	firstEventAt time.Time
	started      bool
	released     bool
}

// Elapsed returns the time since the grant.
func (g *Grant) Elapsed(now time.Time) time.Duration { return now.Sub(g.grantedAt) }

// Streaming returns the time since the first event, or zero if there was none.
func (g *Grant) Streaming(now time.Time) time.Duration {
	if g.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(g.firstEventAt)
}

// Started reports whether the first event has been recorded.
func (g *Grant) Started() bool { return g.started }

// Released reports whether the slot has been released.
func (g *Grant) Released() bool { return g.released }

// Meter returns the meter that counts the events of the endpoint's streams.
func (g *Grant) Meter() *episode.Meter { return g.meter }

// Refusal is a request that will not be placed.
type Refusal struct {
	Request *Request
	Reason  RefusalReason
	// Waiting is the number of requests queued for the pool.
	Waiting int
	// RetryAfter is the expected time until a slot is free for the request; zero if
	// none ever is.
	RetryAfter time.Duration
	// Promised is set if RetryAfter is the time of a place in the schedule of future
	// capacity, Unpromised if the schedule has no place that the client can wait for.
	Promised, Unpromised bool
}
