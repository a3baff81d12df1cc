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
	// listPollInterval is the interval at which the membership list is read.
	listPollInterval = time.Second
	listPollTimeout  = 3 * time.Second
)

// membershipPoller announces this daemon on the platform's membership list, polls
// the list and caches its endpoints. While the list is unreachable, the cached
// endpoints stay as they are, including their leaving marks.
type membershipPoller struct {
	list               edge.MembershipList
	events             events.Sink
	self               func() edge.Member
	onRead             func([]edge.Member)
	onEndpointsChanged func()

	mu        sync.RWMutex
	endpoints map[structs.EndpointName]edge.Member
	reachable bool
}

func (l *membershipPoller) run(ctx context.Context) {
	ticker := time.NewTicker(listPollInterval)
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

func (l *membershipPoller) poll(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, listPollTimeout)
	defer stop()
	if self := l.self(); !self.Leaving {
		_ = l.list.Announce(ctx, self)
	}
	members, err := l.list.Members(ctx)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	l.recordReachability(err)
	if err != nil {
		return
	}
	if l.replaceEndpoints(members) {
		l.onEndpointsChanged()
	}
	l.onRead(members)
}

// recordReachability logs when the list becomes unreachable or reachable again.
func (l *membershipPoller) recordReachability(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasReachable := l.reachable
	l.reachable = err == nil
	switch {
	case wasReachable && err != nil:
		l.events.Emit(EventListUnreachable, events.F("error", err.Error()))
	case !wasReachable && err == nil:
		l.events.Emit(EventListReachable)
	}
}

// replaceEndpoints replaces the cached endpoints and reports whether any changed.
func (l *membershipPoller) replaceEndpoints(members []edge.Member) bool {
	next := make(map[structs.EndpointName]edge.Member)
	for _, m := range members {
		if m.Kind == edge.MemberEndpoint {
			next[structs.EndpointName(m.Name)] = m
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	unchanged := len(next) == len(l.endpoints)
	for name, m := range next {
		unchanged = unchanged && l.endpoints[name] == m
	}
	l.endpoints = next
	return !unchanged
}

func (l *membershipPoller) endpoint(name structs.EndpointName) (edge.Member, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	m, ok := l.endpoints[name]
	return m, ok
}

func endpointAddresses(c *catalogue.Catalogue) []endpointAddress {
	var addresses []endpointAddress
	c.Endpoints(func(e catalogue.Endpoint) bool {
		addresses = append(addresses, endpointAddress{name: e.Name, address: e.Address, isService: isServiceEndpoint(c, e)})
		return true
	})
	return addresses
}

// isServiceEndpoint reports whether an endpoint runs plain services rather than a
// model engine, judged by the targets of its pool.
func isServiceEndpoint(c *catalogue.Catalogue, e catalogue.Endpoint) bool {
	for _, target := range c.TargetsOf(e) {
		if _, ok := c.Service(target); ok {
			return true
		}
	}
	return false
}

// poolSpec returns the configuration of one shard and the pool's shard count.
// Each endpoint belongs to exactly one shard, so that a single owner manages its
// window.
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
	listed, ok := d.membershipPoller.endpoint(e.Name)
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

// ownedEndpoints returns the endpoints of the shards that run on this daemon.
func (d *Daemon) ownedEndpoints() []ownedEndpoint {
	var owned []ownedEndpoint
	for _, o := range d.owners.running() {
		spec, _, ok := d.poolSpec(o.shard)
		if !ok {
			continue
		}
		for _, e := range spec.Endpoints {
			owned = append(owned, ownedEndpoint{shard: o.shard, name: e.Name})
		}
	}
	return owned
}
