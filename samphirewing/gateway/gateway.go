package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/endpointlimit"
	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/coordination/memorybudget"
	"github.com/samphirewing/samphirewing/coordination/quota"
	"github.com/samphirewing/samphirewing/coordination/retrybudget"
	"github.com/samphirewing/samphirewing/coordination/rollout"
	"github.com/samphirewing/samphirewing/coordination/stopping"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// advanceInterval is how often waiting requests are re-evaluated without an
// event. It bounds how late an expired request is refused.
const advanceInterval = 20 * time.Millisecond

// Options configures a Gateway.
type Options struct {
	FailureDomain instance.FailureDomain
	Dialect       Dialect
	Client        *forward.Client
	Events        events.Sink
	Metrics       metrics.Registry
	// Tracer records a span for each hop; nil records none.
	Tracer trace.Tracer
	// RetryRatio is the number of retries that each request adds to its pool's
	// budget. RetryAllowance is the number that all daemons together may add to
	// it in each retry window.
	RetryRatio     float64
	RetryAllowance float64
	// Instances is the number of daemons assumed until peers are known.
	Instances int
	// FirstStart is set when the whole system starts for the first time, so
	// that no earlier incarnation of this instance has used any quota.
	FirstStart bool
	// Memory is the account of the memory held for others; nil bounds nothing.
	Memory *memorybudget.Account
	// Dispatch replaces the default settings of decisions if it is not nil.
	Dispatch *dispatch.Settings
	// Rollout holds the bounds of rollouts.
	Rollout rollout.Settings
	// RefreshStreams reads from the store where streams began, in a read that is sent
	// after the call. Nil means that streams go on at any version.
	RefreshStreams func(ctx context.Context) error
	// RegistryKnown returns until when the endpoints are known as the registry had them,
	// and whether that can be said of now; nil means always.
	RegistryKnown func() (knownAt time.Time, current bool)
}

// Gateway forwards requests. It is safe for concurrent use.
type Gateway struct {
	options Options
	table   atomic.Pointer[routing.Table]
	metrics metricSet
	// ended ends when the requests in progress are ended, since the daemon stops.
	ended       context.Context
	endRequests context.CancelFunc

	mu        sync.Mutex
	scheduler *dispatch.Scheduler
	// endpointNames maps the endpoint hashes in peers' reports to names.
	endpointNames map[uint32]structs.EndpointName
	// organisationNames maps the hashes of organisations with a quota to names.
	organisationNames map[uint32][]structs.OrganisationName
	quotas            *quota.Limiter
	budgets           map[structs.PoolName]*retrybudget.Budget
	instances         int
	waiters           map[*dispatch.Request]chan decision
	activeRequests    int
	stop              stopping.Schedule
	poison            *poisonGuard
	// limits holds the rate limits that endpoints name, limited the usable
	// endpoints that have one.
	limits  *endpointlimit.Table
	limited map[structs.EndpointName]struct{}
	// listed holds the endpoints that the registry lists, leaving those that have
	// said in an answer that they leave.
	listed  []endpointset.Endpoint
	leaving leavingEndpoints
	// backoffs holds until when endpoints have asked for no requests.
	backoffs backoffs
	// endpointsByKey maps the keys of limits to the usable endpoints.
	endpointsByKey map[endpointlimit.Key]structs.EndpointName
	overShares     overShares
	assignedAt     time.Time
	// shares is the use by organisation at sharesAt.
	shares   aggregation.Organisations
	sharesAt time.Time
	// unpromised holds when the schedule of a rank was last logged as full.
	unpromised map[fairshare.Group]time.Time
	// answerBytes is the mean size of the pools' answers.
	answerBytes map[structs.PoolName]float64
	// storeEpoch is the latest epoch of the store's offsets that is known.
	storeEpoch atomic.Uint64
	// feeds holds the feeds of the store's topics.
	feeds   map[string]*Feed
	streams *streams
	// rollouts holds the orders to move services to new versions.
	rollouts *rollout.Table
	// rolloutTopic is the topic of their statuses.
	rolloutTopic string
}

// decision is the result for a waiting request: a grant, a refusal, or that it has no
// place before the daemon stops.
type decision struct {
	grant    *dispatch.Grant
	refusal  *dispatch.Refusal
	stopping bool
	// retryAfter is what the caller is told if the daemon stops.
	retryAfter time.Duration
}

// New returns a Gateway. The caller must run Run in a goroutine.
func New(o Options) *Gateway {
	if o.Tracer == nil {
		o.Tracer = telemetry.NoopTracer()
	}
	m := newMetricSet(o.Metrics)
	g := &Gateway{
		options: o, metrics: m, poison: newPoisonGuard(o.Events, m), scheduler: dispatch.New(o.FailureDomain),
		quotas: quota.New(quota.Settings{FirstStart: o.FirstStart, Instances: max(o.Instances, 1)}), budgets: map[structs.PoolName]*retrybudget.Budget{},
		instances: max(o.Instances, 1), waiters: map[*dispatch.Request]chan decision{}, feeds: map[string]*Feed{}, limits: endpointlimit.New(max(o.Instances, 1)), limited: map[structs.EndpointName]struct{}{},
		leaving: leavingEndpoints{}, backoffs: backoffs{}, overShares: overShares{}, unpromised: map[fairshare.Group]time.Time{},
		answerBytes: map[structs.PoolName]float64{}, rollouts: rollout.New(o.Rollout, ""), streams: newStreams(time.Now(), o.FirstStart),
	}
	g.ended, g.endRequests = context.WithCancel(context.Background())
	if o.Dispatch != nil {
		g.scheduler.Configure(*o.Dispatch)
	}
	g.scheduler.SetVersions(g.rollouts)
	if o.RefreshStreams != nil {
		g.scheduler.SetAdmittedVersions(g.streams)
	}
	return g
}

// Run re-evaluates waiting requests periodically until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Guard("advance", g.advanceWaiting)
			g.streams.tick(time.Now())
		}
	}
}

func (g *Gateway) advanceWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sampleEpisodesLocked(now)
	g.updateDomainsLocked(now)
	if len(g.waiters) > 0 {
		g.advanceLocked(now)
		g.refuseWaitingLocked(now)
	}
}

// SetTable applies a version of the configuration. It returns false and changes
// nothing if the version is not newer than the current one.
func (g *Gateway) SetTable(t *routing.Table) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.table.Load()
	if old != nil && t.Version <= old.Version {
		return false
	}
	g.table.Store(t)
	g.streams.setTable(time.Now(), t)
	g.scheduler.SetTable(t)
	limits := quotaLimits(t)
	g.quotas.SetLimits(time.Now(), limits)
	g.organisationNames = make(map[uint32][]structs.OrganisationName, len(limits))
	for _, l := range limits {
		key := hash(string(l.Organisation))
		g.organisationNames[key] = append(g.organisationNames[key], l.Organisation)
	}
	g.advanceLocked(time.Now())
	previous := int64(0)
	if old != nil {
		previous = old.Version
	}
	g.options.Events.Emit(EventConfigurationApplied, events.F("version", t.Version), events.F("previous", previous))
	return true
}

func quotaLimits(t *routing.Table) []quota.Limit {
	var limits []quota.Limit
	for _, o := range t.Organisations {
		if o.Rate > 0 {
			limits = append(limits, quota.Limit{Organisation: o.Name, Rate: o.Rate, Burst: o.Burst})
		}
	}
	return limits
}

// Version returns the current version of the configuration, or zero if there is
// none.
func (g *Gateway) Version() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// SetEndpoints replaces the endpoints that the registry lists as usable.
func (g *Gateway) SetEndpoints(listed []endpointset.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = listed
	g.applyEndpointsLocked(time.Now())
}

// applyEndpointsLocked applies the listed endpoints without those that have said
// that they leave. Requests in progress there go on.
func (g *Gateway) applyEndpointsLocked(now time.Time) {
	all := g.leaving.usable(now, g.listed)
	addresses := make(map[string]bool, len(all))
	names := make(map[uint32]structs.EndpointName, len(all))
	byKey := make(map[endpointlimit.Key]structs.EndpointName, len(all))
	for _, e := range all {
		addresses[e.Address] = true
		byKey[startKey(e)] = e.Name
		names[endpointHash(e.Name)] = e.Name
	}
	g.options.Client.Retain(addresses)
	g.endpointNames, g.endpointsByKey = names, byKey
	g.rollouts.SetEndpoints(now, all)
	g.streams.setEndpoints(now, all)
	g.scheduler.SetEndpoints(all)
	g.metrics.leavingEndpoints.Update(int64(len(g.leaving)))
	g.retainLimitsLocked(names)
	g.applyBackoffsLocked(now)
	g.advanceLocked(now)
}

// ActiveRequests returns the number of requests that are waiting or in flight.
func (g *Gateway) ActiveRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.activeRequests
}

func (g *Gateway) advanceLocked(now time.Time) {
	grants, refusals := g.scheduler.Advance(now)
	for _, grant := range grants {
		g.notifyLocked(grant.Request, decision{grant: grant})
	}
	for _, refusal := range refusals {
		g.notifyLocked(refusal.Request, decision{refusal: refusal})
	}
}

func (g *Gateway) notifyLocked(r *dispatch.Request, d decision) {
	g.waiters[r] <- d
	delete(g.waiters, r)
}

// awaitDecision submits a request to the scheduler and waits for a grant, a
// refusal, or the end of ctx.
func (g *Gateway) awaitDecision(ctx context.Context, r *dispatch.Request) (decision, error) {
	immediate, decided := g.offer(r)
	if decided == nil {
		return immediate, nil
	}
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		return decision{}, g.withdraw(r, decided, ctx.Err())
	}
}

// offer submits a request to the scheduler. It returns the decision, or a channel
// that will receive it.
func (g *Gateway) offer(r *dispatch.Request) (decision, chan decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	grant, refusal := g.scheduler.Offer(now, r)
	if r.Returned() {
		g.metrics.returned.Inc(1)
	}
	if g.scheduler.Displaced() {
		// Displaced requests are answered before any of them can be withdrawn.
		defer g.advanceLocked(now)
	}
	if grant != nil || refusal != nil {
		return decision{grant: grant, refusal: refusal}, nil
	}
	decided := make(chan decision, 1)
	g.waiters[r] = decided
	return decision{}, decided
}

// withdraw removes a waiting request from the scheduler. A grant issued in the
// meantime is released.
func (g *Gateway) withdraw(r *dispatch.Request, decided chan decision, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.Withdraw(r) {
		delete(g.waiters, r)
		return cause
	}
	if d := <-decided; d.grant != nil {
		g.releaseLocked(d.grant, dispatch.Abandoned)
	}
	return cause
}

func (g *Gateway) recordFirstEvent(grant *dispatch.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.recordTimeLocked(now, grant)
	g.scheduler.RecordFirstEvent(now, grant)
	g.advanceLocked(now)
}

func (g *Gateway) finishGrant(grant *dispatch.Grant, result dispatch.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked(grant, result)
}

func (g *Gateway) releaseLocked(grant *dispatch.Grant, result dispatch.Result) {
	now := time.Now()
	g.recordResultLocked(now, grant, result)
	g.scheduler.Release(now, grant, result)
	g.advanceLocked(now)
}

// releaseUnfinished releases the slot of a grant whose result nothing has recorded,
// such as after a panic.
func (g *Gateway) releaseUnfinished(grant *dispatch.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if grant.Released() {
		return
	}
	g.options.Events.Emit(EventGrantUnfinished, events.F("request", grant.Request.ID), events.F("endpoint", grant.Endpoint.Name))
	g.releaseLocked(grant, dispatch.Abandoned)
}

// budgetLocked returns a pool's retry budget and creates it if needed.
func (g *Gateway) budgetLocked(pool structs.PoolName) *retrybudget.Budget {
	b := g.budgets[pool]
	if b == nil {
		created := retrybudget.New(retrybudget.Settings{
			PerGrant: g.options.RetryRatio * usableRetryFraction,
			Max:      g.maxRetriesLocked(),
		})
		b = &created
		g.budgets[pool] = b
	}
	return b
}

// maxRetriesLocked returns this daemon's share of the retry allowance.
func (g *Gateway) maxRetriesLocked() float64 {
	return g.options.RetryAllowance * usableRetryFraction / float64(g.instances)
}

// setInstancesLocked divides the retry allowance among the given number of
// daemons.
func (g *Gateway) setInstancesLocked(instances int) {
	if instances == g.instances {
		return
	}
	g.instances = instances
	for _, b := range g.budgets {
		b.SetMax(g.maxRetriesLocked())
	}
}

// SetRetryBudget changes the retry budget. Budgets are reset only if a value
// has changed, so that repeated reloads add no retries.
func (g *Gateway) SetRetryBudget(ratio, allowance float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ratio == g.options.RetryRatio && allowance == g.options.RetryAllowance {
		return
	}
	g.options.RetryRatio, g.options.RetryAllowance = ratio, allowance
	clear(g.budgets)
}

// usableRetryFraction is the fraction of the retry budget that is used. The
// rest covers restarted daemons, which start with a full share.
const usableRetryFraction = 0.8

// acquireRetry takes one retry from the pool's budget. It returns false if none
// is left.
func (g *Gateway) acquireRetry(pool structs.PoolName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgetLocked(pool).Take(time.Now())
}

func (g *Gateway) countFirstSend(pool structs.PoolName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgetLocked(pool).RecordGrant()
	g.rollouts.Sent(pool)
}
