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

// endpoint is the owner's accounting of one endpoint.
// Invariants: inFlight, running and prefillAhead are sums over requests and
// never negative; the endpoint is in the available list of each of its targets
// if and only if available is set.
type endpoint struct {
	spec     scheduling.EndpointSpec
	declared bool
	// number identifies the endpoint in the prefix index and is never reused.
	number int

	inFlight     structs.Tokens
	running      int
	prefillAhead structs.Tokens
	// prefilled is the total prefill done by the endpoint, and prefillDuty the
	// recent share of its time spent on prefill.
	prefilled   structs.Tokens
	prefillDuty prefillDuty
	// pace accumulates observed and expected times until the next evaluation.
	pace pace
	// requests lists the granted and running requests of the endpoint, in no
	// particular order.
	requests []*request

	// reservedFor is the waiting request that the endpoint is reserved for.
	reservedFor *request

	window    window.Window
	speed     speed.Model
	straggler straggler.Detector
	breaker   breaker.Breaker
	// lastActivity is when the last report about the endpoint arrived, or when
	// it was assigned work while idle.
	lastActivity time.Time
	// probationSince is the start of the current probation.
	probationSince time.Time

	cache  cacheState
	report loadReport

	// available is set while the endpoint has room for at least the least
	// demanding request. availableIndex is its index in the available list of
	// each target.
	available      bool
	availableIndex []int
}

// loadReport summarises the latest load report of an endpoint.
type loadReport struct {
	asOf time.Time
	// excessTokens is the reported usage beyond the owner's own accounting.
	excessTokens structs.Tokens
}

// eligible reports whether the endpoint may receive new work at all.
func (e *endpoint) eligible() bool {
	return e.declared && e.spec.Listed && !e.spec.Leaving && !e.spec.Drained
}

// targetSet holds the endpoints that serve one target.
type targetSet struct {
	// all holds every declared endpoint of the target, and available those with
	// room.
	all       []*endpoint
	available []*endpoint
	// typical is the mean speed of the endpoints not on probation.
	typical speed.Prior
	// fastest holds the best value of each speed among the same endpoints.
	fastest speed.Prior
	// minLoadedStep is the minimum step time of the eligible endpoints at their
	// present load.
	minLoadedStep time.Duration
	// medianSlowdown is the median slowdown of the settled endpoints.
	medianSlowdown float64
}

// endpointFor returns the endpoint with the given name. An undeclared endpoint
// is created, because requests may still run there.
func (o *Owner) endpointFor(name structs.EndpointName) *endpoint {
	if e, ok := o.endpoints[name]; ok {
		return e
	}
	o.lastNumber++
	e := &endpoint{
		number: o.lastNumber,
		window: window.New(o.options.Window),
		speed:  speed.New(o.options.SpeedPrior),
		cache:  newCacheState(),
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
		if o.defectInjected(defectGrantToLeaving) {
			spec.Leaving = false
		}
		e := o.endpointFor(spec.Name)
		e.spec = spec
		e.declared = true
	}
	o.removeUndeclared()
	o.rebuildTargets()
	o.prefixes.SetLimit(o.options.prefixBlocksPerEndpoint(len(o.ordered)))
	o.updateTypicalSpeeds()
}

// removeUndeclared removes the idle endpoints that are no longer declared.
func (o *Owner) removeUndeclared() {
	retained := o.ordered[:0]
	for _, e := range o.ordered {
		if e.declared || e.running > 0 {
			retained = append(retained, e)
			continue
		}
		o.prefixes.Clear(e.number)
		delete(o.endpoints, e.spec.Name)
		delete(o.byNumber, e.number)
	}
	clear(o.ordered[len(retained):])
	o.ordered = retained
}

// rebuildTargets rebuilds the endpoint lists of all targets.
func (o *Owner) rebuildTargets() {
	old := o.targets
	o.targets = map[structs.Target]*targetSet{}
	for _, e := range o.ordered {
		o.byNumber[e.number] = e
		e.available = false
		e.availableIndex = make([]int, len(e.spec.Targets))
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
		o.updateAvailability(e)
	}
}

func newTargetSet(old *targetSet, prior speed.Prior) *targetSet {
	s := &targetSet{typical: prior, fastest: prior, medianSlowdown: 1}
	if old != nil {
		s.typical = old.typical
		s.fastest = old.fastest
		s.medianSlowdown = old.medianSlowdown
	}
	return s
}

// updateAvailability adds an endpoint to the available lists or removes it,
// after a change of its state.
func (o *Owner) updateAvailability(e *endpoint) {
	o.checkEndpointInvariants(e)
	available := e.declared && o.hasRoom(e)
	if available == e.available {
		return
	}
	e.available = available
	for i, t := range e.spec.Targets {
		s := o.targets[t]
		if available {
			e.availableIndex[i] = len(s.available)
			s.available = append(s.available, e)
			continue
		}
		s.removeAvailable(e.availableIndex[i], t)
	}
}

// removeAvailable removes the endpoint at an index of the available list.
func (s *targetSet) removeAvailable(index int, t structs.Target) {
	last := len(s.available) - 1
	moved := s.available[last]
	s.available[index] = moved
	s.available[last] = nil
	s.available = s.available[:last]
	if index == last {
		return
	}
	for i, other := range moved.spec.Targets {
		if other == t {
			moved.availableIndex[i] = index
		}
	}
}

// hasRoom reports whether the least demanding request could be placed on the
// endpoint.
func (o *Owner) hasRoom(e *endpoint) bool {
	o.roomNode = o.baseNode(e)
	for i := range o.roomFilters {
		if !o.roomFilters[i].Allows(&minimalWork, &o.roomNode) {
			return false
		}
	}
	return true
}

// checkEndpointInvariants asserts the invariants of one endpoint. Conditions are
// evaluated before calling invariant.Check, because every argument of a call
// costs an allocation.
func (o *Owner) checkEndpointInvariants(e *endpoint) {
	minimum, maximum := e.window.Bounds()
	if size := e.window.Size(); size < minimum || size > maximum {
		invariant.Check(false, "window-bounds", "%s: %d not in %d to %d", e.spec.Name, size, minimum, maximum)
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
