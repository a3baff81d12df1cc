package platform

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/forward"
)

const (
	// memoryShare is the part of the memory limit that Go's heap may fill; the
	// rest is for stacks and bytes in sockets.
	memoryShare = 0.75
	// connectTimeout bounds a connection to an endpoint: links take about a
	// millisecond, so that a slower one goes to a machine that is gone.
	connectTimeout = 400 * time.Millisecond
	// idleLimit and maxIdle bound kept connections to endpoints.
	idleLimit = 8 * time.Second
	maxIdle   = 32
	// userTimeout is how long sent bytes may stay unconfirmed.
	userTimeout = 2 * time.Second
	// headerTimeout and callerIdleTimeout bound what callers may take; they
	// stay above what any configuration grants.
	headerTimeout     = 15 * time.Second
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// addressesKept is how long after SIGTERM callers may still come with an
	// old list of addresses.
	addressesKept = 3*directoryAge*time.Second + 300*time.Millisecond
	// lateRequests is how long after SIGTERM every request is taken. The
	// platform excuses cut requests only that were sent within 3 s of it; the
	// rest is for the way.
	lateRequests = 2500 * time.Millisecond
	// exitMargin is the time before SIGKILL at which a stopping daemon exits.
	exitMargin = 400 * time.Millisecond
	// assumedInstances is how many daemons share quotas and budgets until the
	// others have been looked up, which takes some ten milliseconds. It is as
	// many as callers are told of.
	assumedInstances = maxAddresses
)

// Daemon is one daemon on the platform.
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
	servers   []*http.Server
	frontend  *http.Server

	cancel   context.CancelFunc
	running  sync.WaitGroup
	stopping atomic.Bool
}

// Options set a Daemon up.
type Options struct {
	Settings Settings
	// MetricsPort is where metrics are served; zero serves none.
	MetricsPort string
	Events      events.Sink
	// Tracer records a span for each hop; nil records none.
	Tracer trace.Tracer
}

// Start starts a daemon.
func Start(o Options) (*Daemon, error) {
	s := o.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	registry := metrics.NewRegistry()
	client := forward.New(forward.Options{
		ConnectTimeout: connectTimeout, IdleTimeout: idleLimit, MaxIdlePerEndpoint: maxIdle, UserTimeout: userTimeout, RequestIDHeader: headerRequestID,
	})
	d := &Daemon{settings: s, events: o.Events, registry: registry, store: newStoreClient(s.StoreAddress, registry), client: client}
	d.gateway = gateway.New(gateway.Options{
		FailureDomain: s.FailureDomain, Dialect: dialect{},
		Client: client, Events: o.Events, Metrics: registry, Tracer: o.Tracer, RetryRatio: s.RetryRatio, RetryAllowance: s.RetryAllowance,
		Instances: assumedInstances, Fresh: s.FirstStart,
	})
	d.endpoints = newEndpointReader(d.gateway.SetEndpoints, o.Events)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.listen(o.MetricsPort); err != nil {
		cancel()
		return nil, err
	}
	d.running.Go(func() { d.gateway.Run(ctx) })
	d.follow(ctx, topicOperator, s.followWait(), followPause, &configurationReader{apply: func(t *routing.Table) bool { return d.gateway.SetTable(t) }, events: o.Events})
	d.follow(ctx, topicEndpoints, s.followWait(), followPause, d.endpoints)
	d.running.Go(func() { d.joinPeers(ctx) })
	o.Events.Emit(EventStarted, events.F("instance", string(s.Instance)), events.F("failure_domain", string(s.FailureDomain)),
		events.F("frontend", s.FrontendAddress), events.F("store", s.StoreAddress), events.F("first_start", s.FirstStart))
	return d, nil
}

func (d *Daemon) follow(ctx context.Context, topic string, wait, collect time.Duration, reader topicReader) {
	f := &follower{store: d.store, topic: topic, wait: wait, collect: collect, reader: reader, events: d.events}
	d.running.Go(func() { f.run(ctx) })
}

func (d *Daemon) listen(metricsPort string) error {
	d.frontend = d.server(&callerHandler{gateway: d.gateway, stopping: &d.stopping})
	directory := &directory{addresses: d.addresses}
	listen := []struct {
		server  *http.Server
		address *string
	}{
		{d.frontend, &d.settings.FrontendAddress},
		{d.server(directory.handler()), &d.settings.DirectoryAddress},
		{d.server(readinessHandler(d.ready)), &d.settings.ReadyAddress},
	}
	for _, l := range listen {
		listener, err := net.Listen("tcp", *l.address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s; check the settings file's addresses", *l.address)
		}
		*l.address = listener.Addr().String()
		d.servers = append(d.servers, l.server)
		go d.serve(l.server, listener)
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
	handler := http.NewServeMux()
	handler.Handle(pathMetrics, telemetry.Handler(d.registry))
	server := d.server(handler)
	d.servers = append(d.servers, server)
	go d.serve(server, listener)
	return nil
}

func (d *Daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: newServerLog(d.events),
	}
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		d.events.Emit(EventServerFault, events.F("address", listener.Addr().String()), events.F("error", err))
	}
}

// ready returns whether callers should come here.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.gateway.Version() > 0 && d.endpoints.isReady()
}

// addresses returns the addresses that callers are told.
func (d *Daemon) addresses() []string {
	var all []string
	if p := d.peering.Load(); p != nil {
		all = p.CallerAddresses()
	}
	if d.ready() {
		all = append(all, d.settings.FrontendAddress)
	}
	return all[:min(len(all), maxAddresses)]
}

// Stop ends the daemon: it leaves the directory, goes on serving callers that
// still hold its address, lets running requests end, and returns before the
// platform kills the process.
func (d *Daemon) Stop() {
	begun := time.Now()
	d.stopping.Store(true)
	d.gateway.Stopping(begun.Add(lateRequests), begun.Add(d.settings.DrainGrace-exitMargin))
	go d.leavePeers()
	d.events.Emit(EventStopping, events.F("held", d.gateway.Held()), events.F("grace_ms", d.settings.DrainGrace.Milliseconds()))
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainGrace-exitMargin)
	defer cancel()
	sleep(ctx, addressesKept)
	// Shutdown also waits for connections that carry no request.
	if err := d.frontend.Shutdown(ctx); err != nil && d.gateway.Held() > 0 {
		d.events.Emit(EventStopCut, events.F("held", d.gateway.Held()), events.F("error", err))
	}
	d.cancel()
	d.events.Emit(EventStopped, events.F("took_ms", time.Since(begun).Milliseconds()))
}

// Kill ends the daemon at once, like a crash.
func (d *Daemon) Kill() {
	d.cancel()
	for _, server := range d.servers {
		if err := server.Close(); err != nil {
			d.events.Emit(EventServerFault, events.F("error", err))
		}
	}
	d.running.Wait()
}

// Settings returns the settings in force, with the addresses that the daemon
// listens on.
func (d *Daemon) Settings() Settings { return d.settings }

// Ready returns whether callers should come to this daemon.
func (d *Daemon) Ready() bool { return d.ready() }

// Version returns the version of the configuration in force, or zero.
func (d *Daemon) Version() int64 { return d.gateway.Version() }

// Reload takes in a changed settings file. Bounds change at once; addresses
// and names need a restart.
func (d *Daemon) Reload(s Settings) {
	old := d.settings
	d.settings.DrainGrace = s.DrainGrace
	d.settings.RetryRatio, d.settings.RetryAllowance = s.RetryRatio, s.RetryAllowance
	d.gateway.SetRetryBudget(s.RetryRatio, s.RetryAllowance)
	d.events.Emit(EventSettingsReloaded, events.F("instance", string(s.Instance)), events.F("grace_ms", s.DrainGrace.Milliseconds()),
		events.F("retry_ratio", s.RetryRatio), events.F("retry_allowance", s.RetryAllowance))
	if s.Instance != old.Instance || s.StoreAddress != old.StoreAddress || s.FrontendAddress != old.FrontendAddress || s.DirectoryAddress != old.DirectoryAddress {
		d.events.Emit(EventSettingsFault, events.F("error", "a name or address has changed; restart the daemon to use it"))
	}
}
