package daemon

import "sync"

// mailbox is an unbounded queue between goroutines, so that two loops that
// post to each other cannot block each other. Bounds are kept where work is
// accepted.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

// post appends an item; it never blocks.
func (m *mailbox[T]) post(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns all items in order; the channel ready tells when to call it.
func (m *mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

func (m *mailbox[T]) ready() <-chan struct{} { return m.signal }
