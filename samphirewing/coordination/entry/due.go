package entry

// dueHeap orders held requests by deadline for container/heap.
type dueHeap []*held

func (d dueHeap) Len() int { return len(d) }

func (d dueHeap) Less(i, j int) bool {
	return d[i].request.Deadline.Before(d[j].request.Deadline)
}

func (d dueHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].dueIndex = i
	d[j].dueIndex = j
}

// Push appends a *held.
func (d *dueHeap) Push(x any) {
	h := x.(*held)
	h.dueIndex = len(*d)
	*d = append(*d, h)
}

// Pop removes the last element and marks it as not queued.
func (d *dueHeap) Pop() any {
	old := *d
	last := len(old) - 1
	h := old[last]
	old[last] = nil
	*d = old[:last]
	h.dueIndex = -1
	return h
}
