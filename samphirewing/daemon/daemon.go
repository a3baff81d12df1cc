// Package daemon joins the layers into one process: it opens the listeners,
// runs the roles and stops them in order.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/coordination/orders"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// Dependencies are the systems around a daemon. Nil fields are made from the
// settings' addresses.
type Dependencies struct {
	Log      log.Interface
	Clock    clock.Clock
	EventLog eventlog.Log
	List     edge.MembershipList
	Weights  edge.WeightStore
	Clients  EdgeClients
}

// Addresses are where a running daemon listens.
type Addresses struct {
	Caller   string
	Mesh     string
	Operator string
}

// Daemon is one running process's worth of roles.
type Daemon struct {
	settings Settings
	self     instance.Process
	clock    clock.Clock
	events   events.Sink

	platform  platform
	mesh      *mesh.Mesh
	catalogue atomic.Pointer[catalogue.Catalogue]
	config    *configuration
	members   *memberRole
	entry     *entryRole
	owners    *ownerRole
	answers   *answers
	endpoints *endpoints
	shards    *shardTable
	backend   *callerBackend
	listing   *endpointListing
	bookings  *journalBookings
	orders    *orders.Runner
	refused   *ring[refusedRequest]
	started   time.Time
	keys      listenerKeys
	meter     *meter
	tracer    trace.Tracer
	// stopTracing exports the spans that are left.
	stopTracing telemetry.Shutdown

	callerListener   net.Listener
	operatorListener net.Listener
	callerServer     *http.Server
	operatorServer   *http.Server

	// superseded is closed when a later life of this instance runs.
	superseded chan struct{}

	cancel  context.CancelFunc
	working sync.WaitGroup
	stopped sync.Once
}

// platform is what the daemon uses of the world around it.
type platform struct {
	log     eventlog.Log
	list    edge.MembershipList
	weights edge.WeightStore
	clients EdgeClients
}

// Start checks the settings, opens the listeners and runs the roles. It
// returns SettingFaults when settings are at fault.
func Start(ctx context.Context, s Settings, deps Dependencies) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := newDaemon(s, deps)
	ctx, d.cancel = context.WithCancel(ctx)
	if err := d.open(ctx); err != nil {
		d.Kill()
		return nil, err
	}
	d.runRoles(ctx)
	if err := d.serve(); err != nil {
		d.Kill()
		return nil, err
	}
	d.events.Emit(EventStarted,
		events.F("instance", d.self.ID), events.F("incarnation", d.self.Incarnation),
		events.F("caller", d.Addresses().Caller), events.F("mesh", d.Addresses().Mesh),
		events.F("operator", d.Addresses().Operator))
	return d, nil
}

func newDaemon(s Settings, deps Dependencies) *Daemon {
	d := &Daemon{settings: s, clock: deps.Clock, superseded: make(chan struct{})}
	if d.clock == nil {
		d.clock = clock.System{}
	}
	d.events = events.Discard{}
	if deps.Log != nil {
		d.events = events.Logger{Log: deps.Log.WithField("instance", string(s.InstanceID))}
	}
	d.platform = newPlatform(s, deps, d.events)
	sink := d.events
	invariant.Observe(func(b invariant.Violation) {
		sink.Emit(EventInvariantBroken, events.F("invariant", b.Name), events.F("detail", b.Detail))
	})
	d.self = instance.Process{ID: s.InstanceID, Incarnation: startIncarnation(d.clock.Now())}
	d.started = d.clock.Now()
	d.meter = newMeter(d)
	d.refused = newRing[refusedRequest](refusedKept)
	d.catalogue.Store(emptyCatalogue())
	return d
}

// open makes the listeners and wires the roles together.
func (d *Daemon) open(ctx context.Context) error {
	var err error
	if d.keys, err = loadKeys(d.settings); err != nil {
		return err
	}
	if err := d.startTracing(); err != nil {
		return err
	}
	if d.callerListener, err = net.Listen("tcp", d.settings.CallerListen); err != nil {
		return errors.Annotate(err, "--caller-listen: give a free address of this machine")
	}
	if d.operatorListener, err = net.Listen("tcp", d.settings.OperatorListen); err != nil {
		return errors.Annotate(err, "--operator-listen: give a free address of this machine")
	}
	d.answers = newAnswers(d.settings.AnswerKeep, d.settings.AnswerKeepBytes)
	d.endpoints = newEndpoints(d.platform.clients)
	if err := d.openMesh(); err != nil {
		return err
	}
	return d.openConfiguration(ctx)
}

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.callerListener.Addr().String(),
		Mesh:     d.mesh.Addr().String(),
		Operator: d.operatorListener.Addr().String(),
	}
}

// Superseded is closed when another process runs with this daemon's id and a
// later incarnation; this one should stop.
func (d *Daemon) Superseded() <-chan struct{} { return d.superseded }

// Held returns how many requests the entry holds.
func (d *Daemon) Held() int { return int(d.entry.held.Load()) }

// Self returns the daemon's id and incarnation.
func (d *Daemon) Self() instance.Process { return d.self }

// View returns the configuration in force here.
func (d *Daemon) View() configstore.View { return d.config.View() }

// Ready tells whether the daemon takes new requests.
func (d *Daemon) Ready() bool {
	return d.config.Ready() && !d.config.Stale(d.clock.Now()) && !d.backend.refusing.Load()
}

func (d *Daemon) goRun(ctx context.Context, run func(context.Context)) {
	d.working.Add(1)
	go func() {
		defer d.working.Done()
		run(ctx)
	}()
}

func (d *Daemon) runRoles(ctx context.Context) {
	d.owners.start(ctx)
	d.goRun(ctx, d.entry.run)
	d.goRun(ctx, d.members.run)
	d.goRun(ctx, d.listing.run)
	d.goRun(ctx, d.meter.run)
	poller := &poller{clock: d.clock, endpoints: d.endpoints, owners: d.owners, owned: d.ownedEndpoints}
	d.goRun(ctx, poller.run)
}

func (d *Daemon) serve() error {
	operatorHandler, err := d.operatorHandler()
	if err != nil {
		return err
	}
	handler := callerapi.New(d.backend, callerapi.Options{
		MaxBodyBytes: d.settings.MaxBodyBytes,
		Events:       d.events,
		Clock:        d.clock,
	})
	d.callerServer = callerapi.NewServer(handler, callerapi.ServerOptions{Events: d.events})
	d.operatorServer = d.newOperatorServer(operatorHandler)
	callers := callerapi.LimitConnections(d.callerListener, d.settings.MaxConnections)
	operators := callerapi.LimitConnections(d.operatorListener, maxOperatorConnections)
	go d.callerServer.Serve(secure(callers, d.keys.caller))
	go d.operatorServer.Serve(secure(operators, d.keys.operator))
	return nil
}

func (d *Daemon) startTracing() error {
	var err error
	d.stopTracing, d.tracer, err = telemetry.StartTracing(telemetry.TracingOptions{
		Exporter:    telemetry.ExporterName(d.settings.Trace.Exporter),
		Endpoint:    d.settings.Trace.Endpoint,
		SampleRatio: d.settings.Trace.SampleRatio,
		Self:        d.self,
		Events:      d.events,
	})
	return errors.Annotate(err, "--trace-exporter")
}

// applyView takes a new configuration into force.
func (d *Daemon) applyView(v configstore.View) {
	next, err := catalogue.Update(d.catalogue.Load(), v)
	if err != nil {
		d.events.Emit(EventCatalogueFault, events.F("error", err.Error()))
		return
	}
	d.catalogue.Store(next)
	d.endpoints.declare(endpointAddresses(next))
	d.owners.configure()
	d.shards.refresh()
	d.ownShards()
	d.members.setRevision(int64(v.Revision()))
}

// Kill closes everything at once, as when the process dies.
func (d *Daemon) Kill() {
	d.stopped.Do(func() {
		if d.cancel != nil {
			d.cancel()
		}
		if d.callerServer != nil {
			d.callerServer.Close()
		}
		if d.operatorServer != nil {
			d.operatorServer.Close()
		}
		closeListener(d.callerListener)
		closeListener(d.operatorListener)
		if d.orders != nil {
			d.orders.Close()
		}
		if d.bookings != nil {
			d.bookings.journal.Close()
		}
		if d.config != nil {
			d.config.Close()
		}
		if d.mesh != nil {
			d.mesh.Close()
		}
		d.working.Wait()
	})
}

func closeListener(l net.Listener) {
	if l != nil {
		l.Close()
	}
}

// Commit appends a change set and returns the verdict once it is read back.
func (d *Daemon) Commit(ctx context.Context, c configstore.ChangeSet) (configstore.Verdict, error) {
	return d.config.Commit(ctx, c)
}

// BookingsOpen tells whether the booking partitions that are written here take
// keys that are made now and whose issue time is given in whole seconds.
func (d *Daemon) BookingsOpen(ctx context.Context) bool {
	from, ok := d.bookings.journal.MinIssueTime(ctx)
	return ok && d.clock.Now().Truncate(time.Second).After(from)
}

// PoolOwner returns the instance that owns a pool shard as this daemon sees it.
func (d *Daemon) PoolOwner(s entry.Shard) (instance.ID, bool) { return d.shardOwner(s) }

// Entries returns the entry list as callers get it here.
func (d *Daemon) Entries() []callerapi.Entry { return d.members.entries() }

// maxOperatorConnections bounds the connections of operators and scrapers.
const maxOperatorConnections = 256

// emptyCatalogue is in force until a configuration has been loaded.
func emptyCatalogue() *catalogue.Catalogue {
	c, err := catalogue.Decode(configstore.NewStore(nil).View())
	if err != nil {
		panic(err) // an empty view holds nothing that could fail to decode
	}
	return c
}
