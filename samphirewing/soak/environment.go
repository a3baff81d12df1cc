package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

const (
	// engineCount and orderCount are the sizes of the pools. A pool must still
	// serve while one endpoint is gone and another is leaving.
	engineCount = 4
	orderCount  = 4
	// zoneCount is the number of failure domains, which daemons and endpoints are
	// in by turns.
	zoneCount = 2
	// streamEvents is the number of events in an engine's stream, streamPause
	// the time between them.
	streamEvents = 5
	streamPause  = 15 * time.Millisecond
	orderPause   = 5 * time.Millisecond
	// endpointHeartbeat is the time between two writes of an endpoint's entry.
	endpointHeartbeat = time.Second
	// cappedOrganisation has a quota: cappedRate in tokens per second, and
	// cappedBurst in tokens.
	cappedOrganisation = "capped"
	cappedKey          = "capped-key"
	cappedRate         = 20000
	cappedBurst        = 40000
	// readyTimeout bounds the start of all daemons.
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// endpoint is one endpoint behind a link. Each start runs a new stand-in.
type endpoint struct {
	options runner.Options
	link    *link

	claim
	mu           sync.Mutex
	incarnations []*runner.Runner
}

// environment holds the daemons, the endpoints, the store and the operator of
// one run.
type environment struct {
	options   Options
	store     *metastore.Store
	operator  *operator.Operator
	daemons   []*daemon
	endpoints []*endpoint
	// batches is the endpoint of batchRoute, which no other fault affects.
	batches *endpoint
	history *history
	poison  poisonParts
	// restarts are those of crashed endpoints.
	restarts sync.WaitGroup
	// daemonByAddress maps published addresses to daemons.
	daemonByAddress map[string]*daemon
}

// loopbackIP returns the nth loopback address of this environment. It depends
// on seed and process id, so that concurrent environments use different ones.
func (env *environment) loopbackIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+env.options.Seed%200, 1+os.Getpid()%250, 1+n)
}

func startEnvironment(ctx context.Context, o Options) (*environment, error) {
	store, err := metastore.Start()
	if err != nil {
		return nil, errors.Trace(err)
	}
	env := &environment{options: o, store: store, operator: operator.New(store), history: newHistory(), daemonByAddress: map[string]*daemon{}}
	env.publish(0)
	if err := env.startAll(ctx); err != nil {
		env.close()
		return nil, err
	}
	return env, nil
}

func (env *environment) startAll(ctx context.Context) error {
	for n := range engineCount {
		env.endpoints = append(env.endpoints, &endpoint{options: runner.Options{
			ID: fmt.Sprintf("engine-%d", n+1), Service: operator.Engines, Zone: zone(n), Slots: 8, Events: streamEvents, Delay: streamPause, Version: engineVersion(n + 1), ShowVersion: true,
		}})
	}
	for n := range orderCount {
		env.endpoints = append(env.endpoints, &endpoint{options: runner.Options{
			ID: fmt.Sprintf("orders-%d", n+1), Service: operator.Orders, Zone: zone(n), Slots: 4, Delay: orderPause,
		}})
	}
	for _, e := range env.endpoints {
		if err := env.startEndpoint(e, 0); err != nil {
			return err
		}
	}
	if err := env.startBatchEndpoint(); err != nil {
		return err
	}
	for n := range env.options.Daemons {
		d, err := env.startDaemon(n)
		if err != nil {
			return err
		}
		env.daemons = append(env.daemons, d)
		env.daemonByAddress[d.port(operator.FrontendPort)] = d
	}
	return env.awaitReady(ctx)
}

// engineVersion returns the software version of the nth engine. Both serve side by side.
func engineVersion(n int) string { return fmt.Sprint("v", 1+(n-1)/2%2) }

// otherVersion returns the version to which an engine changes.
func otherVersion(version string) string {
	if version == engineVersion(1) {
		return engineVersion(engineCount)
	}
	return engineVersion(1)
}

// zone returns the failure domain of the nth daemon or endpoint of a kind.
func zone(n int) string { return string(rune('a' + n%zoneCount)) }

// startEndpoint starts a new incarnation of an endpoint under the same name.
func (env *environment) startEndpoint(e *endpoint, clockOffset time.Duration) error {
	if e.link == nil {
		var err error
		// The target is set below, before the address is published.
		if e.link, err = newLink(env.loopbackIP(0), ""); err != nil {
			return err
		}
	}
	o := e.options
	o.Advertise, o.ClockOffset, o.OnStart, o.Heartbeat = e.link.address(), clockOffset, e.link.setTarget, endpointHeartbeat
	if o.Service == operator.Engines {
		o.Crashes = env.poison.crash
		o.OnCrash = func([]string) { env.recordCrash(e, env.poison.part()) }
	}
	started, err := runner.Start(env.store, o)
	if err != nil {
		return errors.Trace(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnations = append(e.incarnations, started)
	return nil
}

// currentRunner returns the stand-in of the endpoint's latest incarnation.
func (e *endpoint) currentRunner() *runner.Runner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnations[len(e.incarnations)-1]
}

// publish publishes the next configuration version, with a number of routes that
// nobody uses. Each version has a key of its own, so that callers can tell which
// version a daemon applies.
func (env *environment) publish(unusedRoutes int) {
	env.history.recordPublication(func() int {
		return env.operator.Publish(func(document map[string]any) {
			addBatchRoute(document)
			operator.AddRoutes(document, unusedRoutes)
			operator.SetTenants(document,
				operator.Tenant{Name: operator.Organisation, Keys: []string{operator.APIKey, versionKey(document["Version"].(int))}},
				operator.Tenant{Name: cappedOrganisation, Keys: []string{cappedKey}, Rate: cappedRate, Burst: cappedBurst})
		})
	})
}

// versionKey returns the key that is valid only in this configuration version.
func versionKey(version int) string { return fmt.Sprintf("key-%d", version) }

// dial connects a caller to a daemon through the daemon's caller link.
func (env *environment) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d := env.daemonByAddress[address]; d != nil {
		address = d.callers.address()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

func (env *environment) awaitReady(ctx context.Context) error {
	c := caller.New(env.dial)
	defer c.Close()
	deadline := time.Now().Add(readyTimeout)
	for _, d := range env.daemons {
		for {
			list, err := c.Resolve(ctx, d.port(operator.DirectoryPort), operator.Host)
			if err == nil && len(list) == len(env.daemons) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s does not list all daemons after %v; see its log in %s", d.name, readyTimeout, d.dir)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// allEndpoints returns the endpoints that faults affect and that of batchRoute.
func (env *environment) allEndpoints() []*endpoint {
	if env.batches == nil {
		return env.endpoints
	}
	return append(env.endpoints[:len(env.endpoints):len(env.endpoints)], env.batches)
}

func (env *environment) close() {
	env.restarts.Wait()
	for _, d := range env.daemons {
		d.close()
	}
	for _, e := range env.allEndpoints() {
		for _, r := range e.incarnations {
			r.Close()
		}
		if e.link != nil {
			e.link.close()
		}
	}
	env.store.Close()
}
