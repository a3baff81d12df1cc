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
	// entryTickInterval is the interval at which deadlines and re-offers are
	// checked.
	entryTickInterval = 50 * time.Millisecond
	// entryIdleTickInterval is the interval at which retained answers are checked
	// for expiry while no request is held.
	entryIdleTickInterval = time.Second
)

// entryRole runs the entry's state machine: one goroutine steps it and executes
// its effects in order; each dispatch runs in a goroutine of its own.
type entryRole struct {
	self       instance.Process
	clock      clock.Clock
	machine    *entry.Entry
	events     *mailbox[entry.Event]
	queries    *mailbox[func(*entry.Entry)]
	answers    *answerStore
	sender     mesh.Sender
	dispatcher *dispatcher
	onFinished func(callerapi.Result, *answer)

	held    atomic.Int64
	waiting atomic.Int64

	mu      sync.Mutex
	cancels map[structs.RequestID]context.CancelFunc
}

func newEntryRole(self instance.Process, c clock.Clock, sender mesh.Sender, answers *answerStore, d *dispatcher) *entryRole {
	return &entryRole{
		self:       self,
		clock:      c,
		machine:    entry.New(entry.Options{Self: self}),
		events:     newMailbox[entry.Event](),
		queries:    newMailbox[func(*entry.Entry)](),
		answers:    answers,
		sender:     sender,
		dispatcher: d,
		cancels:    make(map[structs.RequestID]context.CancelFunc),
	}
}

// enqueue queues an event for the state machine.
func (r *entryRole) enqueue(e entry.Event) { r.events.post(e) }

// run steps the state machine until the context ends.
func (r *entryRole) run(ctx context.Context) {
	ticks := newPacer(entryTickInterval, entryIdleTickInterval)
	defer ticks.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.events.ready():
			r.stepQueued()
		case <-r.queries.ready():
			for _, query := range r.queries.drain() {
				query(r.machine)
			}
		case <-ticks.ticker.C:
			now := r.clock.Now()
			r.machine.Tick(now)
			r.answers.evictExpired(now)
		}
		for _, effect := range r.machine.Ready() {
			r.execute(ctx, effect)
		}
		ticks.setIdle(r.machine.Len() == 0)
		r.held.Store(int64(r.machine.Len()))
		r.waiting.Store(int64(r.machine.Waiting()))
	}
}

func (r *entryRole) stepQueued() {
	for _, e := range r.events.drain() {
		r.machine.Step(r.clock.Now(), e)
	}
}

func (r *entryRole) execute(ctx context.Context, effect entry.Effect) {
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

// send drops messages that cannot be sent; the periodic re-offer makes up for
// the loss.
func (r *entryRole) send(to instance.ID, k mesh.Kind, m proto.Message) {
	sendMessage(r.sender, to, k, m)
}

func (r *entryRole) dispatch(ctx context.Context, ef entry.Dispatch) {
	a, ok := r.answers.get(ef.Request)
	if !ok {
		r.enqueue(entry.NotSent{Request: ef.Request, Attempt: ef.Attempt, Reason: structs.ReasonCallerLeft})
		return
	}
	a.markRunning()
	a.spans.endOffer()
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.cancels[ef.Request] = cancel
	r.mu.Unlock()
	go func() {
		defer cancel()
		event := r.dispatcher.run(ctx, ef, a, r.enqueue)
		r.removeCancel(ef.Request)
		if _, requeued := event.(entry.NotSent); requeued {
			a.markWaiting()
		}
		r.enqueue(event)
	}()
}

func (r *entryRole) removeCancel(id structs.RequestID) {
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
	if r.onFinished != nil {
		r.onFinished(result, a)
	}
}

// rows returns the entry's requests, or nil if it does not answer within
// queryTimeout.
func (r *entryRole) rows() []entry.Row {
	answer := make(chan []entry.Row, 1)
	r.queries.post(func(m *entry.Entry) { answer <- m.Rows(r.clock.Now()) })
	select {
	case rows := <-answer:
		return rows
	case <-time.After(queryTimeout):
		return nil
	}
}

// registerHandlers registers the handlers of messages from pool owners.
func (r *entryRole) registerHandlers(reg mesh.Registrar) {
	reg.OnMessage(kindGrant, func(from instance.Process, m mesh.Message) {
		var g schedpb.Grant
		if !decode(m, &g) || instance.Incarnation(g.EntryIncarnation) != r.self.Incarnation {
			return
		}
		r.enqueue(entry.Granted{
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
		r.enqueue(entry.Refused{
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
		r.enqueue(entry.CancelRequested{Request: structs.RequestID(c.RequestId), Reason: structs.Reason(c.Reason)})
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
