// Package gateway forwards opaque HTTP requests of callers to endpoints, each
// at most as often as its route allows.
//
// A platform's adapter decodes callers' requests into Request, encodes them
// for endpoints as a Dialect, and writes answers as a Sink. Decisions are the
// scheduler's, the quotas' and the retry budget's; this package holds the
// request meanwhile.
package gateway

import (
	"net/http"
	"time"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// Request is a caller's request, whole.
type Request struct {
	ID     string
	Method string
	Host   string
	// RouteHost is the host without a port, by which routes are found.
	RouteHost string
	// Path is compared with routes; Target is sent on. Both are as received.
	Path   string
	Target string
	// Header holds what is passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's key, or empty.
	Key string
	// Deadline is how long the caller waits; zero means no limit is known.
	Deadline time.Duration
	Arrived  time.Time
	// Prompt and MaxOutput are the token counts that the caller declared.
	Prompt    structs.Tokens
	MaxOutput structs.Tokens
	Declared  bool
	// OutputHint is the caller's guess of the output; zero if none.
	OutputHint structs.Tokens
	// LastEvent is the last event the caller has, or empty.
	LastEvent string
	// TraceParent is the caller's W3C trace context, or empty.
	TraceParent string
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Endpoint     endpointset.Endpoint
	Organisation structs.OrganisationName
	// Remaining is how long the answer is still of use.
	Remaining time.Duration
	// LastEvent is the last event that the caller has of this stream, or empty.
	LastEvent string
	// TraceParent is the W3C trace context of the sending, or empty.
	TraceParent string
}

// Dialect translates between requests and the endpoints' protocol.
type Dialect interface {
	// Encode returns the request as it goes to the endpoint.
	Encode(r *Request, a Attempt) forward.Request
	// NotRun tells whether the answer states that the request didn't run.
	NotRun(a *forward.Response) bool
	// Genuine tells whether the answer is an endpoint's own.
	Genuine(a *forward.Response) bool
}

// Sink takes the answer to one request. Either Fail is called, or Begin, then
// Write any number of times, then End or Break.
type Sink interface {
	// Begin sends an endpoint's status and header. length is -1 if unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body on at once.
	Write(p []byte) error
	// End completes the answer.
	End()
	// Break ends the connection, so that the answer can't pass for whole.
	Break()
	// Fail answers without an endpoint's answer.
	Fail(f Failure)
}

// FailureKind says what callers are told of a request that got no answer.
type FailureKind int8

// The kinds of failures.
const (
	// NotReady means that no configuration is known yet; not run.
	NotReady FailureKind = iota + 1
	// NoRoute means that no route matches.
	NoRoute
	// BadKey means that the key is unknown or missing.
	BadKey
	// BadRequest means that the request can't be understood.
	BadRequest
	// TooLarge means that the body is over the limit.
	TooLarge
	// OverQuota means that the organisation has used its quota up; not run.
	OverQuota
	// NotRun means that the request was not run and never will be.
	NotRun
	// MayHaveRun means that the answer was lost.
	MayHaveRun
	// TimedOut means that the time was up while an endpoint worked.
	TimedOut
)

var failureNames = map[FailureKind]string{
	NotReady: "not-ready", NoRoute: "no-route", BadKey: "bad-key", BadRequest: "bad-request", TooLarge: "too-large",
	OverQuota: "over-quota", NotRun: "not-run", MayHaveRun: "may-have-run", TimedOut: "timed-out",
}

// String returns the kind's name as logs and metrics spell it.
func (k FailureKind) String() string { return failureNames[k] }

// Failure is an answer of the system's own.
type Failure struct {
	Kind FailureKind
	// Reason says more, for logs and callers.
	Reason string
	// RetryAfter is when the caller should come back; zero if there is no
	// point in it.
	RetryAfter time.Duration
}
