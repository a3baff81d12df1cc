// Package mesh carries messages between the instances of a system.
//
// One session joins two instances; one-way messages and calls share it. A
// session that goes silent is closed and redialled while others work on.
package mesh

import (
	"context"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Kind tells message types apart. Kinds below 1000 belong to this library.
type Kind uint32

// FirstApplicationKind is the first kind that embedding programs may use.
const FirstApplicationKind Kind = 1000

// Message is one message between instances.
type Message struct {
	Kind Kind
	Body []byte
	// TraceParent is a W3C trace context, or empty.
	TraceParent string
}

const (
	// ErrNoPeer means that no address is known for the instance.
	ErrNoPeer = errors.ConstError("no address known for the instance; wait for the membership list")
	// ErrNoSession means that the instance cannot be reached now; nothing was sent.
	ErrNoSession = errors.ConstError("no session to the instance; nothing was sent")
	// ErrCallLost means that a call was sent and its answer never came.
	ErrCallLost = errors.ConstError("call sent but its answer was lost; it may have been carried out")
	// ErrQueueFull means that the peer reads too slowly; nothing was sent.
	ErrQueueFull = errors.ConstError("send queue to the instance is full; nothing was sent")
	// ErrUnknownKind means that the peer has no handler for the call's kind.
	ErrUnknownKind = errors.ConstError("the instance does not know this kind of call; upgrade it")
	// ErrTooLarge means that a message exceeds the frame limit.
	ErrTooLarge = errors.ConstError("message over the frame limit; split it")
)

// Sender sends one-way messages. Messages to one peer keep their order while
// the session lives; messages may be lost when it ends.
type Sender interface {
	Send(to instance.ID, m Message) error
}

// Caller makes calls that are answered.
type Caller interface {
	Call(ctx context.Context, to instance.ID, m Message) (Message, error)
}

// ReceiveFunc handles a one-way message. It must not block.
type ReceiveFunc func(from instance.Process, m Message)

// CallFunc answers a call. It runs on its own goroutine. An error reaches the
// caller as its text.
type CallFunc func(ctx context.Context, from instance.Process, m Message) (Message, error)

// Registrar takes handlers; all are registered before the mesh starts.
type Registrar interface {
	OnMessage(k Kind, f ReceiveFunc)
	OnCall(k Kind, f CallFunc)
}
