// Package callerapi serves callers over HTTP: the entry list, model requests
// in the completions style, plain-service calls, and the state and answer of
// a request by its id.
package callerapi

import (
	"context"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Backend is what the HTTP layer needs of the entry behind it.
//
// Submit returns a structs.Refusal when the request is refused at once, and
// an InvalidError when it names something that does not exist or is not
// allowed; nothing is left behind then.
type Backend interface {
	Entries(ctx context.Context) EntryList
	Authenticate(token string) (structs.OrganisationName, bool)
	// Models returns the models that an organisation may ask for, by name.
	Models(organisation structs.OrganisationName) []structs.Target
	Submit(ctx context.Context, s Submission) (Answer, error)
	Lookup(organisation structs.OrganisationName, id structs.RequestID) (Answer, bool)
}

// EntryList tells callers which addresses to use and how long to keep them.
type EntryList struct {
	Entries []Entry
	MaxAge  time.Duration
}

// Entry is one address of the list. Weight is a relative share.
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
	// KeyIssued is when the caller made its key; zero means now.
	KeyIssued time.Time
	WorkClass string
	// Deadline is zero when the caller named none.
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

// InvalidError is a fault in what the caller sent.
type InvalidError struct {
	// Field is the offending field or header.
	Field  string
	Detail string
	Remedy string
	// Status is the HTTP status to answer with, a 4xx.
	Status int
}

// Error returns the field, the fault and the remedy.
func (e *InvalidError) Error() string { return e.Field + ": " + e.Detail + "; " + e.Remedy }

// Chunk is one piece of an answer. Sequence starts at 1 and rises by 1.
type Chunk struct {
	Sequence uint64
	Text     string
	Tokens   structs.Tokens
}

// RequestState is where a request stands.
type RequestState string

// The states.
const (
	StateWaiting RequestState = "waiting"
	StateRunning RequestState = "running"
	StateEnded   RequestState = "ended"
)

// Result is how a request ended.
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
	// ServiceStatus and ServiceBody are a plain service's answer.
	ServiceStatus int
	ServiceBody   []byte
}

// Answer is the growing answer of one request. It is safe for use by several
// goroutines, so that a caller may reconnect while its old connection is
// still open.
type Answer interface {
	ID() structs.RequestID
	State() RequestState
	// Next blocks until chunks after the given sequence number exist or the
	// request has ended; ended is true when no later chunk will follow those
	// returned. It returns the context's error when that ends first.
	Next(ctx context.Context, after uint64) (chunks []Chunk, ended bool, err error)
	// Result is valid once Next has returned ended.
	Result() Result
	// Attach and Detach count the connections that read this answer. When
	// none is left for the reconnect grace the request is cancelled.
	Attach()
	Detach()
}
