package platform

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/peers"
	"github.com/samphirewing/samphirewing/coordination/stopping"
	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/forward"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

const (
	// heapFraction is the fraction of the memory limit that Go's heap may use;
	// the rest is for stacks and socket buffers.
	heapFraction = 0.75
	// connectTimeout bounds connecting to an endpoint. Links take about a
	// millisecond, so a slower connection means that the machine is down.
	connectTimeout = 400 * time.Millisecond
	// endpointIdleTimeout and maxIdlePerEndpoint bound the idle connections to
	// endpoints.
	endpointIdleTimeout = 8 * time.Second
	maxIdlePerEndpoint  = 32
	// tcpUserTimeout is how long sent data may remain unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// headerTimeout and callerIdleTimeout bound how long callers may take. They
	// exceed the limits of any configuration.
	headerTimeout     = 15 * time.Second
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// operatorConnections bounds the connections to the paths for the platform and
	// for operators, each a fraction of the descriptors reserved for them.
	operatorConnections = 32
	// addressListLifetime is how long after SIGTERM callers may still use an
	// address list that names this daemon.
	addressListLifetime = 3*directoryTTLSeconds*time.Second + 300*time.Millisecond
	// acceptPeriod is how long after SIGTERM requests with any deadline are accepted. The
	// platform tolerates truncated answers only for requests sent within 3 s of
	// SIGTERM; the difference covers transmission.
	acceptPeriod = 2500 * time.Millisecond
	// assumedInstances is the number of daemons assumed to share quotas and
	// budgets until the others have been looked up, which takes some ten
	// milliseconds. It equals the number of addresses that callers accept.
	assumedInstances = maxAddresses
)

// Daemon is a daemon running on the platform.
type Daemon struct {
	settings Settings
	events   events.Sink
	registry metrics.Registry
	store    *storeClient
	gateway  *gateway.Gateway
	// peering is nil until the daemon has joined its peers.
	peering atomic.Pointer[gateway.Peering]
	client  *forward.Client

	endpoints *endpointReader
	streams   *streamKeeper
	listings  *gateway.ListingGate
	servers   []*http.Server
	frontend  *http.Server
	guard     *httplimit.Guard

	cancel   context.CancelFunc
	running  sync.WaitGroup
	stopping atomic.Bool
	// listedUnixNano is when the endpoints were first known, admitted is set once streams
	// may begin there.
	listedUnixNano atomic.Int64
	admitted       atomic.Bool
}

// Options configures a Daemon.
type Options struct {
	Settings Settings
	// MetricsPort is the port on which metrics are served; empty disables them.
	MetricsPort string
	Events      events.Sink
	// Tracer records a span for each hop; nil records none.
	Tracer trace.Tracer
	// Limits bounds what is held for callers. The memory and the descriptors are
	// taken from the settings.
	Limits httplimit.Limits
}

// registryTrustDelay is the time after a failed call to the store for which its listing
// of the endpoints may be out of date: they write their entries again within 2 s of its
// return.
const registryTrustDelay = 3 * time.Second

// registryFailing reports whether the listing of the endpoints may be older than the store
// has it.
func (d *Daemon) registryFailing() bool { return d.store.sinceFailure() < registryTrustDelay }

// Start starts a daemon and returns once it listens.
func Start(o Options) (*Daemon, error) {
	s := o.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryBytes)))
	}
	registry := metrics.NewRegistry()
	limits := o.Limits
	limits.MemoryBytes, limits.Descriptors, limits.MaxBodyBytes = s.MemoryBytes, s.Descriptors, maxBodyBytes
	guard := httplimit.NewGuard(limits, o.Events, registry)
	client := forward.New(forward.Options{
		ConnectTimeout: connectTimeout, IdleTimeout: endpointIdleTimeout, MaxIdlePerEndpoint: maxIdlePerEndpoint, UserTimeout: tcpUserTimeout, RequestIDHeader: headerRequestID,
	})
	d := &Daemon{settings: s, events: o.Events, registry: registry, store: newStoreClient(s.StoreAddress, registry), client: client, guard: guard, listings: gateway.NewListingGate()}
	d.endpoints = newEndpointReader(func(listed []endpointset.Endpoint) { d.gateway.SetEndpoints(listed) }, o.Events)
	d.endpoints.failing = d.registryFailing
	d.gateway = gateway.New(gateway.Options{
		FailureDomain: s.FailureDomain, Dialect: dialect{},
		Client: client, Events: o.Events, Metrics: registry, Tracer: o.Tracer, RetryRatio: s.RetryRatio, RetryAllowance: s.RetryAllowance,
		Instances: assumedInstances, FirstStart: s.FirstStart, Memory: guard.Account(), Dispatch: s.dispatch(), Rollout: s.Rollout,
		RefreshStreams: func(ctx context.Context) error { return d.streams.Refresh(ctx) },
		RegistryKnown:  d.endpoints.known,
	})
	d.streams = newStreamKeeper(d)
	d.store.observeEpoch = d.gateway.ObserveStoreEpoch
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.listen(o.MetricsPort); err != nil {
		cancel()
		return nil, err
	}
	d.running.Go(func() { d.gateway.Run(ctx) })
	rollouts := &orderReader{daemon: d, ctx: ctx}
	d.followBounded(ctx, topicOperator, &configurationReader{apply: func(t *routing.Table) bool { return d.gateway.SetTable(t) }, orders: rollouts, events: o.Events})
	d.followBounded(ctx, topicEndpoints, d.endpoints)
	d.running.Go(func() { d.joinPeers(ctx) })
	d.running.Go(func() { d.streams.run(ctx) })
	o.Events.Emit(EventStarted, events.F("instance", string(s.Instance)), events.F("failure_domain", string(s.FailureDomain)),
		events.F("frontend", s.FrontendAddress), events.F("store", s.StoreAddress), events.F("first_start", s.FirstStart))
	return d, nil
}

// followBounded follows a topic whose changes must take effect within the
// propagation bound.
func (d *Daemon) followBounded(ctx context.Context, topic string, reader topicReader) {
	feed := d.gateway.Feed(topic)
	feed.SetMaxAge(d.settings.maxRelayAge())
	f := &follower{
		store: d.store, topic: topic, wait: d.settings.followWait(), batchDelay: followBatchDelay, relayWait: d.settings.relayWait(),
		feed: feed, reader: reader, events: d.events, gate: d.listings, listingDelay: d.listingDelay,
	}
	d.running.Go(func() { f.run(ctx) })
}

// followInstances follows the topic of the daemons' own records, from a listing
// that was already read, if any.
func (d *Daemon) followInstances(ctx context.Context, reader topicReader, first *listing) {
	f := &follower{
		store: d.store, topic: topicInstances, wait: followPeersWait, batchDelay: followPeersBatchDelay,
		feed: d.gateway.Feed(topicInstances), reader: reader, events: d.events, first: first,
	}
	d.running.Go(func() { f.run(ctx) })
}

// listingDelay returns how long to wait for the listings of other daemons after the store
// was restored.
func (d *Daemon) listingDelay() time.Duration {
	if p := d.peering.Load(); p != nil {
		return p.ListingDelay()
	}
	return 0
}

func (d *Daemon) listen(metricsPort string) error {
	d.frontend = d.newServer(&callerHandler{gateway: d.gateway, guard: d.guard, stopping: &d.stopping})
	directory := &directory{addresses: d.callerAddresses}
	forPlatform := func(l net.Listener) net.Listener { return d.guard.Listener(l, operatorConnections) }
	servers := []struct {
		server  *http.Server
		address *string
		limited func(net.Listener) net.Listener
	}{
		{d.frontend, &d.settings.FrontendAddress, d.guard.CallerListener},
		{d.newServer(directory.handler()), &d.settings.DirectoryAddress, d.guard.CallerListener},
		{d.newServer(readinessHandler(d.ready)), &d.settings.ReadyAddress, forPlatform},
	}
	for _, l := range servers {
		listener, err := net.Listen("tcp", *l.address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s; check the settings file's addresses", *l.address)
		}
		*l.address = listener.Addr().String()
		d.servers = append(d.servers, l.server)
		go d.serve(l.server, l.limited(listener))
	}
	return d.listenMetrics(metricsPort)
}

func (d *Daemon) listenMetrics(port string) error {
	if port == "" {
		return nil
	}
	address := net.JoinHostPort(d.settings.IP, port)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen on %s; choose another --metrics-port", address)
	}
	router := mux.NewRouter()
	router.Handle(pathMetrics, telemetry.Handler(d.registry))
	(&operatorHandler{gateway: d.gateway}).register(router)
	server := d.newServer(router)
	d.servers = append(d.servers, server)
	go d.serve(server, d.guard.Listener(listener, operatorConnections))
	return nil
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: newServerLog(d.events),
	}
	d.guard.Install(server)
	return server
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		d.events.Emit(EventServerFault, events.F("address", listener.Addr().String()), events.F("error", err))
	}
}

// ready reports whether callers should use this daemon.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.gateway.Version() > 0 && d.endpoints.isReady() && d.admissionsAwaited()
}

// admissionWait bounds how long a daemon that starts is not ready since no stream may begin
// yet. It serves all other requests.
const admissionWait = 2 * time.Second

// admissionsAwaited reports whether streams may begin, or have had the time to. Once they
// may, it stays true.
func (d *Daemon) admissionsAwaited() bool {
	if d.admitted.Load() {
		return true
	}
	now := time.Now().UnixNano()
	d.listedUnixNano.CompareAndSwap(0, now)
	if !d.gateway.StreamsMayBegin() && now-d.listedUnixNano.Load() < admissionWait.Nanoseconds() {
		return false
	}
	d.admitted.Store(true)
	return true
}

// callerAddresses returns the addresses given to callers of a failure domain.
func (d *Daemon) callerAddresses(domain instance.FailureDomain) []string {
	var all []peers.Record
	if p := d.peering.Load(); p != nil {
		all = p.Callers()
	}
	if d.ready() {
		all = append(all, d.ownRecord())
	}
	return peers.SelectAddresses(all, domain, maxAddresses)
}

// Stop shuts the daemon down. It leaves the directory, continues to serve
// callers that have its address cached, waits for running requests, answers those that
// would outlast it, and returns before the platform kills the process.
func (d *Daemon) Stop() {
	started := time.Now()
	schedule := stopping.New(started, d.settings.DrainGrace, acceptPeriod, addressListLifetime)
	d.stopping.Store(true)
	d.gateway.BeginStop(schedule)
	go d.withdrawRecord()
	d.events.Emit(EventStopping, events.F("held", d.gateway.ActiveRequests()), events.F("grace_ms", d.settings.DrainGrace.Milliseconds()))
	err := d.gateway.StopServing(d.frontend, schedule)
	if held := d.gateway.ActiveRequests(); err != nil && held > 0 {
		d.events.Emit(EventStopAbortedRequests, events.F("held", held), events.F("error", err))
	}
	d.cancel()
	d.events.Emit(EventStopped, events.F("took_ms", time.Since(started).Milliseconds()))
}

// Kill stops the daemon immediately, like a crash.
func (d *Daemon) Kill() {
	d.cancel()
	for _, server := range d.servers {
		if err := server.Close(); err != nil {
			d.events.Emit(EventServerFault, events.F("error", err))
		}
	}
	d.running.Wait()
}

// Settings returns the current settings, with the addresses that the daemon
// listens on.
func (d *Daemon) Settings() Settings { return d.settings }

// Ready reports whether callers should use this daemon.
func (d *Daemon) Ready() bool { return d.ready() }

// Version returns the current version of the configuration, or zero if there is
// none.
func (d *Daemon) Version() int64 { return d.gateway.Version() }

// Reload applies a changed settings file. Limits take effect immediately;
// changed addresses and names need a restart.
func (d *Daemon) Reload(s Settings) {
	old := d.settings
	d.settings.DrainGrace = s.DrainGrace
	d.settings.RetryRatio, d.settings.RetryAllowance = s.RetryRatio, s.RetryAllowance
	d.gateway.SetRetryBudget(s.RetryRatio, s.RetryAllowance)
	d.gateway.SetRolloutBounds(s.Rollout)
	d.events.Emit(EventSettingsReloaded, events.F("instance", string(s.Instance)), events.F("grace_ms", s.DrainGrace.Milliseconds()),
		events.F("retry_ratio", s.RetryRatio), events.F("retry_allowance", s.RetryAllowance))
	if s.Instance != old.Instance || s.StoreAddress != old.StoreAddress || s.FrontendAddress != old.FrontendAddress || s.DirectoryAddress != old.DirectoryAddress {
		d.events.Emit(EventSettingsFault, events.F("error", "a name or address has changed; restart the daemon to use it"))
	}
}
