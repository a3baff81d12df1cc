package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	// pollEvery is how often an owner asks an engine for its load and cache
	// events.
	pollEvery   = 500 * time.Millisecond
	pollTimeout = 2 * time.Second
)

// EdgeClients makes the clients of endpoints; a new wire format is another
// implementation.
type EdgeClients interface {
	Engine(name structs.EndpointName, address string) edge.Engine
	Service(name structs.EndpointName, address string) edge.Service
}

// endpoints keeps one client for each declared endpoint.
type endpoints struct {
	clients EdgeClients
	mu      sync.RWMutex
	known   map[structs.EndpointName]*endpointClient
}

type endpointClient struct {
	address string
	service bool
	engine  edge.Engine
	caller  edge.Service
}

// endpointAddress is where a declared endpoint is reached.
type endpointAddress struct {
	name    structs.EndpointName
	address string
	service bool
}

func newEndpoints(clients EdgeClients) *endpoints {
	return &endpoints{clients: clients, known: make(map[structs.EndpointName]*endpointClient)}
}

// declare replaces the set of endpoints; a client is kept while its address
// stays.
func (e *endpoints) declare(all []endpointAddress) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[structs.EndpointName]*endpointClient, len(all))
	for _, a := range all {
		next[a.name] = e.keepOrMake(a)
	}
	e.known = next
}

func (e *endpoints) keepOrMake(a endpointAddress) *endpointClient {
	old, ok := e.known[a.name]
	if ok && old.address == a.address && old.service == a.service {
		return old
	}
	c := &endpointClient{address: a.address, service: a.service}
	if a.service {
		c.caller = e.clients.Service(a.name, a.address)
	} else {
		c.engine = e.clients.Engine(a.name, a.address)
	}
	return c
}

func (e *endpoints) engine(name structs.EndpointName) (edge.Engine, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	c, ok := e.known[name]
	if !ok || c.service {
		return nil, false
	}
	return c.engine, true
}

func (e *endpoints) service(name structs.EndpointName) (edge.Service, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	c, ok := e.known[name]
	if !ok || !c.service {
		return nil, false
	}
	return c.caller, true
}

// poller asks the engines of the shards owned here for load and cache events.
type poller struct {
	clock     clock.Clock
	endpoints *endpoints
	owners    *ownerRole
	// owned returns the endpoints of each shard that is owned here.
	owned func() []ownedEndpoint

	active map[ownedEndpoint]context.CancelFunc
}

type ownedEndpoint struct {
	shard entry.Shard
	name  structs.EndpointName
}

// run keeps one polling goroutine per owned endpoint until the context ends.
func (p *poller) run(ctx context.Context) {
	p.active = make(map[ownedEndpoint]context.CancelFunc)
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		p.adjust(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *poller) adjust(ctx context.Context) {
	wanted := make(map[ownedEndpoint]bool)
	for _, o := range p.owned() {
		wanted[o] = true
		if _, ok := p.active[o]; !ok {
			pollCtx, stop := context.WithCancel(ctx)
			p.active[o] = stop
			go p.poll(pollCtx, o)
		}
	}
	for o, stop := range p.active {
		if !wanted[o] {
			stop()
			delete(p.active, o)
		}
	}
}

func (p *poller) poll(ctx context.Context, o ownedEndpoint) {
	var seen uint64
	for {
		if engine, ok := p.endpoints.engine(o.name); ok {
			p.reportLoad(ctx, o, engine)
			seen = p.reportCache(ctx, o, engine, seen)
		}
		if !sleep(ctx, pollEvery) {
			return
		}
	}
}

func (p *poller) reportLoad(ctx context.Context, o ownedEndpoint, engine edge.Engine) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	load, err := engine.Load(ctx)
	if err != nil {
		return
	}
	p.owners.stepRunning(o.shard, scheduling.LoadReport{
		Endpoint:      o.name,
		AsOf:          p.clock.Now().Add(-load.Age),
		Running:       load.Running,
		Waiting:       load.Waiting,
		TokensInUse:   load.TokensInUse,
		TokenCapacity: load.TokenCapacity,
	})
}

func (p *poller) reportCache(ctx context.Context, o ownedEndpoint, engine edge.Engine, seen uint64) uint64 {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	events, err := engine.CacheEvents(ctx, seen)
	if err != nil {
		return seen
	}
	for _, ev := range events {
		p.owners.stepRunning(o.shard, scheduling.CacheEvent{
			Endpoint: o.name, Sequence: ev.Sequence,
			Stored: ev.Stored, Dropped: ev.Dropped, Cleared: ev.Cleared,
		})
		seen = max(seen, ev.Sequence)
	}
	return seen
}

func hashText(s string) uint64 { return xxhash.Sum64String(s) }
