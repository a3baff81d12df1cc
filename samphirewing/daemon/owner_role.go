package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/coordination/poolowner"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/protocol/schedpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// siblingReportInterval is the interval at which the owners of a pool's shards
	// report their waiting requests to each other.
	siblingReportInterval = 250 * time.Millisecond
	// ownerTickInterval is the interval at which queue deadlines and grant
	// expiries are checked.
	ownerTickInterval = 50 * time.Millisecond
	// ownerIdleTickInterval replaces ownerTickInterval while a shard holds no
	// request.
	ownerIdleTickInterval = 500 * time.Millisecond
	// takeoverGrace is the time in which a new owner sheds nothing, so that entries
	// can re-offer their requests first.
	takeoverGrace = 2 * time.Second
)

// ownerRole runs one pool owner per shard that entries offer requests to. An
// instance serves a shard whenever an entry believes it to be the owner: two
// simultaneous owners cost goodput but cause no second dispatch, because each
// entry dispatches a request once.
type ownerRole struct {
	self   instance.Process
	clock  clock.Clock
	sender mesh.Sender
	spans  *queueSpans
	// ownerOf returns the instance that owns a shard.
	ownerOf  func(entry.Shard) (instance.ID, bool)
	events   events.Sink
	poolSpec func(entry.Shard) (scheduling.PoolSpec, int, bool)

	mu     sync.Mutex
	ctx    context.Context
	shards map[entry.Shard]*shardOwner
}

// shardOwner is one running pool owner. Only its own goroutine accesses the
// machine.
type shardOwner struct {
	shard      entry.Shard
	shardCount int
	machine    *poolowner.Owner
	// lastSiblingReport is the time of the last report to the other shards.
	lastSiblingReport time.Time
	events            *mailbox[scheduling.Event]
	queries           *mailbox[func(*poolowner.Owner)]
	stop              context.CancelFunc
}

func newOwnerRole(self instance.Process, c clock.Clock, sender mesh.Sender, spec func(entry.Shard) (scheduling.PoolSpec, int, bool)) *ownerRole {
	return &ownerRole{
		self:     self,
		clock:    c,
		sender:   sender,
		poolSpec: spec,
		shards:   make(map[entry.Shard]*shardOwner),
	}
}

// setContext sets the context of shard owners; none starts before it.
func (r *ownerRole) setContext(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
}

// enqueue passes an event to the owner of a shard, starting it if necessary.
func (r *ownerRole) enqueue(s entry.Shard, e scheduling.Event) {
	if o, ok := r.findOrStart(s, true); ok {
		o.events.post(e)
	}
}

// ensureStarted starts the owner of a shard if it is not running.
func (r *ownerRole) ensureStarted(s entry.Shard) { r.findOrStart(s, true) }

// enqueueIfRunning passes an event to the owner of a shard, and drops it if none
// runs here.
func (r *ownerRole) enqueueIfRunning(s entry.Shard, e scheduling.Event) {
	if o, ok := r.findOrStart(s, false); ok {
		o.events.post(e)
	}
}

func (r *ownerRole) findOrStart(s entry.Shard, create bool) (*shardOwner, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.shards[s]
	if ok || !create || r.ctx == nil {
		return o, ok
	}
	spec, shards, known := r.poolSpec(s)
	if !known {
		return nil, false
	}
	ctx, stop := context.WithCancel(r.ctx)
	o = &shardOwner{
		shard:      s,
		shardCount: shards,
		machine: poolowner.New(poolowner.Options{
			Pool: s.Pool, Shard: s.Number, Shards: shards,
			Self: r.self, Seed: uint64(r.self.Incarnation),
			Events:          r.events,
			ReofferInterval: entry.DefaultReofferInterval,
		}),
		events:  newMailbox[scheduling.Event](),
		queries: newMailbox[func(*poolowner.Owner)](),
		stop:    stop,
	}
	o.events.post(scheduling.Configure{Pool: spec})
	r.shards[s] = o
	go r.run(ctx, o)
	return o, true
}

func (r *ownerRole) run(ctx context.Context, o *shardOwner) {
	ticks := newPacer(ownerTickInterval, ownerIdleTickInterval)
	defer ticks.stop()
	takeover := time.NewTimer(takeoverGrace)
	defer takeover.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.events.ready():
			r.stepQueued(o)
		case <-o.queries.ready():
			for _, query := range o.queries.drain() {
				query(o.machine)
			}
		case <-takeover.C:
			o.machine.Step(r.clock.Now(), scheduling.TakeoverDone{})
		case <-ticks.ticker.C:
			now := r.clock.Now()
			o.machine.Tick(now)
			r.reportToSiblings(o, now)
		}
		r.execute(o)
		ticks.setIdle(o.machine.Idle())
	}
}

// reportToSiblings reports to the owners of the pool's other shards, so that none
// sheds a request while a less urgent one waits in another shard.
func (r *ownerRole) reportToSiblings(o *shardOwner, now time.Time) {
	if now.Sub(o.lastSiblingReport) < siblingReportInterval {
		return
	}
	o.lastSiblingReport = now
	for number := range o.shardCount {
		to := entry.Shard{Pool: o.shard.Pool, Number: number}
		owner, ok := r.ownerOf(to)
		if number == o.shard.Number || !ok {
			continue
		}
		sendMessage(r.sender, owner, kindSibling, siblingToWire(to, o.machine.SiblingReport()))
	}
}

func (r *ownerRole) stepQueued(o *shardOwner) {
	for _, e := range o.events.drain() {
		o.machine.Step(r.clock.Now(), e)
	}
}

func (r *ownerRole) execute(o *shardOwner) {
	for _, effect := range o.machine.Ready() {
		switch ef := effect.(type) {
		case scheduling.Grant:
			r.spans.end(ef.Request, nil)
			sendMessage(r.sender, ef.Entry.ID, kindGrant, grantToWire(o.shard, ef, r.self))
		case scheduling.Refuse:
			r.spans.end(ef.Request, ef.Refusal)
			sendMessage(r.sender, ef.Entry.ID, kindRefuse, refuseToWire(o.shard, ef))
		case scheduling.CancelRunning:
			sendMessage(r.sender, ef.Entry.ID, kindCancel, &schedpb.CancelRunning{
				RequestId:        string(ef.Request),
				Reason:           string(ef.Reason),
				EntryIncarnation: uint64(ef.Entry.Incarnation),
			})
		}
	}
}

// configure passes the current pool specifications to every running owner.
func (r *ownerRole) configure() {
	for _, o := range r.running() {
		if spec, _, ok := r.poolSpec(o.shard); ok {
			o.events.post(scheduling.Configure{Pool: spec})
		}
	}
}

// notifyEntryLost notifies every owner that an entry's process has ended.
func (r *ownerRole) notifyEntryLost(process instance.Process) {
	for _, o := range r.running() {
		o.events.post(scheduling.EntryLost{Entry: process})
	}
}

// stopUnowned stops the owners of shards that are owned by another instance, once
// they are idle.
func (r *ownerRole) stopUnowned(owned func(entry.Shard) bool) {
	for _, o := range r.running() {
		if owned(o.shard) {
			continue
		}
		idle := make(chan bool, 1)
		if r.query(o, func(m *poolowner.Owner) { idle <- m.Idle() }) && <-idle {
			r.stopOwner(o)
		}
	}
}

func (r *ownerRole) stopOwner(o *shardOwner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.stop()
	delete(r.shards, o.shard)
}

func (r *ownerRole) running() []*shardOwner {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*shardOwner, 0, len(r.shards))
	for _, o := range r.shards {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].shard.Less(all[j].shard) })
	return all
}

// queryTimeout bounds a query to the goroutine of an entry or a shard owner.
const queryTimeout = time.Second

// query runs f on the owner's goroutine and reports whether it ran within
// queryTimeout.
func (r *ownerRole) query(o *shardOwner, f func(*poolowner.Owner)) bool {
	done := make(chan struct{})
	o.queries.post(func(m *poolowner.Owner) {
		f(m)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-time.After(queryTimeout):
		return false
	}
}

// gauges returns a shard's gauges, and false if its owner does not answer in time.
func (r *ownerRole) gauges(o *shardOwner) (poolowner.Gauges, bool) {
	answer := make(chan poolowner.Gauges, 1)
	if !r.query(o, func(m *poolowner.Owner) { answer <- m.Gauges() }) {
		return poolowner.Gauges{}, false
	}
	return <-answer, true
}

// registerHandlers registers the handlers of messages from entries.
func (r *ownerRole) registerHandlers(reg mesh.Registrar) {
	reg.OnMessage(kindOffers, r.handleOffers)
	reg.OnMessage(kindWithdraw, func(_ instance.Process, m mesh.Message) {
		var w schedpb.Withdraw
		if decode(m, &w) {
			r.spans.end(structs.RequestID(w.RequestId), nil)
			r.enqueueIfRunning(shardOf(w.Pool, w.Shard), withdrawFromWire(&w))
		}
	})
	reg.OnMessage(kindReturn, func(_ instance.Process, m mesh.Message) {
		var returned schedpb.Return
		if decode(m, &returned) {
			r.enqueueIfRunning(shardOf(returned.Pool, returned.Shard), returnFromWire(&returned))
		}
	})
	reg.OnMessage(kindProgress, func(_ instance.Process, m mesh.Message) {
		var p schedpb.Progress
		if decode(m, &p) {
			r.enqueueIfRunning(shardOf(p.Pool, p.Shard), progressFromWire(&p))
		}
	})
	reg.OnMessage(kindSibling, func(_ instance.Process, m mesh.Message) {
		var s schedpb.SiblingReport
		if decode(m, &s) {
			r.enqueueIfRunning(shardOf(s.Pool, s.Shard), siblingFromWire(&s))
		}
	})
	reg.OnMessage(kindFinish, func(_ instance.Process, m mesh.Message) {
		var f schedpb.Finish
		if decode(m, &f) {
			r.enqueueIfRunning(shardOf(f.Pool, f.Shard), finishFromWire(&f))
		}
	})
}

func (r *ownerRole) handleOffers(from instance.Process, m mesh.Message) {
	var batch schedpb.OfferBatch
	if !decode(m, &batch) {
		return
	}
	now := r.clock.Now()
	s := shardOf(batch.Pool, batch.Shard)
	for _, o := range batch.Offers {
		offer := offerFromWire(o, s.Pool, from, now)
		r.spans.start(offer)
		r.enqueue(s, offer)
	}
}

// shardNumberFor assigns a request to a shard by its target and first prompt
// block, so that prompts with a common prefix reach the same endpoints. Requests
// without a prefix are spread evenly.
func shardNumberFor(r structs.Request, shards int) int {
	if shards <= 1 {
		return 0
	}
	if len(r.Prefix) > 0 {
		return int(uint64(r.Prefix[0]) % uint64(shards))
	}
	return int(hashString(string(r.Organisation)+"/"+string(r.ID)) % uint64(shards))
}
