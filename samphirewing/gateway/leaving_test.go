package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

// leavingWith returns a handler that says that the endpoint leaves.
func leavingWith(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		answerWith(status, header, body)(w, r)
	}
}

// Guards against requests to an endpoint that has said in an answer that it leaves,
// while the registry still lists it as usable.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for name, answer := range map[string]http.HandlerFunc{
		"success":         leavingWith(http.StatusOK, "Signed", event),
		"rejection":       leavingWith(http.StatusServiceUnavailable, "Not-Run", ""),
		"failure":         leavingWith(http.StatusInternalServerError, "Signed", ""),
		"unsigned answer": leavingWith(http.StatusOK, "", event),
	} {
		for kind, streaming := range map[string]bool{"stream": true, "ordinary answer": false} {
			t.Run(kind+"/"+name, func(t *testing.T) {
				f := newFixture(t)
				f.configure(testRoute("s", func(r *routing.Route) { r.Streaming = streaming }))
				leaving := f.startEndpoint("a", answer)
				other := f.startEndpoint("b", answerWith(http.StatusOK, "Signed", event))
				for range 10 {
					f.serve("/s/x")
					f.gateway.SetEndpoints(f.endpoints) // The entry is renewed.
				}
				assert.Equal(t, leaving.requestCount(), 1)
				assert.Assert(t, other.requestCount() >= 9)
			})
		}
	}
}

// Guards against requests that wait for a slot being sent to an endpoint that leaves
// meanwhile, and against streams in progress there being cut.
func TestWaitingRequestsAreNotSentToLeavingEndpoint(t *testing.T) {
	const requests = 24
	f := newFixture(t)
	f.configure(testRoute("s", func(r *routing.Route) { r.Timeout = time.Second }))
	leaving := f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		leavingWith(http.StatusOK, "Signed", "x")(w, r)
	})
	sinks := make(chan *recordingSink, requests)
	for range requests {
		go func() { sinks <- f.serve("/s/x") }()
	}
	time.Sleep(100 * time.Millisecond)
	sent := leaving.requestCount()
	assert.Assert(t, sent > 0 && sent < requests, "%d requests sent", sent)
	served := 0
	for range requests {
		if s := <-sinks; s.ended {
			served++
		} else {
			assert.Equal(t, s.failure.Kind, NotRun)
		}
	}
	assert.Equal(t, served, sent, "requests in progress end undisturbed")
	assert.Equal(t, leaving.requestCount(), sent)
}

// Guards against an endpoint that is kept out of use after a new start, and against
// one that inherits the state from another at its address.
func TestLeavingEndsWithANewStartOfTheEndpoint(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("s", func(r *routing.Route) {}))
	e := f.startEndpoint("a", leavingWith(http.StatusOK, "Signed", "x"), answerWith(http.StatusOK, "Signed", "x"))
	start := func(name structs.EndpointName, startedUnixMs int64) []endpointset.Endpoint {
		listed := f.endpoints[0]
		listed.Name, listed.StartedUnixMs = name, startedUnixMs
		return []endpointset.Endpoint{listed}
	}
	f.gateway.SetEndpoints(start("a", 1))
	assert.Assert(t, f.serve("/s/x").ended)
	f.gateway.SetEndpoints(nil)
	f.gateway.SetEndpoints(start("a", 1))
	assert.Equal(t, f.serve("/s/x").failure.Kind, NotRun, "the same start, whose entry had lapsed")
	f.gateway.SetEndpoints(start("a", 2))
	assert.Assert(t, f.serve("/s/x").ended, "a new start")
	f.gateway.SetEndpoints(start("other", 1))
	assert.Assert(t, f.serve("/s/x").ended, "another endpoint at the address")
	assert.Equal(t, e.requestCount(), 3)
}

// Guards against an answer of another endpoint at a reused address taking out the
// one that was meant.
func TestMisdirectedAnswerSaysNothingOfTheEndpoint(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("s", func(r *routing.Route) { r.MaxEndpoints = 1 }))
	e := f.startEndpoint("a", leavingWith(http.StatusMisdirectedRequest, "Not-Run", ""), answerWith(http.StatusOK, "Signed", "x"))
	f.serve("/s/x")
	assert.Assert(t, f.serve("/s/x").ended)
	assert.Equal(t, e.requestCount(), 2)
}

// Guards against memory that grows with each endpoint that has left.
func TestLeavingEndpointsAreForgotten(t *testing.T) {
	now, l := time.Unix(1000, 0), leavingEndpoints{}
	for i := range 2 * maxLeaving {
		l.add(now, endpointset.Endpoint{Name: "e", StartedUnixMs: int64(1 + i)})
	}
	assert.Equal(t, len(l), maxLeaving)
	l.usable(now.Add(leavingRetention), nil)
	assert.Equal(t, len(l), 0)
}
