package platform

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Values of RouteType in the configuration document.
const (
	routeIdempotent    = "idempotent"
	routeNonIdempotent = "non_idempotent"
	routeStreaming     = "streaming"
)

// configurationDocument is the operator's configuration as stored. A Service is
// the name of an endpoint pool; Tenants are the organisations.
type configurationDocument struct {
	Version int64
	Routes  []struct {
		Name            string
		Host            string
		PathPrefix      string
		RouteType       string
		TimeoutMs       float64
		TargetLatencyMs float64
		// Priority is the route's rank; 0 is the most urgent.
		Priority int32
		Service  string
		Backends []struct {
			Service string
			Weight  float64
		}
		// MaxAttempts bounds the endpoints that a request may be sent to.
		MaxAttempts int
		Public      bool
		Resumable   bool
		GapTargetMs float64
	}
	Services []struct {
		Name   string
		Engine *struct {
			Slots int
			// KvCapacity is the size of an engine's KV cache in tokens.
			KvCapacity int64
			// Stride is the number of tokens in one stream event.
			Stride int
		}
	}
	Limits struct {
		MaxBodyBytes int64
	}
	Tenants []struct {
		Name    string
		ApiKeys []string
		// Priority is the organisation's rank; null means the route's rank.
		Priority *int32
		// UncachedTokens is the quota charge of requests without token counts.
		UncachedTokens int64
		RatePerS       float64
		Burst          float64
	}
}

// decodeConfiguration decodes the operator's document into a routing table.
func decodeConfiguration(text []byte) (*routing.Table, error) {
	var d configurationDocument
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, errors.Annotate(err, "configuration document")
	}
	routes := make([]*routing.Route, 0, len(d.Routes))
	for i := range d.Routes {
		routes = append(routes, d.route(i))
	}
	organisations, keys := d.organisations()
	return routing.New(d.Version, routes, d.pools(), organisations, keys, routing.Limits{MaxBodyBytes: d.Limits.MaxBodyBytes}), nil
}

func (d *configurationDocument) route(i int) *routing.Route {
	r := &d.Routes[i]
	route := &routing.Route{
		Name: r.Name, Host: r.Host, Prefix: r.PathPrefix, Streaming: r.RouteType == routeStreaming,
		Timeout: millis(r.TimeoutMs), LatencyTarget: millis(r.TargetLatencyMs), EventGapTarget: millis(r.GapTargetMs),
		Rank: structs.Rank(r.Priority), MaxEndpoints: max(r.MaxAttempts, 1), Public: r.Public,
	}
	switch {
	case r.RouteType == routeIdempotent:
		route.RetrySafety = routing.Idempotent
	case r.RouteType == routeStreaming && r.Resumable:
		route.RetrySafety = routing.Resumable
	default:
		route.RetrySafety = routing.AtMostOnce
	}
	for _, b := range r.Backends {
		route.Backends = append(route.Backends, routing.Backend{Pool: structs.PoolName(b.Service), Weight: b.Weight})
	}
	if len(route.Backends) == 0 {
		route.Backends = []routing.Backend{{Pool: structs.PoolName(r.Service), Weight: 1}}
	}
	return route
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (d *configurationDocument) pools() []*routing.Pool {
	pools := make([]*routing.Pool, 0, len(d.Services))
	for _, s := range d.Services {
		p := &routing.Pool{Name: structs.PoolName(s.Name)}
		if s.Engine != nil {
			p.Engine = &routing.Engine{Slots: s.Engine.Slots, CacheTokens: structs.Tokens(s.Engine.KvCapacity), TokensPerEvent: s.Engine.Stride}
		}
		pools = append(pools, p)
	}
	return pools
}

func (d *configurationDocument) organisations() ([]*routing.Organisation, map[string]*routing.Organisation) {
	var all []*routing.Organisation
	keys := map[string]*routing.Organisation{}
	for _, t := range d.Tenants {
		o := &routing.Organisation{
			Name: structs.OrganisationName(t.Name), Rate: t.RatePerS, Burst: t.Burst,
			DefaultTokens: structs.Tokens(t.UncachedTokens),
		}
		if t.Priority != nil {
			o.Rank, o.HasRank = structs.Rank(*t.Priority), true
		}
		all = append(all, o)
		for _, key := range t.ApiKeys {
			keys[key] = o
		}
	}
	return all, keys
}

// configurationReader applies new versions of the operator's document.
type configurationReader struct {
	noopReader
	apply  func(*routing.Table) bool
	orders *orderReader
	events events.Sink
}

func (c *configurationReader) applyListing(records []keyedRecord, _ int64) bool {
	// Orders precede the configuration without which nothing is sent.
	c.orders.apply(records, true)
	c.applyConfiguration(records)
	// Versions never decrease, so a stale listing is harmless.
	return true
}

func (c *configurationReader) epochBegan() { c.orders.restored = true }

func (c *configurationReader) applyChanges(records []keyedRecord) {
	c.orders.apply(records, false)
	c.applyConfiguration(records)
}

func (c *configurationReader) applyConfiguration(records []keyedRecord) {
	for _, r := range records {
		if r.Key != keyConfiguration || r.Value == nil {
			continue
		}
		table, err := decodeConfiguration(r.Value)
		if err != nil {
			c.events.Emit(EventConfigurationFault, events.F("offset", r.Offset), events.F("error", err))
			continue
		}
		c.apply(table)
	}
}
