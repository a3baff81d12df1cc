// Package routing holds one whole version of the configuration for forwarded
// requests: which host and path go to which pool, who may send them, and what
// may be repeated. A Table never changes after it is built.
package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Repeatability says what may happen to a request that may already have run.
type Repeatability int8

const (
	// AtMostOnce requests are never sent again once they may have run.
	AtMostOnce Repeatability = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may be continued on another endpoint after their last
	// whole event.
	Resumable
)

// Backend is one pool of a route with its share of the route's traffic.
type Backend struct {
	Pool   structs.PoolName
	Weight float64
}

// Route says where requests for a host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Streaming routes are answered with a series of events.
	Streaming bool
	Repeat    Repeatability
	// Timeout is the longest that the operator wants a request kept; zero
	// means no limit.
	Timeout time.Duration
	// Target is the latency objective; of streams, up to the first event.
	Target time.Duration
	// GapTarget is the longest pause between events that is still on time.
	GapTarget time.Duration
	Rank      structs.Rank
	// MaxEndpoints bounds the endpoints that one request may be sent to.
	MaxEndpoints int
	// Public routes need no key.
	Public   bool
	Backends []Backend
}

// Pool is a set of endpoints that do the same work.
type Pool struct {
	Name structs.PoolName
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CacheTokens is the size of one engine's KV cache.
	CacheTokens structs.Tokens
	// EventTokens is how many tokens one stream event holds.
	EventTokens int
}

// Organisation is one customer and its quota.
type Organisation struct {
	Name structs.OrganisationName
	// Rank goes before the route's rank when HasRank is set.
	Rank    structs.Rank
	HasRank bool
	// Rate is the quota in tokens a second and Burst what may be saved up, over
	// all daemons; a zero Rate means no quota.
	Rate  float64
	Burst float64
	// DefaultTokens is what a request without token counts costs.
	DefaultTokens structs.Tokens
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int64
}

// Table is one version of the configuration.
type Table struct {
	Version       int64
	Pools         map[structs.PoolName]*Pool
	Organisations []*Organisation
	Limits        Limits

	// routes holds each host's routes, longest prefix first.
	routes map[string][]*Route
	keys   map[string]*Organisation
}

// New returns a Table. keys maps each key to the organisation that holds it.
func New(version int64, routes []*Route, pools []*Pool, organisations []*Organisation, keys map[string]*Organisation, limits Limits) *Table {
	t := &Table{
		Version: version, Pools: make(map[structs.PoolName]*Pool, len(pools)), Organisations: organisations,
		Limits: limits, routes: map[string][]*Route{}, keys: keys,
	}
	for _, p := range pools {
		t.Pools[p.Name] = p
	}
	for _, r := range routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Route returns the route with the longest prefix of path among the host's
// routes, or nil. path is compared as sent, without decoding.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasOrganisations returns whether requests must carry a key.
func (t *Table) HasOrganisations() bool { return len(t.Organisations) > 0 }

// Holder returns the organisation that holds a key, or nil.
func (t *Table) Holder(key string) *Organisation { return t.keys[key] }

// routeRanks is how many ranks of routes there are inside one rank of
// organisations; less urgent routes share the last.
const routeRanks = 16

// RankOf returns the rank of a request: the organisation's own rank, or the
// route's where it has none, goes first; among equals the route's decides.
func (t *Table) RankOf(r *Route, o *Organisation) structs.Rank {
	first := r.Rank
	if o != nil && o.HasRank {
		first = o.Rank
	}
	return routeRanks*first + min(r.Rank, routeRanks-1)
}

// PoolFor returns the pool that serves a request. point lies in [0, 1) and
// spreads requests over a split route's pools by weight.
func (r *Route) PoolFor(point float64) structs.PoolName {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := point * total
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Pool
		}
		at -= b.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Pool
}
