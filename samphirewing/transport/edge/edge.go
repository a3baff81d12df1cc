// Package edge holds the interfaces to the systems around the daemons: model
// engines, plain services, the membership list and the weight store. The log
// service has its interface in coordkit/state/eventlog.
//
// A wire format costs one implementation; the coordination layer sees only
// these types.
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
	// ErrRejected means that the endpoint answered that it did not take the work.
	ErrRejected = errors.ConstError("the endpoint rejected the request; see its message")
	// ErrFailed means that the endpoint ran the work and reported a failure.
	ErrFailed = errors.ConstError("the endpoint ran the request and failed; see its message")
	// ErrIndeterminate means that the stream or the answer was lost after sending.
	ErrIndeterminate = errors.ConstError("the answer was cut off; the request may have run")
	// ErrFrameMismatch means that a frame of another request or attempt arrived,
	// or a sequence number was skipped.
	ErrFrameMismatch = errors.ConstError("a frame of another request arrived; the stream was closed")
	// ErrFenced means that the endpoint refused an order with an old fencing number.
	ErrFenced = errors.ConstError("a newer fencing number is in use; give the lease up")
)

// Attempt binds every frame of an engine's stream to the one dispatch of a
// request.
type Attempt struct {
	Request structs.RequestID
	// Number is the owner's grant number.
	Number uint64
}

// Generation is a model request as an engine receives it.
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

// Frame is one piece of an engine's answer.
// Sequence starts at 1 and rises by 1 in each stream of an Attempt.
type Frame struct {
	Sequence uint64
	Text     string
	Tokens   structs.Tokens
	// Last is set on the final frame, with the reason and usage.
	Last         bool
	FinishReason string
	PromptTokens structs.Tokens
	CachedTokens structs.Tokens
	OutputTokens structs.Tokens
}

// FrameStream yields the frames of one answer. Next returns io.EOF after the
// last frame, and an error that is ErrBroken, ErrFailed or ErrMismatch
// otherwise. Close frees the connection and cancels nothing at the engine.
type FrameStream interface {
	Next() (Frame, error)
	Close() error
}

// Engine is the client of one model engine.
//
// Generate sends the request at most once and never repeats it by itself. It
// returns ErrNotSent only when no byte went out. Resume continues the answer
// of an attempt after the given sequence number. Cancel stops an attempt and
// is safe to repeat.
type Engine interface {
	Generate(ctx context.Context, g Generation) (FrameStream, error)
	Resume(ctx context.Context, a Attempt, after uint64) (FrameStream, error)
	Cancel(ctx context.Context, a Attempt) error
	Load(ctx context.Context) (EngineLoad, error)
	CacheEvents(ctx context.Context, after uint64) ([]EngineCacheEvent, error)
	Order(ctx context.Context, o EngineOrder) (EngineState, error)
	State(ctx context.Context) (EngineState, error)
}

// EngineLoad is a lagged load report. Age is how old the figures are.
type EngineLoad struct {
	Age           time.Duration
	Running       int
	Waiting       int
	TokensInUse   structs.Tokens
	TokenCapacity structs.Tokens
}

// EngineCacheEvent is one change of an engine's prefix cache.
type EngineCacheEvent struct {
	Sequence uint64
	Stored   []structs.PrefixHash
	Dropped  []structs.PrefixHash
	Cleared  bool
}

// EngineOrder is the full desired state of an engine, safe to repeat.
type EngineOrder struct {
	// Fencing is the offset of the lease record that allows the order.
	Fencing  int64
	Models   []string
	Adapters []string
	Role     string
}

// EngineState is what an engine says it has loaded.
type EngineState struct {
	Models   []string
	Adapters []string
	Role     string
	Fencing  int64
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Service string
	// Key is the scoped idempotency key, carried in the body's envelope.
	Key         string
	Body        []byte
	TraceParent string
}

// ScopedKey returns the key that a service sees for an organisation's key, so
// that two organisations that choose the same key don't meet. It is empty when
// the caller gave none.
func ScopedKey(organisation structs.OrganisationName, key string) string {
	if key == "" {
		return ""
	}
	return string(organisation) + "/" + key
}

// ServiceResponse is a service's whole answer.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// Service is the client of one plain service. Call sends once, on a fresh
// connection, and never repeats; errors are ErrNotSent, ErrRejected,
// ErrFailed or ErrBroken.
type Service interface {
	Call(ctx context.Context, c ServiceCall) (ServiceResponse, error)
}

// MemberKind tells what a listed address is.
type MemberKind string

// The kinds of listed addresses.
const (
	MemberDaemon   MemberKind = "daemon"
	MemberEndpoint MemberKind = "endpoint"
)

// Member is one line of the platform's membership list.
type Member struct {
	Kind MemberKind
	// Name is the daemon's instance ID or the endpoint's name.
	Name          string
	Address       string
	FailureDomain instance.FailureDomain
	Leaving       bool
}

// MembershipList is the platform's list, which lags. Announce adds or renews
// the line of a daemon; Retire marks it leaving.
type MembershipList interface {
	Members(ctx context.Context) ([]Member, error)
	Announce(ctx context.Context, l Member) error
	Retire(ctx context.Context, l Member) error
}

// WeightStore tells how fast weights may be fetched from it.
type WeightStore interface {
	// Rate returns the bytes a second that all fetches share, and the size
	// in bytes of each model's weights.
	Rate(ctx context.Context) (WeightRate, error)
}

// WeightRate is a weight store's limit.
type WeightRate struct {
	BytesPerSecond int64
	ModelBytes     []ModelSize
}

// ModelSize is the size of one model's weights in bytes.
type ModelSize struct {
	Model string
	Bytes int64
}
