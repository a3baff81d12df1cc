package orders

import (
	"slices"
	"time"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	// MaxOrderTime bounds how long an order may be in transit to an engine.
	MaxOrderTime = 10 * time.Second
	// settledReadInterval is the time between state reads of an engine that is
	// in its declared state.
	settledReadInterval = 30 * time.Second
	// unsettledReadInterval is the time between state reads of other engines.
	unsettledReadInterval = 2 * time.Second
	// loadTimeMargin is added to the load time before an order is repeated.
	loadTimeMargin = 30 * time.Second
	// failureRetryDelay is the delay after a failed order or request.
	failureRetryDelay = 5 * time.Second
	// loadGrantValidity is how long after a load was granted it may be ordered.
	loadGrantValidity = 30 * time.Second
)

const invariantOrderUnderLease invariant.Name = "order-sent-under-lease"

// Controller is the state machine of one endpoint. It is not safe for
// concurrent use.
type Controller struct {
	spec Spec
	// observed is the engine's last observed state; known is set once there is
	// one.
	observed edge.EngineState
	known    bool

	leaseWanted bool
	leaseHeld   bool
	grant       lease.Grant
	// fencingUsed is set once an order was sent with the grant's fencing
	// number.
	fencingUsed bool
	// readUnderLease is set once the state was read under the current lease.
	readUnderLease bool

	readPending        bool
	loadRequestPending bool
	orderPending       bool
	nextRead           time.Time
	nextLoadRequest    time.Time
	nextOrder          time.Time
	// loadGrantedUntil is when the current load grant expires.
	loadGrantedUntil time.Time
	loadTime         time.Duration
	settled          bool
	effects          []Effect
}

// NewController returns a Controller for the declared state s.
func NewController(s Spec) *Controller { return &Controller{spec: s} }

// Spec returns the current declaration.
func (c *Controller) Spec() Spec { return c.spec }

// Observed returns the engine's last observed state, and whether there is one.
func (c *Controller) Observed() (edge.EngineState, bool) { return c.observed, c.known }

// Step applies one event and returns the effects to be carried out.
func (c *Controller) Step(now time.Time, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case SpecChanged:
		c.setSpec(e.Spec)
	case LeaseGranted:
		c.fencingUsed = c.fencingUsed && e.Grant.Fencing == c.grant.Fencing
		c.leaseHeld, c.grant, c.readUnderLease = true, e.Grant, false
		c.nextRead = now
	case LeaseEnded:
		c.leaseHeld = false
	case StateRead:
		c.handleStateRead(now, e)
	case LoadResult:
		c.handleLoadResult(now, e)
	case OrderResult:
		c.handleOrderResult(now, e)
	}
	c.advance(now)
	return c.effects
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) setSpec(s Spec) {
	unchanged := slices.Equal(s.Models, c.spec.Models) && slices.Equal(s.Adapters, c.spec.Adapters) && s.Role == c.spec.Role
	c.spec = s
	if !unchanged {
		c.loadGrantedUntil, c.nextOrder, c.nextLoadRequest = time.Time{}, time.Time{}, time.Time{}
		c.settled = false
	}
}

func (c *Controller) handleStateRead(now time.Time, e StateRead) {
	c.readPending = false
	c.nextRead = now.Add(unsettledReadInterval)
	if e.Err != nil {
		return
	}
	c.readUnderLease = c.leaseHeld
	c.observe(e.State)
	if c.matchesSpec() {
		c.nextRead = now.Add(settledReadInterval)
	}
}

func (c *Controller) observe(s edge.EngineState) {
	c.observed, c.known = s, true
	if c.leaseHeld && c.spec.ChecksFencing && c.fencingSuperseded(s.Fencing) {
		c.emit(RaiseFencing{Above: lease.Fencing(s.Fencing)})
	}
}

// fencingSuperseded reports whether the engine has seen the grant's fencing
// number, or a higher one, from another holder.
func (c *Controller) fencingSuperseded(seen int64) bool {
	return seen > int64(c.grant.Fencing) || !c.fencingUsed && seen == int64(c.grant.Fencing)
}

func (c *Controller) handleLoadResult(now time.Time, e LoadResult) {
	c.loadRequestPending = false
	switch {
	case e.Err != nil:
		c.nextLoadRequest = now.Add(failureRetryDelay)
	case !e.Granted:
		c.nextLoadRequest = now.Add(max(e.RetryAfter, unsettledReadInterval))
	default:
		c.loadGrantedUntil = now.Add(loadGrantValidity)
		c.loadTime = e.LoadTime
	}
}

func (c *Controller) handleOrderResult(now time.Time, e OrderResult) {
	c.orderPending = false
	c.nextRead = now
	if e.Err == nil {
		c.nextOrder = now.Add(c.loadTime + loadTimeMargin)
		c.observe(e.State)
		return
	}
	// The order may have arrived; the next state read shows it.
	c.nextOrder = now.Add(failureRetryDelay)
}

// matchesSpec reports whether the engine is in the declared state.
func (c *Controller) matchesSpec() bool {
	if !c.known || !sameSet(c.observed.Models, c.spec.Models) {
		return false
	}
	return !c.spec.DeclaresAdaptersAndRole ||
		sameSet(c.observed.Adapters, c.spec.Adapters) && c.observed.Role == c.spec.Role
}

func (c *Controller) advance(now time.Time) {
	if !c.readPending && !now.Before(c.nextRead) {
		c.readPending = true
		c.emit(ReadState{})
	}
	if !c.known {
		return
	}
	if c.matchesSpec() {
		c.settle(now)
		return
	}
	c.settled = false
	if !c.leaseWanted {
		c.leaseWanted = true
		c.emit(AcquireLease{})
	}
	if c.canOrder(now) {
		c.requestLoadOrOrder(now)
	}
}

// settle releases the lease once no order is in flight.
func (c *Controller) settle(now time.Time) {
	if !c.settled {
		c.settled = true
		c.emit(Settled{})
	}
	if c.orderPending {
		return
	}
	if c.leaseWanted {
		c.leaseWanted, c.leaseHeld, c.readUnderLease = false, false, false
		c.emit(ReleaseLease{})
	}
	c.loadGrantedUntil = time.Time{}
}

// canOrder reports whether the lease is held and an earlier holder's orders can
// no longer arrive, or would be rejected by the engine.
func (c *Controller) canOrder(now time.Time) bool {
	if !c.leaseHeld || !c.readUnderLease || c.orderPending {
		return false
	}
	if c.spec.ChecksFencing {
		return !c.fencingSuperseded(c.observed.Fencing)
	}
	return c.grant.DisplacedUntil.IsZero() || !now.Before(c.grant.DisplacedUntil.Add(MaxOrderTime))
}

// requestLoadOrOrder requests a load grant if models must be loaded and none is
// current; otherwise it sends the order.
func (c *Controller) requestLoadOrOrder(now time.Time) {
	models := c.missingModels()
	if len(models) > 0 && c.spec.Store != "" && now.After(c.loadGrantedUntil) {
		if !c.loadRequestPending && !now.Before(c.nextLoadRequest) && !now.Before(c.nextOrder) {
			c.loadRequestPending = true
			c.emit(RequestLoad{Store: c.spec.Store, Models: models})
		}
		return
	}
	if now.Before(c.nextOrder) {
		return
	}
	invariant.Check(c.leaseHeld, invariantOrderUnderLease, "endpoint %s", c.spec.Endpoint)
	c.orderPending, c.fencingUsed = true, true
	c.loadGrantedUntil = time.Time{}
	c.emit(SendOrder{Order: c.desiredState()})
}

// missingModels returns the declared models that the engine has not loaded.
func (c *Controller) missingModels() []string {
	var out []string
	for _, m := range c.spec.Models {
		if !slices.Contains(c.observed.Models, m) {
			out = append(out, m)
		}
	}
	return out
}

// desiredState returns an order with the complete desired state, which is
// idempotent.
func (c *Controller) desiredState() edge.EngineOrder {
	o := edge.EngineOrder{
		Fencing:  int64(c.grant.Fencing),
		Models:   slices.Clone(c.spec.Models),
		Adapters: c.observed.Adapters,
		Role:     c.observed.Role,
	}
	if c.spec.DeclaresAdaptersAndRole {
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
