package engine

import (
	"sync"

	"github.com/samphirewing/samphirewing/state/structs"
)

// maxDispatchCounts bounds the requests that are remembered.
const maxDispatchCounts = 1 << 20

// DispatchCount tells how often a request arrived at an engine, whatever its
// attempt number, and how often it was run.
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

func (d *dispatchCounts) arrived(id structs.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.getLocked(id).Arrived++
}

func (d *dispatchCounts) ran(id structs.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.getLocked(id).Ran++
}

func (d *dispatchCounts) getLocked(id structs.RequestID) *DispatchCount {
	if c, ok := d.counts[id]; ok {
		return c
	}
	if len(d.order) == maxDispatchCounts {
		delete(d.counts, d.order[0])
		d.order = d.order[1:]
	}
	c := &DispatchCount{Request: id}
	d.counts[id] = c
	d.order = append(d.order, id)
	return c
}

// list returns the counts in the order of first arrival.
func (d *dispatchCounts) list() []DispatchCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]DispatchCount, 0, len(d.order))
	for _, id := range d.order {
		all = append(all, *d.counts[id])
	}
	return all
}
