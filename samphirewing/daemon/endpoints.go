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
	// enginePollInterval is the interval at which an owner polls an engine for
	// its load and cache events.
	enginePollInterval = 500 * time.Millisecond
	enginePollTimeout  = 2 * time.Second
)

// EndpointClientFactory creates the clients of endpoints. Each wire format has its
// own implementation.
type EndpointClientFactory interface {
	Engine(name structs.EndpointName, address string) edge.Engine
	Service(name structs.EndpointName, address string) edge.Service
}

// endpointRegistry holds one client for each declared endpoint.
type endpointRegistry struct {
	factory EndpointClientFactory
	mu      sync.RWMutex
	byName  map[structs.EndpointName]*endpointClient
}

type endpointClient struct {
	address   string
	isService bool
	engine    edge.Engine
	service   edge.Service
}

// endpointAddress is the address of a declared endpoint.
type endpointAddress struct {
	name      structs.EndpointName
	address   string
	isService bool
}

func newEndpointRegistry(factory EndpointClientFactory) *endpointRegistry {
	return &endpointRegistry{factory: factory, byName: make(map[structs.EndpointName]*endpointClient)}
}

// setDeclared replaces the set of endpoints. The client of an endpoint with an
// unchanged address is reused.
func (e *endpointRegistry) setDeclared(declared []endpointAddress) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[structs.EndpointName]*endpointClient, len(declared))
	for _, a := range declared {
		next[a.name] = e.reuseOrCreate(a)
	}
	e.byName = next
}

func (e *endpointRegistry) reuseOrCreate(a endpointAddress) *endpointClient {
	old, ok := e.byName[a.name]
	if ok && old.address == a.address && old.isService == a.isService {
		return old
	}
	c := &endpointClient{address: a.address, isService: a.isService}
	if a.isService {
		c.service = e.factory.Service(a.name, a.address)
	} else {
		c.engine = e.factory.Engine(a.name, a.address)
	}
	return c
}

func (e *endpointRegistry) engine(name structs.EndpointName) (edge.Engine, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	c, ok := e.byName[name]
	if !ok || c.isService {
		return nil, false
	}
	return c.engine, true
}

func (e *endpointRegistry) service(name structs.EndpointName) (edge.Service, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	c, ok := e.byName[name]
	if !ok || !c.isService {
		return nil, false
	}
	return c.service, true
}

// enginePoller polls the engines of the shards owned by this daemon for load and
// cache events.
type enginePoller struct {
	clock     clock.Clock
	endpoints *endpointRegistry
	owners    *ownerRole
	// ownedEndpoints returns the endpoints of the shards owned by this daemon.
	ownedEndpoints func() []ownedEndpoint

	active map[ownedEndpoint]context.CancelFunc
}

type ownedEndpoint struct {
	shard entry.Shard
	name  structs.EndpointName
}

// run keeps one polling goroutine running per owned endpoint until the context
// ends.
func (p *enginePoller) run(ctx context.Context) {
	p.active = make(map[ownedEndpoint]context.CancelFunc)
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	for {
		p.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts polling newly owned endpoints and stops polling those no longer
// owned.
func (p *enginePoller) reconcile(ctx context.Context) {
	wanted := make(map[ownedEndpoint]bool)
	for _, o := range p.ownedEndpoints() {
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

func (p *enginePoller) poll(ctx context.Context, o ownedEndpoint) {
	var lastSequence uint64
	for {
		if engine, ok := p.endpoints.engine(o.name); ok {
			p.reportLoad(ctx, o, engine)
			lastSequence = p.reportCacheEvents(ctx, o, engine, lastSequence)
		}
		if !sleep(ctx, enginePollInterval) {
			return
		}
	}
}

func (p *enginePoller) reportLoad(ctx context.Context, o ownedEndpoint, engine edge.Engine) {
	ctx, stop := context.WithTimeout(ctx, enginePollTimeout)
	defer stop()
	load, err := engine.Load(ctx)
	if err != nil {
		return
	}
	p.owners.enqueueIfRunning(o.shard, scheduling.LoadReport{
		Endpoint:      o.name,
		AsOf:          p.clock.Now().Add(-load.Age),
		Running:       load.Running,
		Waiting:       load.Waiting,
		TokensInUse:   load.TokensInUse,
		TokenCapacity: load.TokenCapacity,
	})
}

// reportCacheEvents reports the cache events after lastSequence and returns the
// highest sequence number reported.
func (p *enginePoller) reportCacheEvents(ctx context.Context, o ownedEndpoint, engine edge.Engine, lastSequence uint64) uint64 {
	ctx, stop := context.WithTimeout(ctx, enginePollTimeout)
	defer stop()
	events, err := engine.CacheEvents(ctx, lastSequence)
	if err != nil {
		return lastSequence
	}
	for _, ev := range events {
		p.owners.enqueueIfRunning(o.shard, scheduling.CacheEvent{
			Endpoint: o.name, Sequence: ev.Sequence,
			Stored: ev.Stored, Dropped: ev.Dropped, Cleared: ev.Cleared,
		})
		lastSequence = max(lastSequence, ev.Sequence)
	}
	return lastSequence
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }
