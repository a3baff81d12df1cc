// Package poolowner is the decision core of one pool shard: what waits, where
// it goes, what is refused.
//
// An Owner is a single-threaded state machine. Step and Tick take events and
// the time; Ready returns the effects to carry out. It starts no goroutine and
// reads no clock, and the same events with the same seed give the same
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

// Owner decides for one pool shard. It is not safe for concurrent use.
type Owner struct {
	options Options
	now     time.Time
	random  *rand.Rand

	// requests holds every request that has been offered and has not ended.
	requests map[structs.RequestID]*request
	waiting  *queue.Queue
	timers   *indexheap.Heap[*request]
	entries  map[entryLife]*entryRequests
	ended    endedMemory
	keys     keyMemory

	pool      scheduling.PoolSpec
	endpoints map[structs.EndpointName]*endpoint
	// ordered holds every endpoint by name.
	ordered    []*endpoint
	byNumber   map[int]*endpoint
	lastNumber int
	targets    map[structs.Target]*targetSet
	prefixes   *prefixindex.Index
	outputs    *estimate.LengthPredictor
	retries    retrybudget.Budget
	shedder    *admission.Shedder

	// policy chooses, and roomFilters tell whether an endpoint has room at all.
	policy      placement.Policy
	roomFilters []placement.Filter
	// These are working memory of one decision.
	chosen   []*endpoint
	nodes    []placement.Node
	found    []int
	blocked  []blockedTarget
	current  placement.Work
	roomNode placement.Node

	lastGrant  scheduling.GrantID
	sequence   uint64
	takenOver  bool
	shedding   bool
	lastShed   time.Time
	lastSweep  time.Time
	lastHealth time.Time
	effects    []scheduling.Effect
	decisions  decisionRing
	accounting Totals
}

// sweepInterval is the time between two clean-ups of memory.
const sweepInterval = 10 * time.Second

// seedStream tells the owner's random numbers from others of the same seed.
const seedStream = 0x706f6f6c

// New returns an owner that knows nothing: no endpoint until Configure, and
// no shedding until TakeoverDone.
func New(o Options) *Owner {
	o = o.withDefaults()
	owner := &Owner{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, seedStream)),
		requests:  map[structs.RequestID]*request{},
		waiting:   queue.New(),
		timers:    indexheap.New(timerBefore, func(r *request, i int) { r.timerPosition = i }),
		entries:   map[entryLife]*entryRequests{},
		ended:     newEndedMemory(o.EndedLimit, o.EndedFor),
		keys:      newKeyMemory(o.KeyFor),
		endpoints: map[structs.EndpointName]*endpoint{},
		byNumber:  map[int]*endpoint{},
		targets:   map[structs.Target]*targetSet{},
		prefixes:  prefixindex.New(o.prefixBlocksEach(0)),
		outputs:   estimate.New(estimate.DefaultMaxKinds),
		retries:   retrybudget.New(o.Retries),
		shedder:   admission.New(o.Shards),
		decisions: newDecisionRing(o.DecisionLimit),
	}
	owner.buildPolicy()
	return owner
}

// Step takes one event in. Times must not fall; a time that does is read as
// the latest one seen.
func (o *Owner) Step(now time.Time, e scheduling.Event) {
	o.advance(now)
	switch e := e.(type) {
	case scheduling.Offer:
		o.offer(e)
	case scheduling.Withdraw:
		o.withdraw(e)
	case scheduling.Return:
		o.giveBack(e)
	case scheduling.Progress:
		o.progress(e)
	case scheduling.Finish:
		o.finish(e)
	case scheduling.EntryLost:
		o.entryLost(e)
	case scheduling.Configure:
		o.configure(e.Pool)
	case scheduling.LoadReport:
		o.loadReport(e)
	case scheduling.CacheEvent:
		o.cacheEvent(e)
	case scheduling.TakeoverDone:
		o.takenOver = true
	case scheduling.SiblingReport:
		o.siblingReport(e)
	}
	o.decide()
}

// Tick lets time pass: deadlines, expiries and clean-ups. Call it several
// times a second.
func (o *Owner) Tick(now time.Time) {
	o.advance(now)
	if o.now.Sub(o.lastHealth) >= healthInterval {
		o.lastHealth = o.now
		o.learnTypical()
		o.watchEndpoints()
	}
	if o.now.Sub(o.lastSweep) >= sweepInterval {
		o.sweep()
	}
	o.waiting.Resume(resumedPerTick)
	o.decide()
}

func (o *Owner) siblingReport(r scheduling.SiblingReport) {
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

func (o *Owner) decide() {
	o.place()
	o.shed()
	o.checkAccounting()
}

func (o *Owner) sweep() {
	o.lastSweep = o.now
	o.waiting.Sweep()
	o.ended.sweep(o.now)
	o.keys.sweep(o.now)
}

func (o *Owner) emit(e scheduling.Effect) { o.effects = append(o.effects, e) }
