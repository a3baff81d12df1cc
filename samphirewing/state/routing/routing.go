// Package routing holds one version of the configuration for forwarded
// requests: which host and path are routed to which pool, who may send
// requests, and which requests may be retried. A Table is immutable.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// RetrySafety states how a request may be retried once it may have run.
type RetrySafety int8

const (
	// AtMostOnce requests are never retried once they may have run.
	AtMostOnce RetrySafety = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may be resumed on another endpoint after their last
	// complete event.
	Resumable
)

// Backend is a pool of a route. Its share of the route's traffic is Weight divided
// by the total weight of the route's backends.
type Backend struct {
	Pool   structs.PoolName
	Weight float64
}

// Route states how requests for a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Streaming routes are answered with a series of events.
	Streaming   bool
	RetrySafety RetrySafety
	// Timeout is the maximum time from arrival to answer; zero means no limit.
	Timeout time.Duration
	// LatencyTarget is the latency objective. For streams it applies to the
	// first event.
	LatencyTarget time.Duration
	// EventGapTarget is the objective for the longest pause between events.
	EventGapTarget time.Duration
	Rank           structs.Rank
	// MaxEndpoints bounds the endpoints that a request may be sent to.
	MaxEndpoints int
	// Public routes require no API key.
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
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the size of one engine's KV cache.
	CacheTokens structs.Tokens
	// TokensPerEvent is the number of tokens in one stream event.
	TokensPerEvent int
}

// Organisation is a customer and its quota.
type Organisation struct {
	Name structs.OrganisationName
	// Rank takes precedence over the route's rank if HasRank is set.
	Rank    structs.Rank
	HasRank bool
	// Rate is the quota in tokens per second and Burst the maximum that
	// accumulates, over all daemons. A zero Rate means no quota.
	Rate  float64
	Burst float64
	// DefaultTokens is the quota charge of a request without token counts.
	DefaultTokens structs.Tokens
}

// Limits bounds callers' requests.
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

// New returns a Table. keys maps each API key to its organisation.
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
// routes, or nil. path is the raw path, without decoding.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ResumablePools returns the pools of the routes whose streams may be resumed.
func (t *Table) ResumablePools() map[structs.PoolName]bool {
	pools := map[structs.PoolName]bool{}
	for _, routes := range t.routes {
		for _, r := range routes {
			if !r.Streaming || r.RetrySafety != Resumable {
				continue
			}
			for _, b := range r.Backends {
				pools[b.Pool] = true
			}
		}
	}
	return pools
}

// HasOrganisations reports whether requests for routes that are not public must
// carry an API key.
func (t *Table) HasOrganisations() bool { return len(t.Organisations) > 0 }

// OrganisationForKey returns the organisation that an API key belongs to, or
// nil.
func (t *Table) OrganisationForKey(key string) *Organisation { return t.keys[key] }

// routeRanksPerOrganisationRank is the number of route ranks distinguished
// within one organisation rank; less urgent routes share the last.
const routeRanksPerOrganisationRank = 16

// EffectiveRank returns the rank of a request. Requests are ordered by the
// organisation's rank, or the route's if the organisation has none, and then by
// the route's rank.
func (t *Table) EffectiveRank(r *Route, o *Organisation) structs.Rank {
	primary := r.Rank
	if o != nil && o.HasRank {
		primary = o.Rank
	}
	return routeRanksPerOrganisationRank*primary + min(r.Rank, routeRanksPerOrganisationRank-1)
}

// HasBackend reports whether the route's requests may be sent to a pool.
func (r *Route) HasBackend(pool structs.PoolName) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Pool == pool })
}

// PoolFor returns the pool that serves a request, or an empty name if the route
// has no backends. point lies in [0, 1) and distributes requests over the route's
// pools by weight.
func (r *Route) PoolFor(point float64) structs.PoolName {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := point * total
	for _, b := range r.Backends {
		if remaining < b.Weight {
			return b.Pool
		}
		remaining -= b.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Pool
}
