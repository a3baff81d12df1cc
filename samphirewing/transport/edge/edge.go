// Package edge defines the interfaces to the systems outside the daemons: model
// engines, plain services, the membership list and the weight store. The interface
// to the log service is in coordkit/state/eventlog.
//
// The coordination layer depends only on these types, so that another wire format
// needs only another implementation of them.
package edge

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// ErrNotSent means that no byte of the request was sent to the endpoint.
	ErrNotSent = errors.ConstError("nothing was sent to the endpoint; the request may be placed again")
	// ErrRejected means that the endpoint responded that it did not accept the work.
	ErrRejected = errors.ConstError("the endpoint rejected the request; see its message")
	// ErrFailed means that the endpoint ran the work and reported a failure.
	ErrFailed = errors.ConstError("the endpoint ran the request and failed; see its message")
	// ErrIndeterminate means that the stream or the response was lost after the
	// request was sent. The endpoint may have run the request.
	ErrIndeterminate = errors.ConstError("the answer was cut off; the request may have run")
	// ErrFrameMismatch means that a frame belongs to another request or attempt, or
	// that its sequence number isn't the next one.
	ErrFrameMismatch = errors.ConstError("a frame of another request arrived; the stream was closed")
	// ErrFenced means that the endpoint rejected an order with an outdated fencing
	// number.
	ErrFenced = errors.ConstError("a newer fencing number is in use; give the lease up")
)

// Attempt identifies one dispatch of a request. Each frame of an engine's stream
// carries it.
type Attempt struct {
	Request structs.RequestID
	// Number is the owner's grant number.
	Number uint64
}

// Generation is a model request to an engine.
type Generation struct {
	Attempt   Attempt
	Model     string
	Prompt    string
	MaxTokens structs.Tokens
	// Seed and Temperature are passed through to the engine.
	Seed        int64
	Temperature float64
	Stop        []string
	// TraceParent is the W3C trace context, or empty.
	TraceParent string
}

// Frame is one piece of an engine's answer. Sequence starts at 1 and increases by 1
// with each frame of an Attempt; a resumed stream continues the numbering.
type Frame struct {
	Sequence uint64
	Text     string
	Tokens   structs.Tokens
	// Last is set on the final frame, which also carries the finish reason and the
	// usage.
	Last         bool
	FinishReason string
	PromptTokens structs.Tokens
	CachedTokens structs.Tokens
	OutputTokens structs.Tokens
}

// FrameStream reads the frames of one answer. Next returns io.EOF after the last
// frame. Its other errors are ErrIndeterminate, ErrFailed and ErrFrameMismatch.
// Close releases the connection; it doesn't cancel the attempt at the engine.
type FrameStream interface {
	Next() (Frame, error)
	Close() error
}

// Engine is the client of one model engine.
//
// Generate sends the request at most once and never retries it. It returns
// ErrNotSent only if no byte was sent. Resume continues the answer of an attempt
// after the given sequence number. Cancel stops an attempt and is idempotent.
type Engine interface {
	Generate(ctx context.Context, g Generation) (FrameStream, error)
	Resume(ctx context.Context, a Attempt, after uint64) (FrameStream, error)
	Cancel(ctx context.Context, a Attempt) error
	Load(ctx context.Context) (EngineLoad, error)
	CacheEvents(ctx context.Context, after uint64) ([]EngineCacheEvent, error)
	Order(ctx context.Context, o EngineOrder) (EngineState, error)
	State(ctx context.Context) (EngineState, error)
}

// EngineLoad is a load report, which may be outdated. Age is the age of its figures.
type EngineLoad struct {
	Age           time.Duration
	Running       int
	Waiting       int
	TokensInUse   structs.Tokens
	TokenCapacity structs.Tokens
}

// EngineCacheEvent is a change of an engine's prefix cache.
type EngineCacheEvent struct {
	Sequence uint64
	Stored   []structs.PrefixHash
	Dropped  []structs.PrefixHash
	Cleared  bool
}

// EngineOrder is the complete desired state of an engine. Orders are idempotent.
type EngineOrder struct {
	// Fencing is the fencing number of the order: the log offset of the lease record
	// under which it is sent.
	Fencing  int64
	Models   []string
	Adapters []string
	Role     string
}

// EngineState is the state that an engine reports. Fencing is the highest fencing
// number among the orders it has accepted.
type EngineState struct {
	Models   []string
	Adapters []string
	Role     string
	Fencing  int64
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service string
	// Key is the idempotency key as returned by ScopedKey. It is sent in the body.
	Key         string
	Body        []byte
	TraceParent string
}

// ScopedKey returns the idempotency key that is sent to a service for an
// organisation's key. It includes the organisation's name, so that equal keys of
// two organisations don't collide. It is empty if key is.
func ScopedKey(organisation structs.OrganisationName, key string) string {
	if key == "" {
		return ""
	}
	return string(organisation) + "/" + key
}

// ServiceResponse is the complete response of a service.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// Service is the client of one plain service. Call sends the request once, on a new
// connection, and never retries it. Errors are ErrNotSent, ErrRejected, ErrFailed or
// ErrIndeterminate.
type Service interface {
	Call(ctx context.Context, c ServiceCall) (ServiceResponse, error)
}

// MemberKind is the kind of a Member.
type MemberKind string

// The kinds of members.
const (
	MemberDaemon   MemberKind = "daemon"
	MemberEndpoint MemberKind = "endpoint"
)

// Member is an entry of the platform's membership list.
type Member struct {
	Kind MemberKind
	// Name is the daemon's instance ID or the endpoint's name.
	Name          string
	Address       string
	FailureDomain instance.FailureDomain
	Leaving       bool
}

// MembershipList is the platform's membership list, which may be outdated. Announce
// adds or renews a daemon's entry; Retire marks it as leaving.
type MembershipList interface {
	Members(ctx context.Context) ([]Member, error)
	Announce(ctx context.Context, l Member) error
	Retire(ctx context.Context, l Member) error
}

// WeightStore is the store from which engines load model weights.
type WeightStore interface {
	// Rate returns the store's bandwidth and the sizes of the models' weights.
	Rate(ctx context.Context) (WeightRate, error)
}

// WeightRate is the bandwidth of a weight store, from which load times follow.
type WeightRate struct {
	// BytesPerSecond is shared by all concurrent loads.
	BytesPerSecond int64
	ModelBytes     []ModelSize
}

// ModelSize is the size of one model's weights.
type ModelSize struct {
	Model string
	Bytes int64
}
