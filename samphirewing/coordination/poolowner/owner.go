// Package poolowner implements the scheduling decisions of one pool shard: it
// queues offered requests, grants them to endpoints and refuses them.
//
// An Owner is a single-threaded state machine. Step and Tick take events and
// the time; Ready returns the effects to carry out. It starts no goroutine and
// reads no clock, and the same events with the same seed produce the same
// effects.
package poolowner

import (
	"math/rand/v2"
	"time"

	"github.com/samphirewing/samphirewing/coordination/admission"
	"github.com/samphirewing/samphirewing/coordination/estimate"
	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/coordination/placement"
	"github.com/samphirewing/samphirewing/coordination/prefixindex"
	"github.com/samphirewing/samphirewing/coordination/queue"
	"github.com/samphirewing/samphirewing/coordination/retrybudget"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Owner schedules the requests of one pool shard. It is not safe for concurrent
// use.
type Owner struct {
	options Options
	now     time.Time
	random  *rand.Rand

	// requests holds the offered requests that have not finished.
	requests    map[structs.RequestID]*request
	waiting     *queue.Queue
	timers      *indexheap.Heap[*request]
	entries     map[entryIncarnation]*entryRequests
	finished    finishedRequests
	grantedKeys grantedKeys

	pool      scheduling.PoolSpec
	endpoints map[structs.EndpointName]*endpoint
	// ordered holds all endpoints, sorted by name.
	ordered    []*endpoint
	byNumber   map[int]*endpoint
	lastNumber int
	targets    map[structs.Target]*targetSet
	prefixes   *prefixindex.Index
	outputs    *estimate.LengthPredictor
	retries    retrybudget.Budget
	shedder    *admission.Shedder

	// policy chooses an endpoint. roomFilters is the subset of its filters that
	// decides whether an endpoint has room at all.
	policy      placement.Policy
	roomFilters []placement.Filter
	// Scratch memory of one decision.
	candidates  []*endpoint
	nodes       []placement.Node
	holders     []int
	blocked     []blockedTarget
	currentWork placement.Work
	roomNode    placement.Node

	lastGrant       scheduling.GrantID
	sequence        uint64
	takeoverDone    bool
	shedding        bool
	lastShed        time.Time
	lastSweep       time.Time
	lastHealthCheck time.Time
	effects         []scheduling.Effect
	decisions       decisionRing
	totals          Totals
}

// sweepInterval is the time between clean-ups of expired records.
const sweepInterval = 10 * time.Second

// seedStream separates the owner's random numbers from other generators with
// the same seed.
const seedStream = 0x706f6f6c

// New returns an owner without endpoints. It grants nothing until Configure and
// sheds nothing until TakeoverDone.
func New(o Options) *Owner {
	o = o.withDefaults()
	owner := &Owner{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, seedStream)),
		requests:    map[structs.RequestID]*request{},
		waiting:     queue.New(),
		timers:      indexheap.New(timerBefore, func(r *request, i int) { r.timerPosition = i }),
		entries:     map[entryIncarnation]*entryRequests{},
		finished:    newFinishedRequests(o.FinishedLimit, o.FinishedRetention),
		grantedKeys: newGrantedKeys(o.KeyRetention),
		endpoints:   map[structs.EndpointName]*endpoint{},
		byNumber:    map[int]*endpoint{},
		targets:     map[structs.Target]*targetSet{},
		prefixes:    prefixindex.New(o.prefixBlocksPerEndpoint(0)),
		outputs:     estimate.New(estimate.DefaultMaxKinds),
		retries:     retrybudget.New(o.RetryBudget),
		shedder:     admission.New(o.Shards),
		decisions:   newDecisionRing(o.DecisionLimit),
	}
	owner.buildPolicy()
	return owner
}

// Step applies one event. Times must not decrease; an earlier time is treated
// as the latest one seen.
func (o *Owner) Step(now time.Time, e scheduling.Event) {
	o.advance(now)
	switch e := e.(type) {
	case scheduling.Offer:
		o.handleOffer(e)
	case scheduling.Withdraw:
		o.handleWithdraw(e)
	case scheduling.Return:
		o.handleReturn(e)
	case scheduling.Progress:
		o.handleProgress(e)
	case scheduling.Finish:
		o.handleFinish(e)
	case scheduling.EntryLost:
		o.handleEntryLost(e)
	case scheduling.Configure:
		o.configure(e.Pool)
	case scheduling.LoadReport:
		o.handleLoadReport(e)
	case scheduling.CacheEvent:
		o.handleCacheEvent(e)
	case scheduling.TakeoverDone:
		o.takeoverDone = true
	case scheduling.SiblingReport:
		o.handleSiblingReport(e)
	}
	o.schedule()
}

// Tick advances the time: it expires deadlines, checks endpoints and cleans up.
// Call it several times a second.
func (o *Owner) Tick(now time.Time) {
	o.advance(now)
	if o.now.Sub(o.lastHealthCheck) >= healthCheckInterval {
		o.lastHealthCheck = o.now
		o.updateTypicalSpeeds()
		o.checkEndpointHealth()
	}
	if o.now.Sub(o.lastSweep) >= sweepInterval {
		o.sweep()
	}
	o.waiting.Resume(maxResumedPerTick)
	o.schedule()
}

func (o *Owner) handleSiblingReport(r scheduling.SiblingReport) {
	if r.Shard == o.options.Shard {
		return
	}
	o.shedder.Observe(o.now, admission.Report{Shard: r.Shard, LowestRank: r.LowestRank, Waiting: r.Waiting})
}

// Ready returns the effects since the last call, in order.
func (o *Owner) Ready() []scheduling.Effect {
	effects := o.effects
	o.effects = nil
	return effects
}

func (o *Owner) advance(now time.Time) {
	if now.After(o.now) {
		o.now = now
	}
	o.fireTimers()
}

func (o *Owner) schedule() {
	o.placeWaiting()
	o.shed()
	o.checkAccounting()
}

func (o *Owner) sweep() {
	o.lastSweep = o.now
	o.waiting.Sweep()
	o.finished.expire(o.now)
	o.grantedKeys.expire(o.now)
}

func (o *Owner) emit(e scheduling.Effect) { o.effects = append(o.effects, e) }
