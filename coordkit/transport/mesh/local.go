package mesh

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// localQueue queues the messages that an instance sends to itself. As in a
// session, they are delivered in order from a single goroutine.
type localQueue struct {
	wake     chan struct{}
	maxBytes int

	mu sync.Mutex
	// Invariant: bytes is the total length of the bodies in messages.
	messages []Message
	bytes    int
}

func newLocalQueue(maxBytes int) *localQueue {
	return &localQueue{wake: make(chan struct{}, 1), maxBytes: maxBytes}
}

func (q *localQueue) push(msg Message) error {
	q.mu.Lock()
	if q.bytes+len(msg.Body) > q.maxBytes {
		q.mu.Unlock()
		return errors.Trace(ErrQueueFull)
	}
	q.messages = append(q.messages, msg)
	q.bytes += len(msg.Body)
	q.mu.Unlock()
	notify(q.wake)
	return nil
}

func (q *localQueue) run(ctx context.Context, deliver func(Message)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for _, msg := range q.take() {
			deliver(msg)
		}
	}
}

func (q *localQueue) take() []Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages := q.messages
	q.messages = nil
	q.bytes = 0
	return messages
}

// notify wakes the receiver of a channel of capacity 1 without blocking.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
