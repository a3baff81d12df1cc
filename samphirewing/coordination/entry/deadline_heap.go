package entry

// deadlineHeap orders requests by deadline for container/heap.
type deadlineHeap []*request

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	return d[i].spec.Deadline.Before(d[j].spec.Deadline)
}

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].deadlineIndex = i
	d[j].deadlineIndex = j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.deadlineIndex = len(*d)
	*d = append(*d, r)
}

// Pop implements heap.Interface. It marks the removed request as not in the
// heap.
func (d *deadlineHeap) Pop() any {
	old := *d
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*d = old[:last]
	r.deadlineIndex = -1
	return r
}
