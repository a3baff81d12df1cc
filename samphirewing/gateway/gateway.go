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

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/quota"
	"github.com/samphirewing/samphirewing/coordination/retrybudget"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// advanceInterval is how often waiting requests are looked at without an
// event; it bounds how late an expired request is refused.
const advanceInterval = 20 * time.Millisecond

// Options set a Gateway up.
type Options struct {
	FailureDomain instance.FailureDomain
	Dialect       Dialect
	Client        *forward.Client
	Events        events.Sink
	Metrics       metrics.Registry
	// Tracer records a span for each hop; nil records none.
	Tracer trace.Tracer
	// RetryRatio is how many retries each request earns its pool, and
	// RetryAllowance how many all daemons together may add in RetryWindow.
	RetryRatio     float64
	RetryAllowance float64
	// Instances is how many daemons are assumed until peers are known.
	Instances int
	// Fresh tells that the whole system starts for the first time, so that no
	// earlier life of this instance has used any quota.
	Fresh bool
}

// Gateway forwards requests. It is safe for concurrent use.
type Gateway struct {
	options Options
	table   atomic.Pointer[routing.Table]
	meters  meters

	mu        sync.Mutex
	scheduler *dispatch.Scheduler
	// endpointNames finds endpoints by the hashes in peers' reports.
	endpointNames map[uint32]structs.EndpointName
	quotas        *quota.Limiter
	budgets       map[structs.PoolName]*retrybudget.Budget
	instances     int
	waiters       map[*dispatch.Request]chan decision
	held          int
	stop          stopTimes
}

// stopTimes are set once the daemon has been told to stop.
type stopTimes struct {
	// lateAfter is when requests that may outlast exitAt are refused.
	lateAfter time.Time
	exitAt    time.Time
}

// decision is what a waiting request is told.
type decision struct {
	grant   *dispatch.Grant
	refusal *dispatch.Refusal
}

// New returns a Gateway. Run must be called beside it.
func New(o Options) *Gateway {
	if o.Tracer == nil {
		o.Tracer = telemetry.NoopTracer()
	}
	return &Gateway{
		options: o, meters: newMeters(o.Metrics), scheduler: dispatch.New(o.FailureDomain),
		quotas: quota.New(quota.Settings{FirstStart: o.Fresh, Instances: max(o.Instances, 1)}), budgets: map[structs.PoolName]*retrybudget.Budget{},
		instances: max(o.Instances, 1), waiters: map[*dispatch.Request]chan decision{},
	}
}

// Run looks at waiting requests until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.mu.Lock()
			if len(g.waiters) > 0 {
				g.advanceLocked(time.Now())
			}
			g.mu.Unlock()
		}
	}
}

// SetTable puts a version of the configuration in force. Older versions than
// the one in force are refused.
func (g *Gateway) SetTable(t *routing.Table) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.table.Load()
	if old != nil && t.Version <= old.Version {
		return false
	}
	g.table.Store(t)
	g.scheduler.SetTable(t)
	g.quotas.SetLimits(time.Now(), quotaLimits(t))
	g.advanceLocked(time.Now())
	from := int64(0)
	if old != nil {
		from = old.Version
	}
	g.options.Events.Emit(EventConfigurationInForce, events.F("version", t.Version), events.F("previous", from))
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

// Version returns the version in force, or zero.
func (g *Gateway) Version() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// SetEndpoints replaces the usable endpoints.
func (g *Gateway) SetEndpoints(all []endpointset.Endpoint) {
	addresses := make(map[string]bool, len(all))
	names := make(map[uint32]structs.EndpointName, len(all))
	for _, e := range all {
		addresses[e.Address] = true
		names[endpointHash(e.Name)] = e.Name
	}
	g.options.Client.Retain(addresses)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpointNames = names
	g.scheduler.SetEndpoints(all)
	g.advanceLocked(time.Now())
}

// Stopping tells the gateway that the process ends at exitAt. Requests that
// come after lateAfter and may last longer are refused; callers that still
// hold this daemon's address are served until then.
func (g *Gateway) Stopping(lateAfter, exitAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop = stopTimes{lateAfter: lateAfter, exitAt: exitAt}
}

// outlasts returns whether a request comes too late to be ended before the
// process is.
func (g *Gateway) outlasts(arrived, endsAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stop.exitAt.IsZero() && arrived.After(g.stop.lateAfter) && endsAt.After(g.stop.exitAt)
}

// Held returns how many requests are in the daemon's hands.
func (g *Gateway) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

func (g *Gateway) advanceLocked(now time.Time) {
	grants, refusals := g.scheduler.Advance(now)
	for _, grant := range grants {
		g.tellLocked(grant.Request, decision{grant: grant})
	}
	for _, refusal := range refusals {
		g.tellLocked(refusal.Request, decision{refusal: refusal})
	}
}

func (g *Gateway) tellLocked(r *dispatch.Request, d decision) {
	g.waiters[r] <- d
	delete(g.waiters, r)
}

// place waits for a grant, a refusal, or the end of ctx.
func (g *Gateway) place(ctx context.Context, r *dispatch.Request) (decision, error) {
	g.mu.Lock()
	grant, refusal := g.scheduler.Offer(time.Now(), r)
	if grant != nil || refusal != nil {
		g.mu.Unlock()
		return decision{grant: grant, refusal: refusal}, nil
	}
	told := make(chan decision, 1)
	g.waiters[r] = told
	g.mu.Unlock()
	select {
	case d := <-told:
		return d, nil
	case <-ctx.Done():
		return decision{}, g.withdraw(r, told, ctx.Err())
	}
}

// withdraw takes a waiting request back; a grant that crossed it is returned.
func (g *Gateway) withdraw(r *dispatch.Request, told chan decision, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.Withdraw(r) {
		delete(g.waiters, r)
		return cause
	}
	if d := <-told; d.grant != nil {
		g.scheduler.Release(time.Now(), d.grant, dispatch.Abandoned)
		g.advanceLocked(time.Now())
	}
	return cause
}

func (g *Gateway) firstEvent(grant *dispatch.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.scheduler.RecordFirstEvent(now, grant)
	g.advanceLocked(now)
}

func (g *Gateway) ended(grant *dispatch.Grant, result dispatch.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.scheduler.Release(now, grant, result)
	g.advanceLocked(now)
}

// budgetLocked returns a pool's retry budget.
func (g *Gateway) budgetLocked(pool structs.PoolName) *retrybudget.Budget {
	b := g.budgets[pool]
	if b == nil {
		made := retrybudget.New(retrybudget.Settings{
			PerGrant: g.options.RetryRatio * retryMargin,
			Max:      g.mostRetriesLocked(),
		})
		b = &made
		g.budgets[pool] = b
	}
	return b
}

// mostRetriesLocked is this daemon's share of the allowance.
func (g *Gateway) mostRetriesLocked() float64 {
	return g.options.RetryAllowance * retryMargin / float64(g.instances)
}

// setInstancesLocked divides the allowance anew among so many daemons.
func (g *Gateway) setInstancesLocked(instances int) {
	if instances == g.instances {
		return
	}
	g.instances = instances
	for _, b := range g.budgets {
		b.SetMax(g.mostRetriesLocked())
	}
}

// SetRetryBudget changes the retry budget. Budgets begin anew only when a
// figure has changed, so that repeated reloads add nothing.
func (g *Gateway) SetRetryBudget(ratio, allowance float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ratio == g.options.RetryRatio && allowance == g.options.RetryAllowance {
		return
	}
	g.options.RetryRatio, g.options.RetryAllowance = ratio, allowance
	clear(g.budgets)
}

// retryMargin is the part of the retry budget that is used; the rest covers
// restarted daemons, which begin with a full share.
const retryMargin = 0.8

// mayRetry takes one retry out of the pool's budget.
func (g *Gateway) mayRetry(pool structs.PoolName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgetLocked(pool).Take(time.Now())
}

func (g *Gateway) countFirstSend(pool structs.PoolName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgetLocked(pool).RecordGrant()
}
