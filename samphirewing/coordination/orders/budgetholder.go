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

// KindLoad is the message kind of a load request to the holder of a store's
// budget.
const KindLoad mesh.Kind = 1400

// rateReadInterval is the time between reads of a store's rate.
const rateReadInterval = 30 * time.Second

// errNotBudgetHolder means that this instance does not hold the store's lease.
const errNotBudgetHolder = errors.ConstError("this instance does not keep the store's budget; ask its owner again later")

// budgetHolder provides the budget of one weight store while this instance
// holds the store's lease.
type budgetHolder struct {
	runner *Runner
	store  string
	client edge.WeightStore
	// grant is the current lease, or nil.
	grant    *lease.Grant
	rate     edge.WeightRate
	known    bool
	reading  bool
	nextRead time.Time
	budget   *Budget
}

// reconcileBudgets adds and removes budget holders as declarations and
// ownership of the stores change.
func (r *Runner) reconcileBudgets(declared map[string]bool) {
	for store := range declared {
		n := StoreLease(store)
		client, ok := r.storeClient(store)
		if !ok || r.options.OwnerOf(n) != r.options.Self.ID || r.budgetHolders[n] != nil {
			continue
		}
		r.budgetHolders[n] = &budgetHolder{runner: r, store: store, client: client}
		r.leases.Acquire(n)
	}
	for n, h := range r.budgetHolders {
		if !declared[h.store] || r.options.OwnerOf(n) != r.options.Self.ID {
			r.leases.Release(n)
			delete(r.budgetHolders, n)
		}
	}
}

func (r *Runner) storeClient(store string) (edge.WeightStore, bool) {
	if r.options.Store == nil {
		return nil, false
	}
	return r.options.Store(store)
}

func (h *budgetHolder) setLease(now time.Time, g *lease.Grant) {
	h.grant, h.budget = g, nil
	h.openBudget(now)
}

// openBudget creates the budget once the lease is held and the rate is known.
// Loads granted by a displaced holder may still be running, so the budget
// grants nothing until they have ended.
func (h *budgetHolder) openBudget(now time.Time) {
	if h.grant == nil || !h.known || h.budget != nil {
		return
	}
	h.budget = NewBudget(h.rate, now)
	if !h.grant.DisplacedUntil.IsZero() {
		h.budget = NewBudget(h.rate, h.grant.DisplacedUntil.Add(h.budget.MaxLoadTime()))
	}
	h.runner.options.Events.Emit(eventBudgetOpened, events.F("store", h.store))
}

func (h *budgetHolder) tick(now time.Time) {
	if h.reading || now.Before(h.nextRead) {
		return
	}
	h.reading = true
	h.nextRead = now.Add(rateReadInterval)
	go func() {
		ctx, cancel := context.WithTimeout(h.runner.ctx, callTimeout)
		defer cancel()
		rate, err := h.client.Rate(ctx)
		h.runner.post(func(now time.Time) { h.handleRate(now, rate, err) })
	}()
}

func (h *budgetHolder) handleRate(now time.Time, rate edge.WeightRate, err error) {
	h.reading = false
	if err != nil {
		h.nextRead = now.Add(failureRetryDelay)
		return
	}
	h.rate, h.known = rate, true
	if h.budget != nil {
		h.budget.SetRate(rate)
	}
	h.openBudget(now)
}

// reserveLoad grants a load if this instance holds the store's budget.
func (r *Runner) reserveLoad(now time.Time, store, endpoint string, models []string) LoadResult {
	h := r.budgetHolders[StoreLease(store)]
	if h == nil || h.budget == nil {
		return LoadResult{Err: errNotBudgetHolder}
	}
	return h.budget.Reserve(now, endpoint, models)
}

func (r *Runner) requestLoad(m *managedEndpoint, e RequestLoad) {
	result := r.requestLoadFromHolder(m, e)
	r.post(func(now time.Time) { r.step(now, m, result) })
}

func (r *Runner) requestLoadFromHolder(m *managedEndpoint, e RequestLoad) LoadResult {
	if _, limited := r.storeClient(e.Store); !limited {
		return LoadResult{Granted: true}
	}
	endpoint := string(m.name)
	owner := r.options.OwnerOf(StoreLease(e.Store))
	if owner == r.options.Self.ID || r.options.Mesh == nil {
		return r.requestLocalLoad(r.ctx, e.Store, endpoint, e.Models)
	}
	return r.requestRemoteLoad(owner, &orderpb.LoadRequest{Store: e.Store, Endpoint: endpoint, Models: e.Models})
}

func (r *Runner) requestLocalLoad(ctx context.Context, store, endpoint string, models []string) LoadResult {
	if _, valid := r.leases.Valid(StoreLease(store)); !valid {
		return LoadResult{Err: errNotBudgetHolder}
	}
	results := make(chan LoadResult, 1)
	r.post(func(now time.Time) { results <- r.reserveLoad(now, store, endpoint, models) })
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return LoadResult{Err: ctx.Err()}
	case <-r.ctx.Done():
		return LoadResult{Err: errNotBudgetHolder}
	}
}

func (r *Runner) requestRemoteLoad(owner instance.ID, request *orderpb.LoadRequest) LoadResult {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	body, err := proto.Marshal(request)
	if err != nil {
		return LoadResult{Err: err}
	}
	m, err := r.options.Mesh.Call(ctx, owner, mesh.Message{Kind: KindLoad, Body: body})
	if err != nil {
		return LoadResult{Err: err}
	}
	var answer orderpb.LoadAnswer
	if err := proto.Unmarshal(m.Body, &answer); err != nil {
		return LoadResult{Err: err}
	}
	return LoadResult{
		Granted:    answer.Granted,
		RetryAfter: time.Duration(answer.RetryAfterNano),
		LoadTime:   time.Duration(answer.LoadNano),
	}
}

func (r *Runner) handleLoad(ctx context.Context, _ instance.Process, m mesh.Message) (mesh.Message, error) {
	var request orderpb.LoadRequest
	if err := proto.Unmarshal(m.Body, &request); err != nil {
		return mesh.Message{}, errors.Trace(err)
	}
	result := r.requestLocalLoad(ctx, request.Store, request.Endpoint, request.Models)
	if result.Err != nil {
		return mesh.Message{}, result.Err
	}
	body, err := proto.Marshal(&orderpb.LoadAnswer{
		Granted: result.Granted, RetryAfterNano: int64(result.RetryAfter), LoadNano: int64(result.LoadTime),
	})
	return mesh.Message{Kind: KindLoad, Body: body}, errors.Trace(err)
}
