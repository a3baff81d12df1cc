package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/routing"
)

func streaming(repeat routing.Repeatability) func(*routing.Route) {
	return func(r *routing.Route) { r.Streaming, r.Repeat = true, repeat }
}

func repeatable(repeat routing.Repeatability) func(*routing.Route) {
	return func(r *routing.Route) { r.Repeat = repeat }
}

// Found by a hunt: an endpoint crashed in the middle of a stream and the next
// one answered 500, which ended the caller's answer as if it were whole.
func TestStreamIsNotEndedByTheFailureOfItsSecondEndpoint(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streaming(routing.Resumable)))
	f.endpoint("a", eventsThenBreak("id: 1\ndata: x\n\nid: 2\nda"))
	f.endpoint("b", answerWith(http.StatusInternalServerError, "Signed", "error"))

	sink := f.serve("/draft/x")

	assert.Equal(t, sink.begun, 1)
	assert.Equal(t, sink.body.String(), "id: 1\ndata: x\n\n")
	assert.Assert(t, sink.broken && !sink.ended)
}

func TestBrokenStreamGoesOnAfterItsLastWholeEvent(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streaming(routing.Resumable)))
	f.endpoint("a", eventsThenBreak("id: 1\ndata: x\n\nid: 2\nda"))
	second := f.endpoint("b", answerWith(http.StatusOK, "Signed", "id: 2\ndata: y\n\n"))

	sink := f.serve("/draft/x")

	assert.Equal(t, sink.body.String(), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
	assert.Assert(t, sink.ended && !sink.broken)
	assert.Equal(t, second.requests[0].Header.Get("Last-Event"), "1")
}

func TestStreamThatMustNotBeRepeatedIsBrokenOff(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("suggest", streaming(routing.AtMostOnce)))
	f.endpoint("a", eventsThenBreak("id: 1\ndata: x\n\n"))
	second := f.endpoint("b", answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\n"))

	sink := f.serve("/suggest/x")

	assert.Assert(t, sink.broken && !sink.ended)
	assert.Equal(t, second.count(), 0)
}

func TestStreamThatEndsInsideAnEventIsNotWhole(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("suggest", streaming(routing.AtMostOnce)))
	f.endpoint("a", answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\nid: 2\nda"))

	sink := f.serve("/suggest/x")

	assert.Equal(t, sink.body.String(), "id: 1\ndata: x\n\n")
	assert.Assert(t, sink.broken && !sink.ended)
}

func TestLostAnswerOfACallThatRunsAtMostOnceIsNotRepeated(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", repeatable(routing.AtMostOnce)))
	first := f.endpoint("a", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	second := f.endpoint("b", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.failure.Kind, MayHaveRun)
	assert.Equal(t, first.count()+second.count(), 1)
}

func TestRejectedCallIsNotRunAndMayGoElsewhere(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", repeatable(routing.AtMostOnce)))
	f.endpoint("a", answerWith(http.StatusServiceUnavailable, "Not-Run", ""))
	f.endpoint("b", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.status, http.StatusOK)
	assert.Equal(t, sink.body.String(), "done")
}

func TestRejectedCallOfASingleEndpointRouteIsRefusedAsNotRun(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(r *routing.Route) { r.MaxEndpoints = 1 }))
	f.endpoint("a", answerWith(http.StatusServiceUnavailable, "Not-Run", ""))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.failure.Kind, NotRun)
	assert.Assert(t, sink.failure.RetryAfter > 0)
}

// "Not run" must not be said of a call that an endpoint may have begun, even
// when the endpoint tried last rejects it.
func TestRejectionAfterALostAnswerIsNotCalledNotRun(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("lookup", repeatable(routing.Idempotent)))
	f.endpoint("a", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	f.endpoint("b", answerWith(http.StatusServiceUnavailable, "Not-Run", ""))

	sink := f.serve("/lookup/x")

	assert.Equal(t, sink.failure.Kind, MayHaveRun)
}

func TestFailureOfAnIdempotentCallIsRepeatedOnceElsewhere(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("lookup", repeatable(routing.Idempotent)))
	first := f.endpoint("a", answerWith(http.StatusInternalServerError, "Signed", "error"))
	second := f.endpoint("b", answerWith(http.StatusInternalServerError, "Signed", "error"))
	third := f.endpoint("c", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/lookup/x")

	assert.Equal(t, sink.status, http.StatusInternalServerError)
	assert.Equal(t, first.count()+second.count()+third.count(), 2)
}

func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", repeatable(routing.AtMostOnce)))
	f.endpoint("a", answerWith(http.StatusOK, "", "who knows"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.begun, 0)
	assert.Equal(t, sink.failure.Kind, MayHaveRun)
}

func TestEndpointsThatCannotBeReachedCostNothing(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(r *routing.Route) { r.MaxEndpoints = 1 }))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	f.add("a", address)
	f.endpoint("b", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.body.String(), "done")
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	f := newFixture(t)
	sink := f.serve("/confirm/x")
	assert.Equal(t, sink.failure.Kind, NotReady)
}

func TestOlderConfigurationIsRefused(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", repeatable(routing.AtMostOnce)))
	assert.Assert(t, !f.gateway.SetTable(routing.New(0, nil, nil, nil, nil, routing.Limits{})))
	assert.Equal(t, f.gateway.Version(), int64(1))
}

// The endpoint must be free soon after its caller has left.
func TestEndpointSeesThatTheCallerLeft(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streaming(routing.Resumable)))
	left := make(chan struct{})
	running := make(chan struct{})
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-running
		cancel()
	}()
	f.serveContext(ctx, "/draft/x")
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint still works for a caller that left")
	}
}

func TestRequestIsAnsweredAtItsTimeout(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(r *routing.Route) { r.Timeout = 100 * time.Millisecond }))
	f.endpoint("a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.failure.Kind, TimedOut)
}

// Found by a score: a stream taken 3.3 s after SIGTERM was cut when the grace
// was over. A stopping daemon refuses late requests that may outlast it.
func TestStoppingDaemonRefusesWhatMayOutlastIt(t *testing.T) {
	f := newFixture(t)
	f.configure(
		testRoute("draft", streaming(routing.AtMostOnce)),
		testRoute("confirm", func(r *routing.Route) { r.Timeout = 100 * time.Millisecond }),
	)
	endpoint := f.endpoint("a", answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\n"))
	now := time.Now()
	f.gateway.Stopping(now.Add(time.Hour), now.Add(time.Second))
	assert.Assert(t, f.serve("/draft/x").ended, "callers that still hold the address are served")

	f.gateway.Stopping(now, now.Add(time.Second))
	sink := f.serve("/draft/x")
	assert.Equal(t, sink.failure.Kind, NotRun)
	assert.Assert(t, sink.failure.RetryAfter > 0)
	assert.Equal(t, endpoint.count(), 1)
	assert.Equal(t, f.serve("/confirm/x").status, http.StatusOK, "short calls end in time")
}

// Retries are bounded over all daemons; reloads of the same figures add none.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	f := newFixture(t)
	f.gateway.SetRetryBudget(0.2, 10)
	const most = 10 * retryMargin
	taken := 0
	for range 100 {
		f.gateway.SetRetryBudget(0.2, 10)
		if f.gateway.mayRetry(testPool) {
			taken++
		}
	}
	assert.Equal(t, taken, int(most))
	for range 100 {
		f.gateway.countFirstSend(testPool)
	}
	for f.gateway.mayRetry(testPool) {
		taken++
	}
	assert.Assert(t, taken <= int(most)+20, "a fifth of the first sends")
}

// Daemons that start together must not each begin with a large share because
// they do not know of each other yet.
func TestRetryAllowanceFollowsTheNumberOfDaemons(t *testing.T) {
	f := newFixture(t)
	f.gateway.SetRetryBudget(0, 100)
	assert.Assert(t, f.gateway.mayRetry(testPool))
	f.gateway.describe(time.Now(), 9, 10, &peerpb.Report{})
	taken := 0
	for f.gateway.mayRetry(testPool) {
		taken++
	}
	assert.Equal(t, taken, int(100*retryMargin/20))
}

func TestEachHopHasASpan(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	f := newFixture(t)
	f.gateway.options.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	f.configure(testRoute("confirm", repeatable(routing.AtMostOnce)))
	f.endpoint("a", answerWith(http.StatusOK, "Signed", "done"))

	f.serve("/confirm/x")

	var names []string
	for _, span := range spans.Ended() {
		names = append(names, span.Name())
		assert.Equal(t, span.SpanContext().TraceID(), spans.Ended()[0].SpanContext().TraceID())
	}
	assert.DeepEqual(t, names, []string{"forward.wait", "forward.send", "forward.request"})
}
