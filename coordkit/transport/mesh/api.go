// Package mesh carries messages between the instances of a system.
//
// Two instances are connected by one session, which carries both one-way
// messages and calls. A session whose peer becomes unresponsive is closed and
// dialled again, without affecting other sessions.
package mesh

import (
	"context"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Kind identifies the type of a message. Kinds below FirstApplicationKind are
// reserved for this library.
type Kind uint32

// FirstApplicationKind is the first kind that embedding programs may use.
const FirstApplicationKind Kind = 1000

// Message is a message between instances.
type Message struct {
	Kind Kind
	Body []byte
	// TraceParent is a W3C trace context, or empty.
	TraceParent string
}

const (
	// ErrNoPeer means that no address is known for the instance.
	ErrNoPeer = errors.ConstError("no address known for the instance; wait for the membership list")
	// ErrNoSession means that the instance is currently unreachable; nothing was
	// sent.
	ErrNoSession = errors.ConstError("no session to the instance; nothing was sent")
	// ErrCallLost means that a call was sent, but its answer was not received.
	ErrCallLost = errors.ConstError("call sent but its answer was lost; it may have been carried out")
	// ErrQueueFull means that the peer reads too slowly; nothing was sent.
	ErrQueueFull = errors.ConstError("send queue to the instance is full; nothing was sent")
	// ErrUnknownKind means that the peer has no handler for the call's kind.
	ErrUnknownKind = errors.ConstError("the instance does not know this kind of call; upgrade it")
	// ErrTooLarge means that a message exceeds the frame limit.
	ErrTooLarge = errors.ConstError("message over the frame limit; split it")
)

// Sender sends one-way messages. Messages to a peer stay in order within a
// session. Messages may be lost when the session ends.
type Sender interface {
	Send(to instance.ID, m Message) error
}

// Caller makes calls and returns their answers.
type Caller interface {
	Call(ctx context.Context, to instance.ID, m Message) (Message, error)
}

// ReceiveFunc handles a one-way message. It must not block.
type ReceiveFunc func(from instance.Process, m Message)

// CallFunc answers a call. It runs in its own goroutine. The text of a returned
// error is sent to the caller.
type CallFunc func(ctx context.Context, from instance.Process, m Message) (Message, error)

// Registrar registers handlers. All are registered before the mesh starts.
type Registrar interface {
	OnMessage(k Kind, f ReceiveFunc)
	OnCall(k Kind, f CallFunc)
}
