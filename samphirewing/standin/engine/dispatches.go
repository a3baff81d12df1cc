package engine

import (
	"sync"

	"github.com/samphirewing/samphirewing/state/structs"
)

// maxCountedRequests bounds the requests with a count. The oldest is dropped.
const maxCountedRequests = 1 << 20

// DispatchCount counts the arrivals of a request at an engine and its runs,
// over all attempts.
type DispatchCount struct {
	Request structs.RequestID `json:"request"`
	Arrived int               `json:"arrived"`
	Ran     int               `json:"ran"`
}

type dispatchCounts struct {
	mu     sync.Mutex
	counts map[structs.RequestID]*DispatchCount
	order  []structs.RequestID
}

func newDispatchCounts() *dispatchCounts {
	return &dispatchCounts{counts: make(map[structs.RequestID]*DispatchCount)}
}

func (d *dispatchCounts) recordArrival(id structs.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.getOrAddLocked(id).Arrived++
}

func (d *dispatchCounts) recordRun(id structs.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.getOrAddLocked(id).Ran++
}

func (d *dispatchCounts) getOrAddLocked(id structs.RequestID) *DispatchCount {
	if c, ok := d.counts[id]; ok {
		return c
	}
	if len(d.order) == maxCountedRequests {
		delete(d.counts, d.order[0])
		d.order = d.order[1:]
	}
	c := &DispatchCount{Request: id}
	d.counts[id] = c
	d.order = append(d.order, id)
	return c
}

// list returns the counts in order of first arrival.
func (d *dispatchCounts) list() []DispatchCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]DispatchCount, 0, len(d.order))
	for _, id := range d.order {
		all = append(all, *d.counts[id])
	}
	return all
}
