package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/protocol/schedpb"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

const (
	// entryTick is how often deadlines and re-offers are looked at.
	entryTick = 50 * time.Millisecond
	// entryIdleTick is how often kept answers are looked at when nothing is held.
	entryIdleTick = time.Second
)

// entryRole runs the entry's state machine: one goroutine steps it and carries
// out its effects in order; each dispatch has a goroutine of its own.
type entryRole struct {
	self       instance.Process
	clock      clock.Clock
	machine    *entry.Entry
	events     *mailbox[entry.Event]
	asks       *mailbox[func(*entry.Entry)]
	answers    *answers
	sender     mesh.Sender
	dispatcher *dispatcher
	observe    func(callerapi.Result, *answer)

	held    atomic.Int64
	waiting atomic.Int64

	mu      sync.Mutex
	cancels map[structs.RequestID]context.CancelFunc
}

func newEntryRole(self instance.Process, c clock.Clock, sender mesh.Sender, kept *answers, d *dispatcher) *entryRole {
	return &entryRole{
		self:       self,
		clock:      c,
		machine:    entry.New(entry.Options{Self: self}),
		events:     newMailbox[entry.Event](),
		asks:       newMailbox[func(*entry.Entry)](),
		answers:    kept,
		sender:     sender,
		dispatcher: d,
		cancels:    make(map[structs.RequestID]context.CancelFunc),
	}
}

// step queues an event for the state machine.
func (r *entryRole) step(e entry.Event) { r.events.post(e) }

// run steps the machine until the context ends.
func (r *entryRole) run(ctx context.Context) {
	ticks := newPacer(entryTick, entryIdleTick)
	defer ticks.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.events.ready():
			r.stepAll()
		case <-r.asks.ready():
			for _, ask := range r.asks.take() {
				ask(r.machine)
			}
		case <-ticks.ticker.C:
			now := r.clock.Now()
			r.machine.Tick(now)
			r.answers.expire(now)
		}
		for _, effect := range r.machine.Ready() {
			r.carryOut(ctx, effect)
		}
		ticks.pace(r.machine.Len() == 0)
		r.held.Store(int64(r.machine.Len()))
		r.waiting.Store(int64(r.machine.Waiting()))
	}
}

func (r *entryRole) stepAll() {
	for _, e := range r.events.take() {
		r.machine.Step(r.clock.Now(), e)
	}
}

func (r *entryRole) carryOut(ctx context.Context, effect entry.Effect) {
	switch ef := effect.(type) {
	case entry.SendOffers:
		r.sendOffers(ef)
	case entry.SendWithdraw:
		r.send(ef.To, kindWithdraw, withdrawToWire(ef.Shard, ef.Withdraw))
	case entry.SendReturn:
		r.send(ef.To, kindReturn, returnToWire(ef.Shard, ef.Return))
	case entry.SendProgress:
		r.send(ef.To, kindProgress, progressToWire(ef.Shard, ef.Progress))
	case entry.SendFinish:
		r.send(ef.To, kindFinish, finishToWire(ef.Shard, ef.Finish))
	case entry.Dispatch:
		r.dispatch(ctx, ef)
	case entry.CancelDispatch:
		r.cancelDispatch(ef.Request)
	case entry.Conclude:
		r.conclude(ef)
	}
}

func (r *entryRole) sendOffers(ef entry.SendOffers) {
	now := r.clock.Now()
	batch := &schedpb.OfferBatch{Pool: string(ef.Shard.Pool), Shard: uint32(ef.Shard.Number)}
	for _, o := range ef.Offers {
		batch.Offers = append(batch.Offers, offerToWire(o, now))
	}
	r.send(ef.To, kindOffers, batch)
}

// send drops messages that cannot be sent: the periodic re-offer heals them.
func (r *entryRole) send(to instance.ID, k mesh.Kind, m proto.Message) {
	sendMessage(r.sender, to, k, m)
}

func (r *entryRole) dispatch(ctx context.Context, ef entry.Dispatch) {
	a, ok := r.answers.get(ef.Request)
	if !ok {
		r.step(entry.NotSent{Request: ef.Request, Attempt: ef.Attempt, Reason: structs.ReasonCallerLeft})
		return
	}
	a.running()
	a.spans.granted()
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.cancels[ef.Request] = cancel
	r.mu.Unlock()
	go func() {
		defer cancel()
		end := r.dispatcher.run(ctx, ef, a, r.step)
		r.forget(ef.Request)
		if _, again := end.(entry.NotSent); again {
			a.waitingAgain()
		}
		r.step(end)
	}()
}

func (r *entryRole) forget(id structs.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, id)
}

func (r *entryRole) cancelDispatch(id structs.RequestID) {
	r.mu.Lock()
	cancel, ok := r.cancels[id]
	r.mu.Unlock()
	if ok {
		cancel()
	}
}

func (r *entryRole) conclude(ef entry.Conclude) {
	a, ok := r.answers.get(ef.Request)
	if !ok {
		return
	}
	result := a.Result()
	result.Outcome = ef.Outcome
	result.Reason = ef.Reason
	result.Detail = ef.Detail
	result.Endpoint = ef.Endpoint
	result.RetryAfter = ef.RetryAfter
	a.finish(result, r.clock.Now())
	a.spans.end(result.Outcome, result.Reason)
	r.answers.retire(a)
	if r.observe != nil {
		r.observe(result, a)
	}
}

// rows returns what the entry holds, or nil when it does not answer in time.
func (r *entryRole) rows() []entry.Row {
	answer := make(chan []entry.Row, 1)
	r.asks.post(func(m *entry.Entry) { answer <- m.Rows(r.clock.Now()) })
	select {
	case rows := <-answer:
		return rows
	case <-time.After(askTimeout):
		return nil
	}
}

// receive registers the handlers of messages from pool owners.
func (r *entryRole) receive(reg mesh.Registrar) {
	reg.OnMessage(kindGrant, func(from instance.Process, m mesh.Message) {
		var g schedpb.Grant
		if !decode(m, &g) || instance.Incarnation(g.EntryIncarnation) != r.self.Incarnation {
			return
		}
		r.step(entry.Granted{
			From:  from.ID,
			Shard: shardOf(g.Pool, g.Shard),
			Grant: grantFromWire(&g, r.self.ID),
		})
	})
	reg.OnMessage(kindRefuse, func(from instance.Process, m mesh.Message) {
		var f schedpb.Refuse
		if !decode(m, &f) || instance.Incarnation(f.EntryIncarnation) != r.self.Incarnation {
			return
		}
		r.step(entry.Refused{
			From:    from.ID,
			Request: structs.RequestID(f.RequestId),
			Refusal: refusalFromWire(&f),
		})
	})
	reg.OnMessage(kindCancel, func(_ instance.Process, m mesh.Message) {
		var c schedpb.CancelRunning
		if !decode(m, &c) || instance.Incarnation(c.EntryIncarnation) != r.self.Incarnation {
			return
		}
		r.step(entry.CancelRequested{Request: structs.RequestID(c.RequestId), Reason: structs.Reason(c.Reason)})
	})
}

func sendMessage(s mesh.Sender, to instance.ID, k mesh.Kind, m proto.Message) {
	body, err := proto.Marshal(m)
	if err != nil {
		return
	}
	_ = s.Send(to, mesh.Message{Kind: k, Body: body})
}

func decode(m mesh.Message, into proto.Message) bool {
	return proto.Unmarshal(m.Body, into) == nil
}
