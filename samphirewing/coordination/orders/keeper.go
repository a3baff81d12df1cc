package orders

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/protocol/orderpb"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// KindLoad is the call that asks a store's keeper for a load.
const KindLoad mesh.Kind = 1400

// rateRead is the time between reads of a store's rate.
const rateRead = 30 * time.Second

// errNotKeeper means that this instance does not hold the store's lease.
const errNotKeeper = errors.ConstError("this instance does not keep the store's budget; ask its owner again later")

// keeper holds the budget of one weight store while it holds the lease.
type keeper struct {
	runner *Runner
	store  string
	client edge.WeightStore
	// grant is the lease that is held, or nil.
	grant    *lease.Grant
	rate     edge.WeightRate
	known    bool
	reading  bool
	nextRead time.Time
	budget   *Budget
}

// followStores keeps the budgets of the stores that this instance owns.
func (r *Runner) followStores(declared map[string]bool) {
	for store := range declared {
		n := StoreLease(store)
		client, ok := r.storeClient(store)
		if !ok || r.options.OwnerOf(n) != r.options.Self.ID || r.keepers[n] != nil {
			continue
		}
		r.keepers[n] = &keeper{runner: r, store: store, client: client}
		r.leases.Acquire(n)
	}
	for n, k := range r.keepers {
		if !declared[k.store] || r.options.OwnerOf(n) != r.options.Self.ID {
			r.leases.Release(n)
			delete(r.keepers, n)
		}
	}
}

func (r *Runner) storeClient(store string) (edge.WeightStore, bool) {
	if r.options.Store == nil {
		return nil, false
	}
	return r.options.Store(store)
}

func (k *keeper) leaseChanged(now time.Time, g *lease.Grant) {
	k.grant, k.budget = g, nil
	k.open(now)
}

// open starts the budget once the lease is held and the rate is known. Loads
// that an earlier keeper granted may still run.
func (k *keeper) open(now time.Time) {
	if k.grant == nil || !k.known || k.budget != nil {
		return
	}
	k.budget = NewBudget(k.rate, now)
	if !k.grant.DisplacedUntil.IsZero() {
		k.budget = NewBudget(k.rate, k.grant.DisplacedUntil.Add(k.budget.LongestLoad()))
	}
	k.runner.options.Events.Emit(eventBudgetOpen, events.F("store", k.store))
}

func (k *keeper) tick(now time.Time) {
	if k.reading || now.Before(k.nextRead) {
		return
	}
	k.reading = true
	k.nextRead = now.Add(rateRead)
	go func() {
		ctx, cancel := context.WithTimeout(k.runner.ctx, callTimeout)
		defer cancel()
		rate, err := k.client.Rate(ctx)
		k.runner.post(func(now time.Time) { k.rateRead(now, rate, err) })
	}()
}

func (k *keeper) rateRead(now time.Time, rate edge.WeightRate, err error) {
	k.reading = false
	if err != nil {
		k.nextRead = now.Add(failedPause)
		return
	}
	k.rate, k.known = rate, true
	if k.budget != nil {
		k.budget.SetRate(rate)
	}
	k.open(now)
}

// ask grants a load while this instance keeps the store's budget.
func (r *Runner) ask(now time.Time, store, endpoint string, models []string) LoadAnswered {
	k := r.keepers[StoreLease(store)]
	if k == nil || k.budget == nil {
		return LoadAnswered{Err: errNotKeeper}
	}
	return k.budget.Ask(now, endpoint, models)
}

func (r *Runner) askLoad(c *controlled, e AskLoad) {
	answer := r.askKeeper(c, e)
	r.post(func(now time.Time) { r.step(now, c, answer) })
}

func (r *Runner) askKeeper(c *controlled, e AskLoad) LoadAnswered {
	if _, paced := r.storeClient(e.Store); !paced {
		return LoadAnswered{Granted: true}
	}
	endpoint := string(c.endpoint)
	owner := r.options.OwnerOf(StoreLease(e.Store))
	if owner == r.options.Self.ID || r.options.Mesh == nil {
		return r.askHere(r.ctx, e.Store, endpoint, e.Models)
	}
	return r.askThere(owner, &orderpb.LoadRequest{Store: e.Store, Endpoint: endpoint, Models: e.Models})
}

func (r *Runner) askHere(ctx context.Context, store, endpoint string, models []string) LoadAnswered {
	if _, valid := r.leases.Valid(StoreLease(store)); !valid {
		return LoadAnswered{Err: errNotKeeper}
	}
	answer := make(chan LoadAnswered, 1)
	r.post(func(now time.Time) { answer <- r.ask(now, store, endpoint, models) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return LoadAnswered{Err: ctx.Err()}
	case <-r.ctx.Done():
		return LoadAnswered{Err: errNotKeeper}
	}
}

func (r *Runner) askThere(owner instance.ID, p *orderpb.LoadRequest) LoadAnswered {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	body, err := proto.Marshal(p)
	if err != nil {
		return LoadAnswered{Err: err}
	}
	m, err := r.options.Mesh.Call(ctx, owner, mesh.Message{Kind: KindLoad, Body: body})
	if err != nil {
		return LoadAnswered{Err: err}
	}
	var a orderpb.LoadAnswer
	if err := proto.Unmarshal(m.Body, &a); err != nil {
		return LoadAnswered{Err: err}
	}
	return LoadAnswered{
		Granted:    a.Granted,
		RetryAfter: time.Duration(a.RetryAfterNano),
		LoadTime:   time.Duration(a.LoadNano),
	}
}

func (r *Runner) onLoad(ctx context.Context, _ instance.Process, m mesh.Message) (mesh.Message, error) {
	var p orderpb.LoadRequest
	if err := proto.Unmarshal(m.Body, &p); err != nil {
		return mesh.Message{}, errors.Trace(err)
	}
	a := r.askHere(ctx, p.Store, p.Endpoint, p.Models)
	if a.Err != nil {
		return mesh.Message{}, a.Err
	}
	body, err := proto.Marshal(&orderpb.LoadAnswer{
		Granted: a.Granted, RetryAfterNano: int64(a.RetryAfter), LoadNano: int64(a.LoadTime),
	})
	return mesh.Message{Kind: KindLoad, Body: body}, errors.Trace(err)
}
