package mesh

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// localQueue carries the messages that an instance sends to itself. They are
// handed over in order on one goroutine, as those of a session are.
type localQueue struct {
	wake     chan struct{}
	maxBytes int

	mu sync.Mutex
	// Invariant: bytes is the sum of the bodies in messages.
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

// notify wakes the reader of a channel of capacity 1.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
