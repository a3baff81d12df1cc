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
	// engines and orders are how many endpoints each pool has: one may be gone
	// and one leaving.
	engines = 4
	orders  = 4
	// The engines' streams and the time between their events.
	streamEvents = 5
	streamPause  = 15 * time.Millisecond
	orderPause   = 5 * time.Millisecond
	// capped is the organisation with a quota, in tokens.
	capped      = "capped"
	cappedKey   = "capped-key"
	cappedRate  = 20000
	cappedBurst = 40000
	// readyTimeout bounds the start of all daemons.
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// endpoint is one endpoint behind a link. Its process is a stand-in; each
// start is a new one.
type endpoint struct {
	options runner.Options
	link    *link

	claim
	mu    sync.Mutex
	lives []*runner.Runner
}

// world is the daemons and what surrounds them.
type world struct {
	options   Options
	store     *metastore.Store
	operator  *operator.Operator
	daemons   []*daemon
	endpoints []*endpoint
	history   *history
	// byAddress finds a daemon by its published address.
	byAddress map[string]*daemon
}

// ip returns the nth loopback address of this world. Worlds that run at the
// same time have different ones.
func (w *world) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+w.options.Seed%200, 1+os.Getpid()%250, 1+n)
}

func startWorld(ctx context.Context, o Options) (*world, error) {
	store, err := metastore.Start()
	if err != nil {
		return nil, errors.Trace(err)
	}
	w := &world{options: o, store: store, operator: operator.New(store), history: newHistory(), byAddress: map[string]*daemon{}}
	w.publish()
	if err := w.startAll(ctx); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) startAll(ctx context.Context) error {
	for n := range engines {
		w.endpoints = append(w.endpoints, &endpoint{options: runner.Options{
			ID: fmt.Sprintf("engine-%d", n+1), Service: operator.Engines, Zone: "a", Slots: 8, Events: streamEvents, Pause: streamPause,
		}})
	}
	for n := range orders {
		w.endpoints = append(w.endpoints, &endpoint{options: runner.Options{
			ID: fmt.Sprintf("orders-%d", n+1), Service: operator.Orders, Zone: "a", Slots: 4, Pause: orderPause,
		}})
	}
	for _, e := range w.endpoints {
		if err := w.startEndpoint(e, 0); err != nil {
			return err
		}
	}
	for n := range w.options.Daemons {
		d, err := w.startDaemon(n)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		w.byAddress[d.port(operator.FrontendPort)] = d
	}
	return w.awaitReady(ctx)
}

// startEndpoint starts an endpoint, under the name that it had.
func (w *world) startEndpoint(e *endpoint, clockOffset time.Duration) error {
	if e.link == nil {
		var err error
		// The target is set below, before the address is published.
		if e.link, err = newLink(w.ip(0), ""); err != nil {
			return err
		}
	}
	o := e.options
	o.Advertise, o.ClockOffset, o.OnStart = e.link.address(), clockOffset, e.link.setTarget
	started, err := runner.Start(w.store, o)
	if err != nil {
		return errors.Trace(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lives = append(e.lives, started)
	return nil
}

// current returns the endpoint's newest life.
func (e *endpoint) current() *runner.Runner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lives[len(e.lives)-1]
}

// publish puts the next configuration out. Each has a key of its own, so that
// callers see which is in force.
func (w *world) publish() {
	w.history.publishing(func() int {
		return w.operator.Publish(func(document map[string]any) {
			operator.SetTenants(document,
				operator.Tenant{Name: operator.Organisation, Keys: []string{operator.Key, versionKey(document["Version"].(int))}},
				operator.Tenant{Name: capped, Keys: []string{cappedKey}, Rate: cappedRate, Burst: cappedBurst})
		})
	})
}

// versionKey is the key that only one configuration holds.
func versionKey(version int) string { return fmt.Sprintf("key-%d", version) }

// dial connects callers through the links before the daemons.
func (w *world) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d := w.byAddress[address]; d != nil {
		address = d.callers.address()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

func (w *world) awaitReady(ctx context.Context) error {
	c := caller.New(w.dial)
	defer c.Close()
	deadline := time.Now().Add(readyTimeout)
	for _, d := range w.daemons {
		for {
			list, err := c.Resolve(ctx, d.port(operator.DirectoryPort), operator.Host)
			if err == nil && len(list) == len(w.daemons) {
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

func (w *world) close() {
	for _, d := range w.daemons {
		d.close()
	}
	for _, e := range w.endpoints {
		for _, r := range e.lives {
			r.Close()
		}
		if e.link != nil {
			e.link.close()
		}
	}
	w.store.Close()
}
