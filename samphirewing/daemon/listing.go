package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	// listPollEvery is how often the platform's list is read.
	listPollEvery   = time.Second
	listPollTimeout = 3 * time.Second
)

// endpointListing polls the platform's membership list and keeps what it says
// of endpoints. An unreachable list changes nothing; leaving is kept until the
// list names the endpoint as live again at the same address.
type endpointListing struct {
	list    edge.MembershipList
	events  events.Sink
	self    func() edge.Member
	read    func([]edge.Member)
	changed func()

	mu        sync.RWMutex
	endpoints map[structs.EndpointName]edge.Member
	reachable bool
}

func (l *endpointListing) run(ctx context.Context) {
	ticker := time.NewTicker(listPollEvery)
	defer ticker.Stop()
	for {
		l.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *endpointListing) poll(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, listPollTimeout)
	defer stop()
	if self := l.self(); !self.Leaving {
		_ = l.list.Announce(ctx, self)
	}
	members, err := l.list.Members(ctx)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	l.noteReachable(err)
	if err != nil {
		return
	}
	if l.replace(members) {
		l.changed()
	}
	l.read(members)
}

func (l *endpointListing) noteReachable(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.reachable
	l.reachable = err == nil
	switch {
	case was && err != nil:
		l.events.Emit(EventListUnreachable, events.F("error", err.Error()))
	case !was && err == nil:
		l.events.Emit(EventListReachable)
	}
}

// replace keeps the endpoints' lines and tells whether any changed.
func (l *endpointListing) replace(members []edge.Member) bool {
	next := make(map[structs.EndpointName]edge.Member)
	for _, m := range members {
		if m.Kind == edge.MemberEndpoint {
			next[structs.EndpointName(m.Name)] = m
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	same := len(next) == len(l.endpoints)
	for name, m := range next {
		same = same && l.endpoints[name] == m
	}
	l.endpoints = next
	return !same
}

func (l *endpointListing) find(name structs.EndpointName) (edge.Member, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	m, ok := l.endpoints[name]
	return m, ok
}

func endpointAddresses(c *catalogue.Catalogue) []endpointAddress {
	var all []endpointAddress
	c.Endpoints(func(e catalogue.Endpoint) bool {
		all = append(all, endpointAddress{name: e.Name, address: e.Address, service: servesServices(c, e)})
		return true
	})
	return all
}

// servesServices tells a plain-service endpoint from a model engine by what
// its pool serves.
func servesServices(c *catalogue.Catalogue, e catalogue.Endpoint) bool {
	for _, target := range c.TargetsOf(e) {
		if _, ok := c.Service(target); ok {
			return true
		}
	}
	return false
}

// poolSpec returns the configuration of one shard and the pool's shard count.
// Each endpoint belongs to one shard, so that its window has one owner.
func (d *Daemon) poolSpec(s entry.Shard) (scheduling.PoolSpec, int, bool) {
	c := d.catalogue.Load()
	pool, ok := c.Pool(s.Pool)
	if !ok || s.Number >= max(1, pool.Shards) {
		return scheduling.PoolSpec{}, 0, false
	}
	spec := scheduling.PoolSpec{
		Name:         pool.Name,
		QueueLimit:   pool.QueueLimit,
		PreemptLower: pool.PreemptLower,
	}
	for i, e := range c.EndpointsOf(s.Pool) {
		if i%max(1, pool.Shards) == s.Number {
			spec.Endpoints = append(spec.Endpoints, d.endpointSpec(c, e))
		}
	}
	return spec, max(1, pool.Shards), true
}

func (d *Daemon) endpointSpec(c *catalogue.Catalogue, e catalogue.Endpoint) scheduling.EndpointSpec {
	listed, ok := d.listing.find(e.Name)
	return scheduling.EndpointSpec{
		Name:          e.Name,
		FailureDomain: e.FailureDomain,
		SpeedClass:    e.SpeedClass,
		Targets:       c.TargetsOf(e),
		Listed:        ok,
		Leaving:       listed.Leaving,
		Drained:       e.Drained,
	}
}

// ownedEndpoints returns the endpoints of the shards that run here.
func (d *Daemon) ownedEndpoints() []ownedEndpoint {
	var all []ownedEndpoint
	for _, o := range d.owners.running() {
		spec, _, ok := d.poolSpec(o.shard)
		if !ok {
			continue
		}
		for _, e := range spec.Endpoints {
			all = append(all, ownedEndpoint{shard: o.shard, name: e.Name})
		}
	}
	return all
}
