package orders

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	tickInterval = 250 * time.Millisecond
	callTimeout  = 5 * time.Second
	inboxSize    = 256
)

// Mesh is the interface to the sessions between instances. If it is nil, all
// budgets are held in this process.
type Mesh interface {
	mesh.Caller
	mesh.Registrar
}

// Options configures a Runner.
type Options struct {
	Log    eventlog.Log
	Stream eventlog.Stream
	Self   instance.Process
	// LeaseDuration must be the same on all instances; zero means the default.
	LeaseDuration time.Duration
	// Declared returns the declared endpoints that are model engines.
	Declared func() []Spec
	// OwnerOf returns the instance that should acquire the lease n, or "".
	OwnerOf func(n lease.Name) instance.ID
	// Engine returns the client of an endpoint, or false if the endpoint has no
	// reachable address.
	Engine func(structs.EndpointName) (edge.Engine, bool)
	// Store returns the client of a weight store, or false if there is none;
	// loads from such a store are not limited.
	Store  func(name string) (edge.WeightStore, bool)
	Mesh   Mesh
	Clock  clock.Clock
	Events events.Sink
}

// EndpointLease returns the name of an endpoint's lease.
func EndpointLease(e structs.EndpointName) lease.Name { return lease.Name("endpoint/" + string(e)) }

// StoreLease returns the name of the lease of a weight store's budget.
func StoreLease(store string) lease.Name { return lease.Name("store/" + store) }

// Runner reconciles the endpoints that this instance owns with their
// declarations.
type Runner struct {
	options Options
	leases  *lease.Leases
	inbox   chan func(now time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	// endpoints and budgetHolders are accessed only by the loop.
	endpoints     map[lease.Name]*managedEndpoint
	budgetHolders map[lease.Name]*budgetHolder
	// draining is set once no new order may be sent.
	draining bool
	// ordersInFlight counts the orders in flight.
	ordersInFlight atomic.Int64

	leaseChangesMu sync.Mutex
	// leaseChanges are the changes that the loop has not applied yet.
	leaseChanges []leaseChange
	wake         chan struct{}
}

// leaseChange reports that a lease was granted or, if grant is nil, ended.
type leaseChange struct {
	name  lease.Name
	grant *lease.Grant
}

// managedEndpoint is an endpoint with its controller.
type managedEndpoint struct {
	controller *Controller
	name       structs.EndpointName
	leaseName  lease.Name
	// orderInFlight is set while an order is in flight, disowned once another
	// instance owns the endpoint.
	orderInFlight bool
	disowned      bool
}

// Start registers the message handlers and starts to control endpoints.
func Start(o Options) (*Runner, error) {
	if o.Declared == nil || o.OwnerOf == nil || o.Engine == nil {
		return nil, errors.New("orders need Declared, OwnerOf and Engine; set them")
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		options:       o,
		inbox:         make(chan func(time.Time), inboxSize),
		ctx:           ctx,
		cancel:        cancel,
		done:          make(chan struct{}),
		endpoints:     make(map[lease.Name]*managedEndpoint),
		budgetHolders: make(map[lease.Name]*budgetHolder),
		wake:          make(chan struct{}, 1),
	}
	leases, err := lease.Start(lease.Options{
		Log: o.Log, Stream: o.Stream, Self: o.Self, Duration: o.LeaseDuration,
		OnGranted: r.onGranted, OnRevoked: r.onRevoked, Clock: o.Clock, Events: o.Events,
	})
	if err != nil {
		cancel()
		return nil, errors.Annotate(err, "start leases for orders")
	}
	r.leases = leases
	if o.Mesh != nil {
		o.Mesh.OnCall(KindLoad, r.handleLoad)
	}
	go r.loop()
	return r, nil
}

// Close stops the Runner without releasing its leases.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
	r.leases.Close()
}

// Drain sends no new orders, waits for those in flight, and releases all
// leases, so that the next holder need not wait for them to expire.
func (r *Runner) Drain(ctx context.Context) error {
	r.post(func(time.Time) { r.draining = true })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.ordersInFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "orders are on their way; their leases end by themselves")
		}
	}
	r.cancel()
	<-r.done
	return r.leases.ReleaseAll(ctx)
}

// post queues f for the loop and drops it once the Runner has ended. It blocks
// only while the inbox is full.
func (r *Runner) post(f func(now time.Time)) {
	select {
	case r.inbox <- f:
	case <-r.ctx.Done():
	}
}

func (r *Runner) onGranted(g lease.Grant) {
	r.queueLeaseChange(leaseChange{name: g.Name, grant: &g})
}

func (r *Runner) onRevoked(n lease.Name, _ lease.Fencing) { r.queueLeaseChange(leaseChange{name: n}) }

// queueLeaseChange never blocks, since the loop of the leases calls it.
func (r *Runner) queueLeaseChange(c leaseChange) {
	r.leaseChangesMu.Lock()
	r.leaseChanges = append(r.leaseChanges, c)
	r.leaseChangesMu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) applyLeaseChanges(now time.Time) {
	r.leaseChangesMu.Lock()
	changes := r.leaseChanges
	r.leaseChanges = nil
	r.leaseChangesMu.Unlock()
	for _, c := range changes {
		if m := r.endpoints[c.name]; m != nil {
			r.step(now, m, c.event())
		}
		if h := r.budgetHolders[c.name]; h != nil {
			h.setLease(now, c.grant)
		}
	}
}

func (c leaseChange) event() Event {
	if c.grant == nil {
		return LeaseEnded{}
	}
	return LeaseGranted{Grant: *c.grant}
}

func (r *Runner) loop() {
	defer close(r.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			now := r.options.Clock.Now()
			r.reconcile(now)
			r.tick(now)
		case <-r.wake:
			r.applyLeaseChanges(r.options.Clock.Now())
		case f := <-r.inbox:
			f(r.options.Clock.Now())
		}
	}
}

// reconcile adds and removes endpoints as declarations and ownership change.
func (r *Runner) reconcile(now time.Time) {
	owned := make(map[lease.Name]bool)
	stores := make(map[string]bool)
	for _, s := range r.options.Declared() {
		if s.Store != "" {
			stores[s.Store] = true
		}
		n := EndpointLease(s.Endpoint)
		if r.options.OwnerOf(n) != r.options.Self.ID {
			continue
		}
		owned[n] = true
		if m := r.endpoints[n]; m != nil {
			r.step(now, m, SpecChanged{Spec: s})
			continue
		}
		r.endpoints[n] = &managedEndpoint{controller: NewController(s), name: s.Endpoint, leaseName: n}
	}
	for n, m := range r.endpoints {
		m.disowned = !owned[n]
		r.removeIfDisowned(m)
	}
	r.reconcileBudgets(stores)
}

// removeIfDisowned removes an endpoint that another instance owns, once no
// order is in flight.
func (r *Runner) removeIfDisowned(m *managedEndpoint) {
	if m.disowned && !m.orderInFlight {
		r.leases.Release(m.leaseName)
		delete(r.endpoints, m.leaseName)
	}
}

func (r *Runner) tick(now time.Time) {
	for _, m := range r.endpoints {
		if m.disowned {
			continue
		}
		r.step(now, m, Tick{})
	}
	for _, h := range r.budgetHolders {
		h.tick(now)
	}
}

func (r *Runner) step(now time.Time, m *managedEndpoint, e Event) {
	for _, effect := range m.controller.Step(now, e) {
		switch effect := effect.(type) {
		case AcquireLease:
			r.leases.Acquire(m.leaseName)
		case ReleaseLease:
			r.leases.Release(m.leaseName)
		case RaiseFencing:
			r.options.Events.Emit(eventFencingRaised, events.F("endpoint", string(m.name)), events.F("above", int64(effect.Above)))
			r.leases.Raise(m.leaseName, effect.Above)
		case ReadState:
			go r.readState(m)
		case RequestLoad:
			go r.requestLoad(m, effect)
		case SendOrder:
			r.startOrder(now, m, effect.Order)
		case Settled:
			r.options.Events.Emit(eventOrderSettled, events.F("endpoint", string(m.name)))
		}
	}
}

func (r *Runner) startOrder(now time.Time, m *managedEndpoint, o edge.EngineOrder) {
	if r.draining || m.disowned {
		r.step(now, m, OrderResult{Err: errors.Annotate(edge.ErrNotSent, "this instance is releasing the endpoint")})
		return
	}
	m.orderInFlight = true
	r.ordersInFlight.Add(1)
	go r.sendOrder(m, o)
}

func (r *Runner) engine(m *managedEndpoint) (edge.Engine, error) {
	engine, ok := r.options.Engine(m.name)
	if !ok {
		return nil, errors.Annotatef(edge.ErrNotSent, "endpoint %s has no address", m.name)
	}
	return engine, nil
}

func (r *Runner) readState(m *managedEndpoint) {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	var result StateRead
	engine, err := r.engine(m)
	if err == nil {
		result.State, err = engine.State(ctx)
	}
	result.Err = err
	r.post(func(now time.Time) { r.step(now, m, result) })
}

// sendOrder checks the lease on the monotonic clock immediately before sending.
// If the process is paused between the check and the send, the order may still
// arrive late; engines that check fencing numbers reject it.
func (r *Runner) sendOrder(m *managedEndpoint, o edge.EngineOrder) {
	ctx, cancel := context.WithTimeout(r.ctx, MaxOrderTime)
	defer cancel()
	var result OrderResult
	endpoint := events.F("endpoint", string(m.name))
	engine, err := r.engine(m)
	fencing, valid := r.leases.Valid(m.leaseName)
	switch {
	case err != nil:
	case !valid || int64(fencing) != o.Fencing:
		r.options.Events.Emit(eventOrderNotSent, endpoint)
		err = errors.Annotate(edge.ErrNotSent, "lease ended")
	default:
		r.options.Events.Emit(eventOrderSent, endpoint, events.F("fencing", o.Fencing), events.F("models", o.Models))
		result.State, err = engine.Order(ctx, o)
	}
	result.Err = err
	r.logOrderResult(endpoint, err)
	r.ordersInFlight.Add(-1)
	r.post(func(now time.Time) {
		m.orderInFlight = false
		r.step(now, m, result)
		r.removeIfDisowned(m)
	})
}

func (r *Runner) logOrderResult(endpoint events.Field, err error) {
	switch {
	case err == nil:
	case errors.Is(err, edge.ErrFenced):
		r.options.Events.Emit(eventOrderFenced, endpoint)
	default:
		r.options.Events.Emit(eventOrderFailed, endpoint, events.F("error", err.Error()))
	}
}
