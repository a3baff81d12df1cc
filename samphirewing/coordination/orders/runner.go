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
	backlog      = 256
)

// Mesh is what a Runner needs of the sessions between instances. Nil keeps
// every budget in this process.
type Mesh interface {
	mesh.Caller
	mesh.Registrar
}

// Options sets up a Runner.
type Options struct {
	Log    eventlog.Log
	Stream eventlog.Stream
	Self   instance.Process
	// LeaseDuration is the same on all instances; zero takes the default.
	LeaseDuration time.Duration
	// Declared returns all declared endpoints that are model engines.
	Declared func() []Spec
	// OwnerOf names the instance that should act for a lease name, or "".
	OwnerOf func(n lease.Name) instance.ID
	// Engine returns the client of an endpoint, or false when it cannot be
	// reached by any address.
	Engine func(structs.EndpointName) (edge.Engine, bool)
	// Store returns the client of a weight store, or false when none is known;
	// its loads are then not paced.
	Store  func(name string) (edge.WeightStore, bool)
	Mesh   Mesh
	Clock  clock.Clock
	Events events.Sink
}

// EndpointLease and StoreLease name the leases that this package takes.
func EndpointLease(e structs.EndpointName) lease.Name { return lease.Name("endpoint/" + string(e)) }

// StoreLease names the lease of a weight store's budget.
func StoreLease(store string) lease.Name { return lease.Name("store/" + store) }

// Runner brings the endpoints that this instance owns to their declarations.
type Runner struct {
	options Options
	leases  *lease.Leases
	inbox   chan func(now time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	// controllers and keepers are used by the loop only.
	controllers map[lease.Name]*controlled
	keepers     map[lease.Name]*keeper
	// draining is set once no new order may start.
	draining bool
	// sending counts the orders on their way.
	sending atomic.Int64

	noticesMu sync.Mutex
	// notices are changes of leases that the loop has not taken yet.
	notices []notice
	wake    chan struct{}
}

// notice is one lease granted or, without a grant, ended.
type notice struct {
	name  lease.Name
	grant *lease.Grant
}

// controlled is one endpoint under control.
type controlled struct {
	controller *Controller
	endpoint   structs.EndpointName
	name       lease.Name
	// sending is set while an order is on its way; leaving once another
	// instance owns the endpoint.
	sending bool
	leaving bool
}

// Start registers the handlers and begins to control endpoints.
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
		options:     o,
		inbox:       make(chan func(time.Time), backlog),
		ctx:         ctx,
		cancel:      cancel,
		done:        make(chan struct{}),
		controllers: make(map[lease.Name]*controlled),
		keepers:     make(map[lease.Name]*keeper),
		wake:        make(chan struct{}, 1),
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
		o.Mesh.OnCall(KindLoad, r.onLoad)
	}
	go r.loop()
	return r, nil
}

// Close stops without giving leases back.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
	r.leases.Close()
}

// Drain sends no new orders, waits for those on their way, and gives every lease back, so that the next
// holder need not wait.
func (r *Runner) Drain(ctx context.Context) error {
	r.post(func(time.Time) { r.draining = true })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.sending.Load() > 0 {
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

// post never blocks its caller for long; it drops the call when the Runner ends.
func (r *Runner) post(f func(now time.Time)) {
	select {
	case r.inbox <- f:
	case <-r.ctx.Done():
	}
}

func (r *Runner) onGranted(g lease.Grant) {
	r.notify(notice{name: g.Name, grant: &g})
}

func (r *Runner) onRevoked(n lease.Name, _ lease.Fencing) { r.notify(notice{name: n}) }

// notify never blocks: the leases' loop calls it.
func (r *Runner) notify(n notice) {
	r.noticesMu.Lock()
	r.notices = append(r.notices, n)
	r.noticesMu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) takeNotices(now time.Time) {
	r.noticesMu.Lock()
	notices := r.notices
	r.notices = nil
	r.noticesMu.Unlock()
	for _, n := range notices {
		if c := r.controllers[n.name]; c != nil {
			r.step(now, c, n.event())
		}
		if k := r.keepers[n.name]; k != nil {
			k.leaseChanged(now, n.grant)
		}
	}
}

func (n notice) event() Event {
	if n.grant == nil {
		return LeaseEnded{}
	}
	return LeaseGranted{Grant: *n.grant}
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
			r.follow(now)
			r.tick(now)
		case <-r.wake:
			r.takeNotices(r.options.Clock.Now())
		case f := <-r.inbox:
			f(r.options.Clock.Now())
		}
	}
}

// follow takes up and drops endpoints as declarations and ownership change.
func (r *Runner) follow(now time.Time) {
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
		if c := r.controllers[n]; c != nil {
			r.step(now, c, Declared{Spec: s})
			continue
		}
		r.controllers[n] = &controlled{controller: NewController(s), endpoint: s.Endpoint, name: n}
	}
	for n, c := range r.controllers {
		c.leaving = !owned[n]
		r.dropIfLeft(c)
	}
	r.followStores(stores)
}

// dropIfLeft gives up an endpoint that another instance owns, once no order is
// on its way.
func (r *Runner) dropIfLeft(c *controlled) {
	if c.leaving && !c.sending {
		r.leases.Release(c.name)
		delete(r.controllers, c.name)
	}
}

func (r *Runner) tick(now time.Time) {
	for _, c := range r.controllers {
		if c.leaving {
			continue
		}
		r.step(now, c, Tick{})
	}
	for _, k := range r.keepers {
		k.tick(now)
	}
}

func (r *Runner) step(now time.Time, c *controlled, e Event) {
	for _, effect := range c.controller.Step(now, e) {
		switch effect := effect.(type) {
		case WantLease:
			r.leases.Acquire(c.name)
		case ReleaseLease:
			r.leases.Release(c.name)
		case RaiseFencing:
			r.options.Events.Emit(eventFencingRaise, events.F("endpoint", string(c.endpoint)), events.F("above", int64(effect.Above)))
			r.leases.Raise(c.name, effect.Above)
		case ReadState:
			go r.readState(c)
		case AskLoad:
			go r.askLoad(c, effect)
		case SendOrder:
			r.startOrder(now, c, effect.Order)
		case Settled:
			r.options.Events.Emit(eventOrderSettled, events.F("endpoint", string(c.endpoint)))
		}
	}
}

func (r *Runner) startOrder(now time.Time, c *controlled, o edge.EngineOrder) {
	if r.draining || c.leaving {
		r.step(now, c, OrderAnswered{Err: errors.Annotate(edge.ErrNotSent, "this instance gives the endpoint up")})
		return
	}
	c.sending = true
	r.sending.Add(1)
	go r.sendOrder(c, o)
}

func (r *Runner) engine(c *controlled) (edge.Engine, error) {
	engine, ok := r.options.Engine(c.endpoint)
	if !ok {
		return nil, errors.Annotatef(edge.ErrNotSent, "endpoint %s has no address", c.endpoint)
	}
	return engine, nil
}

func (r *Runner) readState(c *controlled) {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	var read StateRead
	engine, err := r.engine(c)
	if err == nil {
		read.State, err = engine.State(ctx)
	}
	read.Err = err
	r.post(func(now time.Time) { r.step(now, c, read) })
}

// sendOrder checks the lease on the monotonic clock right before it sends. A
// process that is paused between the check and the send can still be late;
// engines that check fencing numbers refuse its order then.
func (r *Runner) sendOrder(c *controlled, o edge.EngineOrder) {
	ctx, cancel := context.WithTimeout(r.ctx, LongestOrder)
	defer cancel()
	var answer OrderAnswered
	endpoint := events.F("endpoint", string(c.endpoint))
	engine, err := r.engine(c)
	fencing, valid := r.leases.Valid(c.name)
	switch {
	case err != nil:
	case !valid || int64(fencing) != o.Fencing:
		r.options.Events.Emit(eventOrderTooLate, endpoint)
		err = errors.Annotate(edge.ErrNotSent, "lease ended")
	default:
		r.options.Events.Emit(eventOrderSent, endpoint, events.F("fencing", o.Fencing), events.F("models", o.Models))
		answer.State, err = engine.Order(ctx, o)
	}
	answer.Err = err
	r.noteOrder(endpoint, err)
	r.sending.Add(-1)
	r.post(func(now time.Time) {
		c.sending = false
		r.step(now, c, answer)
		r.dropIfLeft(c)
	})
}

func (r *Runner) noteOrder(endpoint events.Field, err error) {
	switch {
	case err == nil:
	case errors.Is(err, edge.ErrFenced):
		r.options.Events.Emit(eventOrderFenced, endpoint)
	default:
		r.options.Events.Emit(eventOrderFailed, endpoint, events.F("error", err.Error()))
	}
}
