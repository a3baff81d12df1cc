package daemon

import "sync"

// mailbox is an unbounded queue, so that two loops that post to each other cannot
// deadlock. The number of requests is bounded where they are accepted.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

// post appends an item without blocking.
func (m *mailbox[T]) post(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// drain removes and returns all items, oldest first.
func (m *mailbox[T]) drain() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

// ready returns a channel that receives a value after items were posted.
func (m *mailbox[T]) ready() <-chan struct{} { return m.signal }
