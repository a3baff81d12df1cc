package poolowner

import (
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/breaker"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/coordination/speed"
	"github.com/samphirewing/samphirewing/coordination/straggler"
	"github.com/samphirewing/samphirewing/coordination/window"
	"github.com/samphirewing/samphirewing/state/structs"
)

// endpoint is one endpoint as the owner accounts for it.
// Invariants: inFlight, running and prefillAhead are the sums over the
// requests on it and never negative; it is in the open list of each of its
// targets if and only if open is set.
type endpoint struct {
	spec     scheduling.EndpointSpec
	declared bool
	// number names the endpoint in the prefix index; it is never reused.
	number int

	inFlight     structs.Tokens
	running      int
	prefillAhead structs.Tokens
	// prefilled is all prompt work done here so far, and duty the share of
	// the endpoint's time that prompts lately took.
	prefilled structs.Tokens
	duty      dutyMeter
	// pace gathers observed and expected times until the next judgement.
	pace pace
	// held lists the requests on it, in no particular order.
	held []*request

	// keptFor is the waiting request that this endpoint is kept for.
	keptFor *request

	window  window.Window
	speed   speed.Model
	history straggler.Detector
	breaker breaker.Breaker
	// heard is when the endpoint last showed life, or was given work while idle.
	heard time.Time
	// probationSince is when it went on probation.
	probationSince time.Time

	cache  cacheTrust
	report loadReport

	open     bool
	openSlot []int
}

// loadReport is the latest report of an endpoint.
type loadReport struct {
	asOf  time.Time
	extra structs.Tokens
}

// eligible tells whether the endpoint may get new work at all.
func (e *endpoint) eligible() bool {
	return e.declared && e.spec.Listed && !e.spec.Leaving && !e.spec.Drained
}

// targetSet holds the endpoints that serve one target.
type targetSet struct {
	all  []*endpoint
	open []*endpoint
	// typical is the mean speed of the endpoints not on probation.
	typical speed.Prior
	// fastest holds the best of each figure among them.
	fastest speed.Prior
	// loadedStep is the least step of the endpoints at their present load.
	loadedStep time.Duration
	// slowdown is the median slowdown of the endpoints.
	slowdown float64
}

// endpointFor returns the endpoint of a name, also when it is not declared:
// requests may still run there.
func (o *Owner) endpointFor(name structs.EndpointName) *endpoint {
	if e, ok := o.endpoints[name]; ok {
		return e
	}
	o.lastNumber++
	e := &endpoint{
		number: o.lastNumber,
		window: window.New(o.options.Window),
		speed:  speed.New(o.options.SpeedPrior),
		cache:  newCacheTrust(),
	}
	e.spec.Name = name
	o.endpoints[name] = e
	i := sort.Search(len(o.ordered), func(i int) bool { return o.ordered[i].spec.Name >= name })
	o.ordered = append(o.ordered, nil)
	copy(o.ordered[i+1:], o.ordered[i:])
	o.ordered[i] = e
	return e
}

func (o *Owner) configure(p scheduling.PoolSpec) {
	o.pool = p
	for _, e := range o.ordered {
		e.declared = false
	}
	for _, spec := range p.Endpoints {
		if o.broken(breakGrantLeaving) {
			spec.Leaving = false
		}
		e := o.endpointFor(spec.Name)
		e.spec = spec
		e.declared = true
	}
	o.dropForgotten()
	o.indexTargets()
	o.prefixes.SetLimit(o.options.prefixBlocksEach(len(o.ordered)))
	o.learnTypical()
}

// dropForgotten removes endpoints that are no longer declared and idle.
func (o *Owner) dropForgotten() {
	kept := o.ordered[:0]
	for _, e := range o.ordered {
		if e.declared || e.running > 0 {
			kept = append(kept, e)
			continue
		}
		o.prefixes.Clear(e.number)
		delete(o.endpoints, e.spec.Name)
		delete(o.byNumber, e.number)
	}
	clear(o.ordered[len(kept):])
	o.ordered = kept
}

// indexTargets rebuilds the lists of endpoints by target.
func (o *Owner) indexTargets() {
	old := o.targets
	o.targets = map[structs.Target]*targetSet{}
	for _, e := range o.ordered {
		o.byNumber[e.number] = e
		e.open = false
		e.openSlot = make([]int, len(e.spec.Targets))
		if !e.declared {
			continue
		}
		for _, t := range e.spec.Targets {
			s := o.targets[t]
			if s == nil {
				s = newTargetSet(old[t], o.options.SpeedPrior)
				o.targets[t] = s
			}
			s.all = append(s.all, e)
		}
	}
	for _, e := range o.ordered {
		o.refresh(e)
	}
}

func newTargetSet(old *targetSet, prior speed.Prior) *targetSet {
	s := &targetSet{typical: prior, fastest: prior, slowdown: 1}
	if old != nil {
		s.typical = old.typical
		s.fastest = old.fastest
		s.slowdown = old.slowdown
	}
	return s
}

// refresh moves an endpoint in or out of the open lists after a change.
func (o *Owner) refresh(e *endpoint) {
	o.checkEndpoint(e)
	open := e.declared && o.hasRoom(e)
	if open == e.open {
		return
	}
	e.open = open
	for i, t := range e.spec.Targets {
		s := o.targets[t]
		if open {
			e.openSlot[i] = len(s.open)
			s.open = append(s.open, e)
			continue
		}
		s.close(e.openSlot[i], t)
	}
}

// close removes the endpoint in a slot of the open list.
func (s *targetSet) close(slot int, t structs.Target) {
	last := len(s.open) - 1
	moved := s.open[last]
	s.open[slot] = moved
	s.open[last] = nil
	s.open = s.open[:last]
	if slot == last {
		return
	}
	for i, other := range moved.spec.Targets {
		if other == t {
			moved.openSlot[i] = slot
		}
	}
}

// hasRoom tells whether any request at all could be placed on the endpoint.
func (o *Owner) hasRoom(e *endpoint) bool {
	o.roomNode = o.stateNode(e)
	for i := range o.roomFilters {
		if !o.roomFilters[i].Allows(&anySmallWork, &o.roomNode) {
			return false
		}
	}
	return true
}

// checkEndpoint asserts the invariants of one endpoint. The conditions stand
// before the calls, because a call's arguments cost an allocation each.
func (o *Owner) checkEndpoint(e *endpoint) {
	least, most := e.window.Bounds()
	if size := e.window.Size(); size < least || size > most {
		invariant.Check(false, "window-bounds", "%s: %d not in %d to %d", e.spec.Name, size, least, most)
	}
	if e.inFlight < 0 || e.running < 0 || e.prefillAhead < 0 {
		invariant.Check(false, "accounting-positive",
			"%s: %d tokens in flight, %d running, %d prefill ahead", e.spec.Name, e.inFlight, e.running, e.prefillAhead)
	}
	if e.running == 0 && (e.inFlight != 0 || e.prefillAhead != 0) {
		invariant.Check(false, "accounting-idle",
			"%s is idle with %d tokens in flight, %d prefill ahead", e.spec.Name, e.inFlight, e.prefillAhead)
	}
	if blocks := o.prefixes.Blocks(e.number); blocks > o.prefixes.Limit() {
		invariant.Check(false, "index-bound",
			"%s: %d prefix blocks over the limit of %d", e.spec.Name, blocks, o.prefixes.Limit())
	}
}
