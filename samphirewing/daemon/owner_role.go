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
	// siblingEvery is how often the shards of one pool tell each other what
	// waits in them.
	siblingEvery = 250 * time.Millisecond
	// ownerTick is how often queue deadlines and grant expiries are looked at.
	ownerTick = 50 * time.Millisecond
	// ownerIdleTick is the same while a shard holds no request.
	ownerIdleTick = 500 * time.Millisecond
	// takeoverGrace is how long a new owner sheds nothing, so that the
	// entries can offer again what they hold.
	takeoverGrace = 2 * time.Second
)

// ownerRole runs one pool owner per shard that entries offer to. Whoever an
// entry believes to be the owner serves it: two owners at once cost goodput,
// never a second dispatch, because each entry dispatches once.
type ownerRole struct {
	self   instance.Process
	clock  clock.Clock
	sender mesh.Sender
	spans  *placeSpans
	// ownerOf returns the instance that owns a shard.
	ownerOf func(entry.Shard) (instance.ID, bool)
	events  events.Sink
	spec    func(entry.Shard) (scheduling.PoolSpec, int, bool)

	mu     sync.Mutex
	ctx    context.Context
	shards map[entry.Shard]*shardOwner
}

// shardOwner is one running pool owner. Its machine is touched only by its
// own goroutine.
type shardOwner struct {
	shard   entry.Shard
	shards  int
	machine *poolowner.Owner
	// told is when the other shards were last told what waits here.
	told   time.Time
	events *mailbox[scheduling.Event]
	asks   *mailbox[func(*poolowner.Owner)]
	stop   context.CancelFunc
}

func newOwnerRole(self instance.Process, c clock.Clock, sender mesh.Sender, spec func(entry.Shard) (scheduling.PoolSpec, int, bool)) *ownerRole {
	return &ownerRole{
		self:   self,
		clock:  c,
		sender: sender,
		spec:   spec,
		shards: make(map[entry.Shard]*shardOwner),
	}
}

// start sets the context that shard owners live in.
func (r *ownerRole) start(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
}

// step passes an event to the owner of a shard, which is started when needed.
func (r *ownerRole) step(s entry.Shard, e scheduling.Event) {
	if o, ok := r.owner(s, true); ok {
		o.events.post(e)
	}
}

// ensure starts the owner of a shard.
func (r *ownerRole) ensure(s entry.Shard) { r.owner(s, true) }

// stepRunning passes an event on only if the shard has an owner here.
func (r *ownerRole) stepRunning(s entry.Shard, e scheduling.Event) {
	if o, ok := r.owner(s, false); ok {
		o.events.post(e)
	}
}

func (r *ownerRole) owner(s entry.Shard, create bool) (*shardOwner, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.shards[s]
	if ok || !create || r.ctx == nil {
		return o, ok
	}
	spec, shards, known := r.spec(s)
	if !known {
		return nil, false
	}
	ctx, stop := context.WithCancel(r.ctx)
	o = &shardOwner{
		shard:  s,
		shards: shards,
		machine: poolowner.New(poolowner.Options{
			Pool: s.Pool, Shard: s.Number, Shards: shards,
			Self: r.self, Seed: uint64(r.self.Incarnation),
			Events:          r.events,
			ReofferInterval: entry.DefaultReofferInterval,
		}),
		events: newMailbox[scheduling.Event](),
		asks:   newMailbox[func(*poolowner.Owner)](),
		stop:   stop,
	}
	o.events.post(scheduling.Configure{Pool: spec})
	r.shards[s] = o
	go r.run(ctx, o)
	return o, true
}

func (r *ownerRole) run(ctx context.Context, o *shardOwner) {
	ticks := newPacer(ownerTick, ownerIdleTick)
	defer ticks.stop()
	takeover := time.NewTimer(takeoverGrace)
	defer takeover.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.events.ready():
			r.stepAll(o)
		case <-o.asks.ready():
			for _, ask := range o.asks.take() {
				ask(o.machine)
			}
		case <-takeover.C:
			o.machine.Step(r.clock.Now(), scheduling.TakeoverDone{})
		case <-ticks.ticker.C:
			now := r.clock.Now()
			o.machine.Tick(now)
			r.tellSiblings(o, now)
		}
		r.carryOut(o)
		ticks.pace(o.machine.Idle())
	}
}

// tellSiblings reports to the owners of the pool's other shards, so that none
// sheds while less urgent work waits in another.
func (r *ownerRole) tellSiblings(o *shardOwner, now time.Time) {
	if now.Sub(o.told) < siblingEvery {
		return
	}
	o.told = now
	for number := range o.shards {
		to := entry.Shard{Pool: o.shard.Pool, Number: number}
		owner, ok := r.ownerOf(to)
		if number == o.shard.Number || !ok {
			continue
		}
		sendMessage(r.sender, owner, kindSibling, siblingToWire(to, o.machine.SiblingReport()))
	}
}

func (r *ownerRole) stepAll(o *shardOwner) {
	for _, e := range o.events.take() {
		o.machine.Step(r.clock.Now(), e)
	}
}

func (r *ownerRole) carryOut(o *shardOwner) {
	for _, effect := range o.machine.Ready() {
		switch ef := effect.(type) {
		case scheduling.Grant:
			r.spans.settled(ef.Request, nil)
			sendMessage(r.sender, ef.Entry.ID, kindGrant, grantToWire(o.shard, ef, r.self))
		case scheduling.Refuse:
			r.spans.settled(ef.Request, ef.Refusal)
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
		if spec, _, ok := r.spec(o.shard); ok {
			o.events.post(scheduling.Configure{Pool: spec})
		}
	}
}

// entryLost tells every owner that an entry's life has ended.
func (r *ownerRole) entryLost(life instance.Process) {
	for _, o := range r.running() {
		o.events.post(scheduling.EntryLost{Entry: life})
	}
}

// retain stops owners of shards that belong to another instance and hold
// nothing any more.
func (r *ownerRole) retain(mine func(entry.Shard) bool) {
	for _, o := range r.running() {
		if mine(o.shard) {
			continue
		}
		idle := make(chan bool, 1)
		if r.ask(o, func(m *poolowner.Owner) { idle <- m.Idle() }) && <-idle {
			r.remove(o)
		}
	}
}

func (r *ownerRole) remove(o *shardOwner) {
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

// askTimeout bounds a question to a shard owner's goroutine.
const askTimeout = time.Second

// ask runs f on the owner's goroutine and reports whether it ran in time.
func (r *ownerRole) ask(o *shardOwner, f func(*poolowner.Owner)) bool {
	done := make(chan struct{})
	o.asks.post(func(m *poolowner.Owner) {
		f(m)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-time.After(askTimeout):
		return false
	}
}

// gauges returns a shard's sizes, and false when its owner does not answer in
// time.
func (r *ownerRole) gauges(o *shardOwner) (poolowner.Gauges, bool) {
	answer := make(chan poolowner.Gauges, 1)
	if !r.ask(o, func(m *poolowner.Owner) { answer <- m.Gauges() }) {
		return poolowner.Gauges{}, false
	}
	return <-answer, true
}

// receive registers the handlers of messages from entries.
func (r *ownerRole) receive(reg mesh.Registrar) {
	reg.OnMessage(kindOffers, r.onOffers)
	reg.OnMessage(kindWithdraw, func(_ instance.Process, m mesh.Message) {
		var w schedpb.Withdraw
		if decode(m, &w) {
			r.spans.settled(structs.RequestID(w.RequestId), nil)
			r.stepRunning(shardOf(w.Pool, w.Shard), withdrawFromWire(&w))
		}
	})
	reg.OnMessage(kindReturn, func(_ instance.Process, m mesh.Message) {
		var b schedpb.Return
		if decode(m, &b) {
			r.stepRunning(shardOf(b.Pool, b.Shard), returnFromWire(&b))
		}
	})
	reg.OnMessage(kindProgress, func(_ instance.Process, m mesh.Message) {
		var p schedpb.Progress
		if decode(m, &p) {
			r.stepRunning(shardOf(p.Pool, p.Shard), progressFromWire(&p))
		}
	})
	reg.OnMessage(kindSibling, func(_ instance.Process, m mesh.Message) {
		var s schedpb.SiblingReport
		if decode(m, &s) {
			r.stepRunning(shardOf(s.Pool, s.Shard), siblingFromWire(&s))
		}
	})
	reg.OnMessage(kindFinish, func(_ instance.Process, m mesh.Message) {
		var f schedpb.Finish
		if decode(m, &f) {
			r.stepRunning(shardOf(f.Pool, f.Shard), finishFromWire(&f))
		}
	})
}

func (r *ownerRole) onOffers(from instance.Process, m mesh.Message) {
	var batch schedpb.OfferBatch
	if !decode(m, &batch) {
		return
	}
	now := r.clock.Now()
	s := shardOf(batch.Pool, batch.Shard)
	for _, o := range batch.Offers {
		offer := offerFromWire(o, s.Pool, from, now)
		r.spans.offered(offer)
		r.step(s, offer)
	}
}

// shardOfRequest picks a shard by organisation and first prompt block, so
// that prompts with a common beginning meet the same endpoints.
func shardOfRequest(r structs.Request, shards int) int {
	if shards <= 1 {
		return 0
	}
	if len(r.Prefix) > 0 {
		return int(uint64(r.Prefix[0]) % uint64(shards))
	}
	return int(hashText(string(r.Organisation)+"/"+string(r.ID)) % uint64(shards))
}
