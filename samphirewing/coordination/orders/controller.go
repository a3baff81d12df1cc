package orders

import (
	"slices"
	"time"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	// LongestOrder bounds how long an order may be on its way to an engine.
	LongestOrder = 10 * time.Second
	// idleRead is the time between reads of an engine that is as declared.
	idleRead = 30 * time.Second
	// changingRead is the time between reads while it is not.
	changingRead = 2 * time.Second
	// loadAllowance is added to the load time before an order is repeated.
	loadAllowance = 30 * time.Second
	// failedPause follows a failed order or request.
	failedPause = 5 * time.Second
	// loadReserved is how long a granted load may wait for its order.
	loadReserved = 30 * time.Second
)

const invariantOrderUnderLease invariant.Name = "order-sent-under-lease"

// Controller is the state machine of one endpoint. It is not safe for
// concurrent use.
type Controller struct {
	spec Spec
	// observed is the engine's last state; known is set once it was read.
	observed edge.EngineState
	known    bool

	wanting bool
	held    bool
	grant   lease.Grant
	// used is set once an order was sent with the grant's number.
	used bool
	// fresh is set once the state was read under the lease that is held.
	fresh bool

	reading   bool
	asking    bool
	ordering  bool
	nextRead  time.Time
	nextAsk   time.Time
	nextOrder time.Time
	// loadGranted is until when a granted load may be ordered.
	loadGranted time.Time
	loadTime    time.Duration
	settled     bool
	effects     []Effect
}

// NewController returns a Controller for a declaration.
func NewController(s Spec) *Controller { return &Controller{spec: s} }

// Spec returns the declaration in use.
func (c *Controller) Spec() Spec { return c.spec }

// Observed returns the engine's last known state.
func (c *Controller) Observed() (edge.EngineState, bool) { return c.observed, c.known }

// Step takes one event and returns what is to be done.
func (c *Controller) Step(now time.Time, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case Declared:
		c.declare(e.Spec)
	case LeaseGranted:
		c.used = c.used && e.Grant.Fencing == c.grant.Fencing
		c.held, c.grant, c.fresh = true, e.Grant, false
		c.nextRead = now
	case LeaseEnded:
		c.held = false
	case StateRead:
		c.stateRead(now, e)
	case LoadAnswered:
		c.loadAnswered(now, e)
	case OrderAnswered:
		c.orderAnswered(now, e)
	}
	c.advance(now)
	return c.effects
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) declare(s Spec) {
	same := slices.Equal(s.Models, c.spec.Models) && slices.Equal(s.Adapters, c.spec.Adapters) && s.Role == c.spec.Role
	c.spec = s
	if !same {
		c.loadGranted, c.nextOrder, c.nextAsk = time.Time{}, time.Time{}, time.Time{}
		c.settled = false
	}
}

func (c *Controller) stateRead(now time.Time, e StateRead) {
	c.reading = false
	c.nextRead = now.Add(changingRead)
	if e.Err != nil {
		return
	}
	c.fresh = c.held
	c.observe(e.State)
	if c.asDeclared() {
		c.nextRead = now.Add(idleRead)
	}
}

func (c *Controller) observe(s edge.EngineState) {
	c.observed, c.known = s, true
	if c.held && c.spec.ChecksFencing && c.overtaken(s.Fencing) {
		c.emit(RaiseFencing{Above: lease.Fencing(s.Fencing)})
	}
}

// overtaken tells whether the engine has seen the grant's number, or a higher
// one, from another holder.
func (c *Controller) overtaken(seen int64) bool {
	return seen > int64(c.grant.Fencing) || !c.used && seen == int64(c.grant.Fencing)
}

func (c *Controller) loadAnswered(now time.Time, e LoadAnswered) {
	c.asking = false
	switch {
	case e.Err != nil:
		c.nextAsk = now.Add(failedPause)
	case !e.Granted:
		c.nextAsk = now.Add(max(e.RetryAfter, changingRead))
	default:
		c.loadGranted = now.Add(loadReserved)
		c.loadTime = e.LoadTime
	}
}

func (c *Controller) orderAnswered(now time.Time, e OrderAnswered) {
	c.ordering = false
	c.nextRead = now
	if e.Err == nil {
		c.nextOrder = now.Add(c.loadTime + loadAllowance)
		c.observe(e.State)
		return
	}
	// The order may have arrived; the state that is read next tells.
	c.nextOrder = now.Add(failedPause)
}

// asDeclared tells whether the engine serves what is declared.
func (c *Controller) asDeclared() bool {
	if !c.known || !sameSet(c.observed.Models, c.spec.Models) {
		return false
	}
	return !c.spec.DeclaresMore ||
		sameSet(c.observed.Adapters, c.spec.Adapters) && c.observed.Role == c.spec.Role
}

func (c *Controller) advance(now time.Time) {
	if !c.reading && !now.Before(c.nextRead) {
		c.reading = true
		c.emit(ReadState{})
	}
	if !c.known {
		return
	}
	if c.asDeclared() {
		c.settle(now)
		return
	}
	c.settled = false
	if !c.wanting {
		c.wanting = true
		c.emit(WantLease{})
	}
	if c.mayOrder(now) {
		c.askOrOrder(now)
	}
}

// settle gives the lease back, once no order is on its way.
func (c *Controller) settle(now time.Time) {
	if !c.settled {
		c.settled = true
		c.emit(Settled{})
	}
	if c.ordering {
		return
	}
	if c.wanting {
		c.wanting, c.held, c.fresh = false, false, false
		c.emit(ReleaseLease{})
	}
	c.loadGranted = time.Time{}
}

// mayOrder tells whether the lease is held and an earlier holder's orders can
// no longer arrive, or are refused by the engine itself.
func (c *Controller) mayOrder(now time.Time) bool {
	if !c.held || !c.fresh || c.ordering {
		return false
	}
	if c.spec.ChecksFencing {
		return !c.overtaken(c.observed.Fencing)
	}
	return c.grant.DisplacedUntil.IsZero() || !now.Before(c.grant.DisplacedUntil.Add(LongestOrder))
}

func (c *Controller) askOrOrder(now time.Time) {
	missing := c.missing()
	if len(missing) > 0 && c.spec.Store != "" && now.After(c.loadGranted) {
		if !c.asking && !now.Before(c.nextAsk) && !now.Before(c.nextOrder) {
			c.asking = true
			c.emit(AskLoad{Store: c.spec.Store, Models: missing})
		}
		return
	}
	if now.Before(c.nextOrder) {
		return
	}
	invariant.Check(c.held, invariantOrderUnderLease, "endpoint %s", c.spec.Endpoint)
	c.ordering, c.used = true, true
	c.loadGranted = time.Time{}
	c.emit(SendOrder{Order: c.order()})
}

// missing returns the declared models that the engine has not loaded.
func (c *Controller) missing() []string {
	var out []string
	for _, m := range c.spec.Models {
		if !slices.Contains(c.observed.Models, m) {
			out = append(out, m)
		}
	}
	return out
}

// order returns the full desired state, which is safe to repeat.
func (c *Controller) order() edge.EngineOrder {
	o := edge.EngineOrder{
		Fencing:  int64(c.grant.Fencing),
		Models:   slices.Clone(c.spec.Models),
		Adapters: c.observed.Adapters,
		Role:     c.observed.Role,
	}
	if c.spec.DeclaresMore {
		o.Adapters, o.Role = slices.Clone(c.spec.Adapters), c.spec.Role
	}
	return o
}

func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}
