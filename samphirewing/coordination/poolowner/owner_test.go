package poolowner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testEntry = instance.Process{ID: "entry-1", Incarnation: 1}

func testRequest(id string, rank structs.Rank) structs.Request {
	return structs.Request{
		ID:              structs.RequestID(id),
		Entry:           testEntry,
		Kind:            structs.WorkModel,
		Target:          "draft",
		Rank:            rank,
		Organisation:    "atelier",
		Weight:          1,
		PromptTokens:    100,
		MaxOutputTokens: 100,
		Deadline:        start.Add(time.Minute),
	}
}

func testOwner(endpoints int) *Owner {
	o := New(Options{Pool: "p", Seed: 1})
	spec := scheduling.PoolSpec{Name: "p"}
	for i := range endpoints {
		spec.Endpoints = append(spec.Endpoints, scheduling.EndpointSpec{
			Name:    structs.EndpointName(fmt.Sprintf("e%d", i)),
			Targets: []structs.Target{"draft"},
			Listed:  true,
		})
	}
	o.Step(start, scheduling.Configure{Pool: spec})
	o.Step(start, scheduling.TakeoverDone{})
	return o
}

func grants(effects []scheduling.Effect) []scheduling.Grant {
	var found []scheduling.Grant
	for _, e := range effects {
		if g, ok := e.(scheduling.Grant); ok {
			found = append(found, g)
		}
	}
	return found
}

func refusals(effects []scheduling.Effect) []scheduling.Refuse {
	var found []scheduling.Refuse
	for _, e := range effects {
		if g, ok := e.(scheduling.Refuse); ok {
			found = append(found, g)
		}
	}
	return found
}

func TestRepeatedOfferIsGrantedOnce(t *testing.T) {
	o := testOwner(2)
	offer := scheduling.Offer{Request: testRequest("r1", 0)}
	o.Step(start, offer)
	first := grants(o.Ready())
	assert.Equal(t, len(first), 1)
	o.Step(start, offer)
	again := grants(o.Ready())
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0], first[0])

	o.Step(start, scheduling.Finish{ID: "r1", Grant: first[0].ID, Endpoint: first[0].Endpoint, Outcome: structs.OutcomeDone})
	o.Step(start, offer)
	assert.Equal(t, len(o.Ready()), 0)
	assert.Equal(t, o.Snapshot().Totals.Done, int64(1))
}

func TestReturnedGrantIsPlacedAgain(t *testing.T) {
	o := testOwner(1)
	o.Step(start, scheduling.Offer{Request: testRequest("r1", 0)})
	g := grants(o.Ready())[0]
	o.Step(start, scheduling.Return{ID: "r1", Grant: g.ID, Reason: structs.ReasonConnectFailed})
	second := grants(o.Ready())
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].ID > g.ID)
}

func TestDeadlineExpiresInQueue(t *testing.T) {
	o := testOwner(1)
	drained := o.pool
	drained.Endpoints = append([]scheduling.EndpointSpec(nil), drained.Endpoints...)
	drained.Endpoints[0].Drained = true
	o.Step(start, scheduling.Configure{Pool: drained})
	unserved := testRequest("r2", 0)
	unserved.Target = "unknown"
	o.Step(start, scheduling.Offer{Request: testRequest("r1", 0)})
	o.Step(start, scheduling.Offer{Request: unserved})
	o.Tick(start.Add(time.Minute))
	r := refusals(o.Ready())
	assert.Equal(t, len(r), 2)
	assert.Equal(t, r[0].Refusal.Outcome, structs.OutcomeNotRun)
	assert.Equal(t, r[0].Refusal.Reason, structs.ReasonDeadlineInQueue)
	assert.Equal(t, r[1].Refusal.Outcome, structs.OutcomeNotRun)
	assert.Equal(t, r[1].Refusal.Reason, structs.ReasonNoEndpoint)
	assert.Equal(t, len(o.requests), 0)
}

func TestShedsOnlyLowestTierAfterTakeover(t *testing.T) {
	o := New(Options{Pool: "p", DefaultQueueLimit: 2})
	o.Step(start, scheduling.Offer{Request: testRequest("low", 2)})
	o.Step(start, scheduling.Offer{Request: testRequest("mid", 1)})
	o.Step(start, scheduling.Offer{Request: testRequest("top", 0)})
	assert.Equal(t, len(refusals(o.Ready())), 0)
	o.Step(start, scheduling.TakeoverDone{})
	r := refusals(o.Ready())
	assert.Equal(t, len(r), 1)
	assert.Equal(t, r[0].Request, structs.RequestID("low"))
}

func TestRunningReofferIsNeverGranted(t *testing.T) {
	o := testOwner(1)
	o.Step(start, scheduling.Offer{Request: testRequest("r1", 0), Running: true, Endpoint: "e0", Streamed: 5})
	o.Step(start, scheduling.Offer{Request: testRequest("r1", 0)})
	assert.Equal(t, len(grants(o.Ready())), 0)
	assert.Equal(t, o.endpoints["e0"].running, 1)
}

func TestSecondRequestOfAGrantedKeyIsRefused(t *testing.T) {
	o := testOwner(1)
	first := testRequest("r1", 0)
	first.CallerKey = "k"
	second := testRequest("r2", 0)
	second.CallerKey = "k"
	o.Step(start, scheduling.Offer{Request: first})
	o.Step(start, scheduling.Offer{Request: second})
	r := refusals(o.Ready())
	assert.Equal(t, len(r), 1)
	assert.Equal(t, r[0].Refusal.Reason, structs.ReasonKeyGranted)
}

func TestEntryLostFreesPlacesAfterDrainDelay(t *testing.T) {
	o := testOwner(1)
	o.Step(start, scheduling.Offer{Request: testRequest("r1", 0)})
	o.Step(start, scheduling.EntryLost{Entry: testEntry})
	assert.Equal(t, o.endpoints["e0"].running, 1)
	o.Tick(start.Add(DefaultDrainDelay))
	assert.Equal(t, o.endpoints["e0"].running, 0)
	assert.Equal(t, o.endpoints["e0"].inFlight, structs.Tokens(0))
}
