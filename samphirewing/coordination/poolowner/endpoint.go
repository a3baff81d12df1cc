package poolowner

import (
	"sort"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// endpoint is one endpoint as the owner accounts for it.
// Invariant: inFlight and running are the sums over the requests on it.
type endpoint struct {
	spec     scheduling.EndpointSpec
	declared bool
	window   structs.Tokens
	inFlight structs.Tokens
	running  int
}

const initialWindow structs.Tokens = 16 << 10

// eligible tells whether the endpoint may get new work at all.
func (e *endpoint) eligible() bool {
	return e.declared && e.spec.Listed && !e.spec.Leaving && !e.spec.Drained
}

func (e *endpoint) hasRoom() bool { return e.inFlight < e.window }

// endpointFor returns the endpoint of a name, also when it is not declared:
// requests may still run there.
func (o *Owner) endpointFor(name structs.EndpointName) *endpoint {
	if e, ok := o.endpoints[name]; ok {
		return e
	}
	e := &endpoint{window: initialWindow}
	e.spec.Name = name
	o.endpoints[name] = e
	o.ordered = append(o.ordered, e)
	sort.Slice(o.ordered, func(i, j int) bool { return o.ordered[i].spec.Name < o.ordered[j].spec.Name })
	return e
}

func (o *Owner) configure(p scheduling.PoolSpec) {
	o.pool = p
	for _, e := range o.ordered {
		e.declared = false
	}
	for _, spec := range p.Endpoints {
		e := o.endpointFor(spec.Name)
		e.spec = spec
		e.declared = true
	}
	o.dropForgotten()
	o.indexTargets()
}

// dropForgotten removes endpoints that are no longer declared and idle.
func (o *Owner) dropForgotten() {
	kept := o.ordered[:0]
	for _, e := range o.ordered {
		if e.declared || e.running > 0 {
			kept = append(kept, e)
			continue
		}
		delete(o.endpoints, e.spec.Name)
	}
	clear(o.ordered[len(kept):])
	o.ordered = kept
}

func (o *Owner) indexTargets() {
	o.byTarget = map[structs.Target][]*endpoint{}
	for _, e := range o.ordered {
		if !e.declared {
			continue
		}
		for _, t := range e.spec.Targets {
			o.byTarget[t] = append(o.byTarget[t], e)
		}
	}
}

func (o *Owner) loadReport(scheduling.LoadReport) {}

func (o *Owner) cacheEvent(scheduling.CacheEvent) {}

// choose returns the endpoint with the least work, or nil when none has room.
func (o *Owner) choose(r *request, d *scheduling.Decision) *endpoint {
	var best *endpoint
	for _, e := range o.byTarget[r.spec.Target] {
		c := scheduling.Candidate{Endpoint: e.spec.Name}
		switch {
		case !e.eligible():
			c.RemovedBy = filterState
		case !e.hasRoom():
			c.RemovedBy = filterWindow
		case best == nil || e.inFlight < best.inFlight:
			best = e
		}
		d.Candidates = append(d.Candidates, c)
	}
	return best
}

const (
	filterState  scheduling.FilterName = "takes_no_new_work"
	filterWindow scheduling.FilterName = "window_full"
)
