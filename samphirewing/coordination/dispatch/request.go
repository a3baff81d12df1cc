// Package dispatch decides which endpoint a daemon sends a request to, which
// requests wait, and which are refused.
//
// Each daemon decides for the requests that it holds. It counts its own work
// on each endpoint exactly and adds what the other daemons last reported of
// theirs. A Scheduler is a state machine: events and the time go in, decisions
// come out.
package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Request is what the scheduler knows of one request.
type Request struct {
	ID           string
	Pool         structs.PoolName
	Rank         structs.Rank
	Organisation structs.OrganisationName
	// Prompt and Output are the expected token counts; both are zero for calls
	// of plain services.
	Prompt structs.Tokens
	Output structs.Tokens
	// Arrived is when the caller's request was read.
	Arrived time.Time
	// Target is the latency objective, counted from Arrived.
	Target time.Duration
	// StartBy is the last moment at which the request is worth starting.
	StartBy time.Time
	// Tried are the endpoints that were sent this request before.
	Tried []structs.EndpointName

	// sequence keeps the order of arrival among equals.
	sequence uint64
	position int
	late     bool
}

// targetShare is the part of the latency objective that a request may spend
// waiting here; the rest is for the endpoint.
const targetShare = 0.7

// queueUntil is the latest start that is worth waiting for: in time for the
// target, or before the request loses its use if that is past already.
func (r *Request) queueUntil() time.Time {
	inTime := r.Arrived.Add(time.Duration(targetShare * float64(r.Target)))
	if r.Target == 0 || inTime.After(r.StartBy) {
		return r.StartBy
	}
	return inTime
}

// RefuseReason says why a request was refused or could not be placed.
type RefuseReason string

// The reasons for which a request isn't placed.
const (
	// ReasonNoEndpoint means that the pool has no usable endpoint.
	ReasonNoEndpoint RefuseReason = "no-endpoint"
	// ReasonOverload means that the work ahead outlasts the request.
	ReasonOverload RefuseReason = "overload"
	// ReasonExpired means that the request waited past its last useful start.
	ReasonExpired RefuseReason = "expired"
)

// Grant is a place on an endpoint. It counts there until Ended.
type Grant struct {
	Request  *Request
	Endpoint endpointset.Endpoint
	// Forecast is the expected time to the first event on that endpoint.
	Forecast time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
	// PeerReportAge is the age of the oldest peer report that was counted in.
	PeerReportAge time.Duration
	// PeerRunning is the work of other daemons that was counted in, in requests.
	PeerRunning int

	units   float64
	tokens  structs.Tokens
	sentAt  time.Time
	ahead   float64
	started bool
	ended   bool
}

// Refusal is a request that will not be placed.
type Refusal struct {
	Request *Request
	Reason  RefuseReason
	// Waiting is how many requests of the pool waited.
	Waiting int
	// RetryAfter is when room is expected for it.
	RetryAfter time.Duration
}
