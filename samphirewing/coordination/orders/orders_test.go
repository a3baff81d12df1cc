package orders_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog/memlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/coordination/orders"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// fakeEngine takes orders; it embeds the interface for the calls not used.
type fakeEngine struct {
	edge.Engine
	checks bool

	mu     sync.Mutex
	state  edge.EngineState
	orders int
}

func (e *fakeEngine) State(context.Context) (edge.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *fakeEngine) Order(_ context.Context, o edge.EngineOrder) (edge.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fencing < e.state.Fencing {
		return e.state, errors.Trace(edge.ErrFenced)
	}
	e.orders++
	e.state = edge.EngineState{Models: o.Models, Adapters: o.Adapters, Role: o.Role, Fencing: max(o.Fencing, e.state.Fencing)}
	return e.state, nil
}

func (e *fakeEngine) seen() edge.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func startOrders(t *testing.T, log *memlog.Log, id instance.ID, e *fakeEngine, spec func() []orders.Spec, owner func() instance.ID) *orders.Runner {
	r, err := orders.Start(orders.Options{
		Log: log, Stream: "leases", Self: instance.Process{ID: id, Incarnation: 1},
		LeaseDuration: 300 * time.Millisecond,
		Declared:      spec,
		OwnerOf:       func(lease.Name) instance.ID { return owner() },
		Engine:        func(structs.EndpointName) (edge.Engine, bool) { return e, true },
	})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func awaitModels(t *testing.T, e *fakeEngine, want ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if slices.Equal(e.seen().Models, want) {
			return poll.Success()
		}
		return poll.Continue("has %v, want %v", e.seen().Models, want)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestEngineIsBroughtToItsDeclaration(t *testing.T) {
	log := memlog.New(clock.System{})
	e := &fakeEngine{checks: true, state: edge.EngineState{Adapters: []string{"crest"}}}
	spec := func() []orders.Spec {
		return []orders.Spec{{Endpoint: "e1", ChecksFencing: true, Models: []string{"m1"}}}
	}
	startOrders(t, log, "d1", e, spec, func() instance.ID { return "d1" })
	awaitModels(t, e, "m1")
	assert.DeepEqual(t, e.seen().Adapters, []string{"crest"})
}

func TestFencingIsRaisedAfterLostLog(t *testing.T) {
	const lostNumber = 1 << 60
	log := memlog.New(clock.System{})
	e := &fakeEngine{checks: true, state: edge.EngineState{Fencing: lostNumber}}
	spec := func() []orders.Spec {
		return []orders.Spec{{Endpoint: "e1", ChecksFencing: true, Models: []string{"m1"}}}
	}
	startOrders(t, log, "d1", e, spec, func() instance.ID { return "d1" })
	awaitModels(t, e, "m1")
	assert.Assert(t, e.seen().Fencing > lostNumber)
}

func TestNextOwnerTakesOverWithHigherNumber(t *testing.T) {
	log := memlog.New(clock.System{})
	e := &fakeEngine{checks: true}
	var mu sync.Mutex
	owner, model := instance.ID("d1"), "m1"
	set := func(o instance.ID, m string) {
		mu.Lock()
		defer mu.Unlock()
		owner, model = o, m
	}
	ownerOf := func() instance.ID { mu.Lock(); defer mu.Unlock(); return owner }
	spec := func() []orders.Spec {
		mu.Lock()
		defer mu.Unlock()
		return []orders.Spec{{Endpoint: "e1", ChecksFencing: true, Models: []string{model}}}
	}
	startOrders(t, log, "d1", e, spec, ownerOf)
	startOrders(t, log, "d2", e, spec, ownerOf)
	awaitModels(t, e, "m1")
	first := e.seen().Fencing
	set("d2", "m2")
	awaitModels(t, e, "m2")
	assert.Assert(t, e.seen().Fencing > first)
}

func TestNonCheckingEngineWaitsOutEarlierHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	c := orders.NewController(orders.Spec{Endpoint: "e1", Models: []string{"m1"}})
	c.Step(now, orders.StateRead{})
	until := now.Add(20 * time.Second)
	c.Step(now, orders.LeaseGranted{Grant: lease.Grant{Fencing: 7, Until: now.Add(time.Hour), DisplacedUntil: until}})
	c.Step(now, orders.StateRead{})
	assert.Assert(t, !sendsOrder(c.Step(until, orders.Tick{})))
	assert.Assert(t, !sendsOrder(c.Step(until.Add(orders.LongestOrder-1), orders.Tick{})))
	assert.Assert(t, sendsOrder(c.Step(until.Add(orders.LongestOrder), orders.Tick{})))
}

func sendsOrder(effects []orders.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(orders.SendOrder); ok {
			return true
		}
	}
	return false
}

func TestBudgetPacesLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	b := orders.NewBudget(edge.WeightRate{
		BytesPerSecond: 100, ModelBytes: []edge.ModelSize{{Model: "m1", Bytes: 1000}},
	}, now.Add(time.Second))
	assert.Assert(t, !b.Ask(now, "e1", []string{"m1"}).Granted)
	first := b.Ask(now.Add(time.Second), "e1", []string{"m1"})
	assert.Assert(t, first.Granted)
	assert.Equal(t, first.LoadTime, 10*time.Second)
	second := b.Ask(now.Add(2*time.Second), "e2", []string{"m1"})
	assert.Assert(t, !second.Granted)
	assert.Equal(t, second.RetryAfter, 9*time.Second)
	assert.Assert(t, b.Ask(now.Add(11*time.Second), "e2", []string{"m1"}).Granted)
}
