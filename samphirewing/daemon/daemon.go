// Package daemon assembles a scheduler process: it opens the listeners, runs the
// roles and shuts them down in order.
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
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

// Dependencies are the external systems of a daemon. For a nil field, a client is
// created from the addresses in the settings.
type Dependencies struct {
	Logger          log.Interface
	Clock           clock.Clock
	EventLog        eventlog.Log
	MembershipList  edge.MembershipList
	WeightStore     edge.WeightStore
	EndpointClients EndpointClientFactory
}

// Addresses are the listen addresses of a running daemon.
type Addresses struct {
	Caller   string
	Mesh     string
	Operator string
}

// Daemon runs all roles of one scheduler instance.
type Daemon struct {
	settings Settings
	self     instance.Process
	clock    clock.Clock
	events   events.Sink

	platform         platformClients
	mesh             *mesh.Mesh
	catalogue        atomic.Pointer[catalogue.Catalogue]
	config           *configuration
	members          *memberRole
	entry            *entryRole
	owners           *ownerRole
	answers          *answerStore
	endpoints        *endpointRegistry
	shards           *ownerTracker
	backend          *callerBackend
	membershipPoller *membershipPoller
	bookings         *journalBookings
	orders           *orders.Runner
	refused          *ring[refusedRequest]
	startedAt        time.Time
	keys             listenerKeys
	meter            *meter
	tracer           trace.Tracer
	// stopTracing exports the remaining spans.
	stopTracing telemetry.Shutdown

	callerListener   net.Listener
	operatorListener net.Listener
	callerServer     *http.Server
	guard            *httplimit.Guard
	operatorServer   *http.Server

	// superseded is closed when a later incarnation of this instance is running.
	superseded chan struct{}

	cancel   context.CancelFunc
	roles    sync.WaitGroup
	killOnce sync.Once
}

// platformClients are the clients of the external systems that the daemon uses.
type platformClients struct {
	log     eventlog.Log
	list    edge.MembershipList
	weights edge.WeightStore
	clients EndpointClientFactory
}

// Start checks the settings, opens the listeners and starts the roles. It returns
// SettingErrors if settings are invalid.
func Start(ctx context.Context, s Settings, deps Dependencies) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	s.applyMemoryLimit()
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
	if deps.Logger != nil {
		d.events = events.Logger{Log: deps.Logger.WithField("instance", string(s.InstanceID))}
	}
	d.platform = newPlatformClients(s, deps, d.events)
	sink := d.events
	invariant.Observe(func(b invariant.Violation) {
		sink.Emit(EventInvariantBroken, events.F("invariant", b.Name), events.F("detail", b.Detail))
	})
	d.self = instance.Process{ID: s.InstanceID, Incarnation: newIncarnation(d.clock.Now())}
	d.startedAt = d.clock.Now()
	d.meter = newMeter(d)
	d.guard = d.newGuard()
	d.refused = newRing[refusedRequest](maxRefusedRequests)
	d.catalogue.Store(emptyCatalogue())
	return d
}

// open opens the listeners and connects the roles.
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
	d.answers = newAnswerStore(d.settings.AnswerKeep, d.settings.AnswerKeepBytes)
	d.endpoints = newEndpointRegistry(d.platform.clients)
	if err := d.openMesh(); err != nil {
		return err
	}
	return d.watchConfiguration(ctx)
}

// Addresses returns the listen addresses.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.callerListener.Addr().String(),
		Mesh:     d.mesh.Addr().String(),
		Operator: d.operatorListener.Addr().String(),
	}
}

// Superseded returns a channel that is closed when another process runs with this
// instance id and a later incarnation; this daemon must then stop.
func (d *Daemon) Superseded() <-chan struct{} { return d.superseded }

// Held returns the number of requests that the entry holds, waiting or running.
func (d *Daemon) Held() int { return int(d.entry.held.Load()) }

// Self returns the instance id and the incarnation.
func (d *Daemon) Self() instance.Process { return d.self }

// View returns the configuration that this daemon currently applies.
func (d *Daemon) View() configstore.View { return d.config.View() }

// Ready reports whether the daemon accepts new requests: a configuration is loaded
// and not stale, and the daemon is not draining.
func (d *Daemon) Ready() bool {
	return d.config.Ready() && !d.config.Stale(d.clock.Now()) && !d.backend.draining.Load()
}

// startRole runs a role in a goroutine that Kill waits for.
func (d *Daemon) startRole(ctx context.Context, run func(context.Context)) {
	d.roles.Add(1)
	go func() {
		defer d.roles.Done()
		run(ctx)
	}()
}

func (d *Daemon) runRoles(ctx context.Context) {
	d.owners.setContext(ctx)
	d.startRole(ctx, d.entry.run)
	d.startRole(ctx, d.members.run)
	d.startRole(ctx, d.membershipPoller.run)
	d.startRole(ctx, d.meter.run)
	poller := &enginePoller{clock: d.clock, endpoints: d.endpoints, owners: d.owners, ownedEndpoints: d.ownedEndpoints}
	d.startRole(ctx, poller.run)
}

func (d *Daemon) serve() error {
	operatorHandler, err := d.operatorHandler()
	if err != nil {
		return err
	}
	handler := callerapi.New(d.backend, callerapi.Options{
		Guard:        d.guard,
		WriteTimeout: d.settings.UnreadTimeout,
		MaxBodyBytes: d.settings.MaxBodyBytes,
		Events:       d.events,
		Clock:        d.clock,
	})
	d.callerServer = callerapi.NewServer(handler, callerapi.ServerOptions{Guard: d.guard, Events: d.events})
	d.operatorServer = d.newOperatorServer(operatorHandler)
	callers := d.guard.CallerListener(d.callerListener)
	operators := callerapi.LimitConnections(d.operatorListener, maxOperatorConnections)
	go d.callerServer.Serve(wrapTLS(callers, d.keys.caller))
	go d.operatorServer.Serve(wrapTLS(operators, d.keys.operator))
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

// applyView applies a new configuration. One that can't be decoded is logged and
// ignored.
func (d *Daemon) applyView(v configstore.View) {
	next, err := catalogue.Update(d.catalogue.Load(), v)
	if err != nil {
		d.events.Emit(EventCatalogueUnreadable, events.F("error", err.Error()))
		return
	}
	d.catalogue.Store(next)
	d.endpoints.setDeclared(endpointAddresses(next))
	d.owners.configure()
	d.shards.refresh()
	d.startOwnedShards()
	d.members.setRevision(int64(v.Revision()))
}

// Kill closes everything immediately, without draining, as if the process had
// died.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() {
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
		d.roles.Wait()
	})
}

func closeListener(l net.Listener) {
	if l != nil {
		l.Close()
	}
}

// Commit appends a change set and returns the verdict once it is read back from
// the log.
func (d *Daemon) Commit(ctx context.Context, c configstore.ChangeSet) (configstore.Verdict, error) {
	return d.config.Commit(ctx, c)
}

// AcceptsBookings reports whether the booking partitions owned by this daemon
// accept keys issued now. Issue times have a resolution of one second.
func (d *Daemon) AcceptsBookings(ctx context.Context) bool {
	minIssueTime, ok := d.bookings.journal.MinIssueTime(ctx)
	return ok && d.clock.Now().Truncate(time.Second).After(minIssueTime)
}

// ShardOwner returns the instance that owns a pool shard in this daemon's view.
func (d *Daemon) ShardOwner(s entry.Shard) (instance.ID, bool) { return d.shardOwner(s) }

// Entries returns the entry list that this daemon gives to callers.
func (d *Daemon) Entries() []callerapi.Entry { return d.members.entries() }

// maxOperatorConnections bounds the connections of operators and metrics scrapers.
const maxOperatorConnections = 256

// emptyCatalogue returns the catalogue in use until a configuration is loaded.
func emptyCatalogue() *catalogue.Catalogue {
	c, err := catalogue.Decode(configstore.NewStore(nil).View())
	if err != nil {
		panic(err) // an empty view has no objects to decode
	}
	return c
}
