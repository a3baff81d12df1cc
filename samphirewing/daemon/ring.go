package daemon

import "sync"

// ring is a bounded buffer of the newest items. It is safe for concurrent use.
type ring[T any] struct {
	mu    sync.Mutex
	items []T
	next  int
}

func newRing[T any](capacity int) *ring[T] { return &ring[T]{items: make([]T, 0, capacity)} }

func (r *ring[T]) add(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) < cap(r.items) {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % len(r.items)
}

// all returns the items, oldest first.
func (r *ring[T]) all() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := make([]T, 0, len(r.items))
	ordered = append(ordered, r.items[r.next:]...)
	return append(ordered, r.items[:r.next]...)
}
