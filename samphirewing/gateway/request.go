// Package gateway forwards opaque HTTP requests of callers to endpoints, each
// at most as often as its route allows.
//
// A platform adapter decodes callers' requests into Request, encodes them for
// endpoints with a Dialect, and writes answers to a Sink. The scheduler, the
// quotas and the retry budget make the decisions; this package holds each
// request until it ends.
package gateway

import (
	"net/http"
	"time"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// Request is a complete request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// RouteHost is the host without a port, which routes are matched by.
	RouteHost string
	// Path is matched with routes; Target is forwarded. Both are as received.
	Path   string
	Target string
	// Header holds the header fields to forward.
	Header http.Header
	Body   []byte
	// APIKey identifies the caller's organisation; empty if none was sent.
	APIKey string
	// TimeLimit is how long the caller waits after Arrived; zero if unknown.
	TimeLimit time.Duration
	Arrived   time.Time
	// PromptTokens and MaxOutputTokens are the token counts that the caller
	// declared. They are valid if TokensDeclared is set.
	PromptTokens    structs.Tokens
	MaxOutputTokens structs.Tokens
	TokensDeclared  bool
	// PromptParts identifies the leading parts of the prompt, which other requests
	// may share. The last part, which belongs to the request alone, is left out.
	PromptParts []structs.PromptPart
	// OutputTokensHint is the caller's estimate of the output; zero if none.
	OutputTokensHint structs.Tokens
	// LastEventID is the last stream event that the caller has, or empty.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of a stream that
	// the caller takes up, or empty.
	Resumes string
	// TraceParent is the caller's W3C trace context, or empty.
	TraceParent string
}

// Attempt is one transmission of a request to an endpoint.
type Attempt struct {
	Endpoint     endpointset.Endpoint
	Organisation structs.OrganisationName
	// Remaining is the time left to answer.
	Remaining time.Duration
	// LastEventID is the last event of this stream that the caller has, or
	// empty.
	LastEventID string
	// TraceParent is the W3C trace context of the attempt, or empty.
	TraceParent string
}

// Dialect translates between requests and the endpoints' protocol.
type Dialect interface {
	// Encode returns the request to send to the endpoint.
	Encode(r *Request, a Attempt) forward.Request
	// NotRun reports whether the answer states that the request did not run.
	NotRun(a *forward.Response) bool
	// RateLimit returns the rate of requests per second that the endpoint says it
	// takes from all daemons together, or infinity if it names none. ok is false if
	// the value is malformed, which says nothing.
	RateLimit(a *forward.Response) (perSecond float64, ok bool)
	// Leaving reports whether the answer says that the endpoint leaves and takes no
	// further requests.
	Leaving(a *forward.Response) bool
	// Backoff returns for how long the endpoint asks this daemon for no requests, or
	// zero.
	Backoff(a *forward.Response) time.Duration
	// Genuine reports whether the answer originates from an endpoint.
	Genuine(a *forward.Response) bool
	// EncodeProbe returns a request that an endpoint answers at once, however busy it
	// is, and that it runs under no circumstances.
	EncodeProbe(e endpointset.Endpoint) forward.Request
	// Identify returns what the answer to a probe says about its sender. It may read
	// the body.
	Identify(e endpointset.Endpoint, a *forward.Response) forward.Identity
}

// Sink receives the answer to one request. Either Fail is called, or Begin,
// then Write any number of times, then End or Abort.
type Sink interface {
	// Begin sends an endpoint's status and header. length is -1 if unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body immediately.
	Write(p []byte) error
	// End completes the answer.
	End()
	// Abort closes the connection, so that the answer can't be mistaken for a
	// complete one.
	Abort()
	// Fail sends an answer of the gateway in place of an endpoint's.
	Fail(f Failure)
}

// FailureKind classifies requests that got no answer from an endpoint.
type FailureKind int8

// The kinds of failures.
const (
	// NotReady means that no configuration is known yet. The request did not
	// run.
	NotReady FailureKind = iota + 1
	// NoRoute means that no route matches.
	NoRoute
	// BadKey means that the key is unknown or missing.
	BadKey
	// BadRequest means that the request is malformed.
	BadRequest
	// TooLarge means that the body is over the limit.
	TooLarge
	// OverQuota means that the organisation's quota is used up. The request did
	// not run.
	OverQuota
	// NotRun means that the request did not run and never will.
	NotRun
	// MayHaveRun means that the answer was lost after the request was sent.
	MayHaveRun
	// TimedOut means that the deadline passed while an endpoint was working.
	TimedOut
	// BodyTooSlow means that the body did not arrive in time. The request did not
	// run.
	BodyTooSlow
	// TooManyBodies means that the caller's address sends too many bodies at once.
	// The request did not run.
	TooManyBodies
)

var failureNames = map[FailureKind]string{
	NotReady: "not-ready", NoRoute: "no-route", BadKey: "bad-key", BadRequest: "bad-request", TooLarge: "too-large",
	OverQuota: "over-quota", NotRun: "not-run", MayHaveRun: "may-have-run", TimedOut: "timed-out",
	BodyTooSlow: "body-too-slow", TooManyBodies: "too-many-bodies",
}

// String returns the kind's name as used in logs and metrics.
func (k FailureKind) String() string { return failureNames[k] }

// Failure is an answer made by the gateway instead of an endpoint.
type Failure struct {
	Kind FailureKind
	// Reason explains the failure in logs and to callers.
	Reason string
	// RetryAfter is the delay after which a retry is useful; zero means that a
	// retry is not useful.
	RetryAfter time.Duration
}
