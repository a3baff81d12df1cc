package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Guards against an engine that ends because it is sent a request that it can't hold, and
// against callers that try again in vain.
func TestRequestLargerThanEnginesIsRefusedAsNotRun(t *testing.T) {
	f := newFixture(t)
	pool := &routing.Pool{Name: testPool, Engine: &routing.Engine{Slots: 4, CacheTokens: 1000}}
	route := testRoute("draft", callRoute(routing.AtMostOnce))
	assert.Assert(t, f.gateway.SetTable(routing.New(1, []*routing.Route{route}, []*routing.Pool{pool}, nil, nil, routing.Limits{})))
	endpoint := f.startEndpoint("a", answerWith(http.StatusOK, "Signed", "done"))
	serve := func(output structs.Tokens) *recordingSink {
		sink := &recordingSink{}
		r := &Request{ID: "r", Method: http.MethodPost, RouteHost: "host", Path: "/draft/x", Target: "/draft/x", Header: http.Header{}, Arrived: time.Now(), TokensDeclared: true, PromptTokens: 500, MaxOutputTokens: output, OutputTokensHint: 100}
		f.gateway.Serve(context.Background(), r, sink)
		return sink
	}

	refused := serve(600)
	assert.Equal(t, refused.failure.Kind, NotRun)
	assert.Equal(t, refused.failure.RetryAfter, time.Duration(0))
	assert.Equal(t, endpoint.requestCount(), 0)
	assert.Equal(t, serve(400).status, http.StatusOK)
}

// Guards against callers that are not recognised when they come back under another id,
// and against telling them apart by what changes between attempts.
func TestFingerprintIsOfTheContent(t *testing.T) {
	first := &Request{ID: "1", APIKey: "k", Target: "/a", Body: []byte("body"), Arrived: time.Now(), TimeLimit: time.Second}
	again := &Request{ID: "2", APIKey: "k", Target: "/a", Body: []byte("body"), TimeLimit: 2 * time.Second, TraceParent: "x"}
	assert.Equal(t, fingerprint(first), fingerprint(again))
	for _, other := range []*Request{{APIKey: "l", Target: "/a", Body: first.Body}, {APIKey: "k", Target: "/b", Body: first.Body}, {APIKey: "k", Target: "/a", Body: []byte("bodz")}, {APIKey: "k", Target: "/a", Body: first.Body, PromptTokens: 1}} {
		assert.Assert(t, fingerprint(first) != fingerprint(other))
	}
}

// Guards against a request that is displaced while its caller leaves: its handler would
// wait for ever for a decision, with the gateway locked.
func TestDisplacedRequestIsAnsweredAtOnce(t *testing.T) {
	f := newFixture(t)
	pool := &routing.Pool{Name: testPool, Engine: &routing.Engine{Slots: 4, CacheTokens: 1_000_000}}
	assert.Assert(t, f.gateway.SetTable(routing.New(1, nil, []*routing.Pool{pool}, nil, nil, routing.Limits{})))
	f.addEndpoint("a", "127.0.0.1:1")
	request := func(organisation structs.OrganisationName, output structs.Tokens) *dispatch.Request {
		now := time.Now()
		return &dispatch.Request{Pool: testPool, Rank: 1, Organisation: organisation, Prompt: 500, Output: output, Arrived: now, Target: 20 * time.Second, StartBy: now.Add(time.Minute)}
	}
	g := f.gateway
	for _, organisation := range []structs.OrganisationName{"large", "small", "large", "large", "large", "large"} {
		granted, waits := g.offer(request(organisation, 100))
		assert.Assert(t, waits == nil)
		time.Sleep(20 * time.Millisecond)
		g.finishGrant(granted.grant, dispatch.Succeeded)
	}
	for range 4 {
		_, waits := g.offer(request("large", 100))
		assert.Assert(t, waits == nil)
	}
	waiting := map[*dispatch.Request]chan decision{}
	for {
		r := request("large", 2000)
		d, waits := g.offer(r)
		if d.refusal != nil {
			break
		}
		waiting[r] = waits
	}
	time.Sleep(200 * time.Millisecond)
	_, waits := g.offer(request("small", 100))
	assert.Assert(t, waits != nil)
	displaced := 0
	for r, decided := range waiting {
		select {
		case d := <-decided:
			displaced++
			assert.Equal(t, d.refusal.Reason, dispatch.ReasonOverShare)
			decided <- d
		default:
		}
		assert.ErrorIs(t, g.withdraw(r, decided, context.Canceled), context.Canceled)
	}
	assert.Equal(t, displaced, 1)
	assert.Equal(t, len(g.waiters), 1)
}
