// Package indexheap is a binary heap that stores each item's position in the
// item, so that any item can be removed or moved in logarithmic time.
package indexheap

// Absent is the position of an item that is not in a heap.
const Absent = -1

// Heap is a binary min-heap.
type Heap[T any] struct {
	items       []T
	less        func(a, b T) bool
	setPosition func(item T, position int)
}

// New returns an empty heap. The order must be total, so that runs are
// deterministic. setPosition stores an item's position, or Absent, in the
// item.
func New[T any](less func(a, b T) bool, setPosition func(item T, position int)) *Heap[T] {
	return &Heap[T]{less: less, setPosition: setPosition}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least item. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Items returns the items in heap order. The caller must not modify them.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.setPosition(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes the item at a position.
func (h *Heap[T]) Remove(position int) {
	last := len(h.items) - 1
	h.swap(position, last)
	removed := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setPosition(removed, Absent)
	if position < last {
		h.Fix(position)
	}
}

// Init restores the order after any number of items have changed.
func (h *Heap[T]) Init() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// Fix restores the order after the item at a position has changed.
func (h *Heap[T]) Fix(position int) {
	if !h.down(position) {
		h.up(position)
	}
}

func (h *Heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setPosition(h.items[i], i)
	h.setPosition(h.items[j], j)
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
