// Package callerapi implements the HTTP interface for callers: the entry list,
// model requests in the completions style, plain-service calls, and lookup of a
// request's state and answer by its id.
package callerapi

import (
	"context"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Backend is the entry that handles the requests of the HTTP layer.
//
// Submit returns a structs.Refusal when the request is refused immediately, and
// an *InvalidError when it names something that does not exist or is not
// allowed. In both cases no state of the request is retained.
type Backend interface {
	Entries(ctx context.Context) EntryList
	Authenticate(token string) (structs.OrganisationName, bool)
	// Models returns the models that an organisation may ask for, by name.
	Models(organisation structs.OrganisationName) []structs.Target
	Submit(ctx context.Context, s Submission) (Answer, error)
	Lookup(organisation structs.OrganisationName, id structs.RequestID) (Answer, bool)
}

// EntryList is the list of addresses that callers use. Callers may cache it for
// MaxAge.
type EntryList struct {
	Entries []Entry
	MaxAge  time.Duration
}

// Entry is one address of an EntryList. Weight is its relative share of the
// requests.
type Entry struct {
	Instance      instance.ID
	Address       string
	FailureDomain instance.FailureDomain
	Weight        int
}

// Submission is one decoded request.
type Submission struct {
	Organisation structs.OrganisationName
	// Tier is empty when the caller named none.
	Tier      structs.TierName
	Kind      structs.WorkKind
	Target    structs.Target
	CallerKey string
	// KeyIssued is when the caller created its key; zero means now.
	KeyIssued time.Time
	WorkClass string
	// Deadline is zero when the caller set none.
	Deadline    time.Time
	Prompt      string
	MaxTokens   structs.Tokens
	Temperature float64
	Seed        int64
	Stop        []string
	// Body is the payload of a plain-service call.
	Body        []byte
	TraceParent string
}

// InvalidError reports an invalid field or header of a request.
type InvalidError struct {
	// Field is the name of the field or header.
	Field  string
	Detail string
	Remedy string
	// Status is the HTTP status to answer with, a 4xx.
	Status int
}

func (e *InvalidError) Error() string { return e.Field + ": " + e.Detail + "; " + e.Remedy }

// Chunk is one piece of an answer. Sequence starts at 1 and increases by 1 with
// each chunk.
type Chunk struct {
	Sequence uint64
	Text     string
	Tokens   structs.Tokens
}

// RequestState is the state of a request.
type RequestState string

// The states.
const (
	StateWaiting RequestState = "waiting"
	StateRunning RequestState = "running"
	StateEnded   RequestState = "ended"
)

// Result is the final result of a request.
type Result struct {
	Outcome      structs.Outcome
	Reason       structs.Reason
	Detail       string
	RetryAfter   time.Duration
	FinishReason string
	Endpoint     structs.EndpointName
	PromptTokens structs.Tokens
	CachedTokens structs.Tokens
	OutputTokens structs.Tokens
	// ServiceStatus and ServiceBody are the HTTP status and body that a plain
	// service returned.
	ServiceStatus int
	ServiceBody   []byte
}

// Answer is the answer to one request, which grows until the request has
// finished. It is safe for concurrent use, so that a caller may reconnect while
// its old connection is still open.
type Answer interface {
	ID() structs.RequestID
	State() RequestState
	// Next blocks until there are chunks after the given sequence number or the
	// request has finished. finished is true when no chunk will follow those
	// returned. When ctx is done first, Next returns its error.
	Next(ctx context.Context, after uint64) (chunks []Chunk, finished bool, err error)
	// Result is valid once Next has returned finished.
	Result() Result
	// Attach and Detach count the connections that read this answer. When there
	// is none for the reconnect grace period, the request is cancelled.
	Attach()
	Detach()
}
