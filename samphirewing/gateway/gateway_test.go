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

	"github.com/samphirewing/samphirewing/coordination/stopping"
	"github.com/samphirewing/samphirewing/state/routing"
)

func streamingRoute(safety routing.RetrySafety) func(*routing.Route) {
	return func(r *routing.Route) { r.Streaming, r.RetrySafety = true, safety }
}

func callRoute(safety routing.RetrySafety) func(*routing.Route) {
	return func(r *routing.Route) { r.RetrySafety = safety }
}

// Regression test: an endpoint crashed in the middle of a stream and the next
// one answered 500, after which the caller's answer was ended as if it were
// complete.
func TestFailedResumeAbortsStream(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamingRoute(routing.Resumable)))
	f.startEndpoint("a", eventsThenBreak("id: 1\ndata: x\n\nid: 2\nda"))
	f.startEndpoint("b", answerWith(http.StatusInternalServerError, "Signed", "error"))

	sink := f.serve("/draft/x")

	assert.Equal(t, sink.beginCalls, 1)
	assert.Equal(t, sink.body.String(), "id: 1\ndata: x\n\n")
	assert.Assert(t, sink.aborted && !sink.ended)
}

func TestBrokenStreamResumesAfterLastCompleteEvent(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamingRoute(routing.Resumable)))
	f.startEndpoint("a", eventsThenBreak("id: 1\ndata: x\n\nid: 2\nda"))
	second := f.startEndpoint("b", answerWith(http.StatusOK, "Signed", "id: 2\ndata: y\n\n"))

	sink := f.serve("/draft/x")

	assert.Equal(t, sink.body.String(), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
	assert.Assert(t, sink.ended && !sink.aborted)
	assert.Equal(t, second.requests[0].Header.Get("Last-Event"), "1")
}

func TestBrokenAtMostOnceStreamIsAbortedWithoutRetry(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("suggest", streamingRoute(routing.AtMostOnce)))
	f.startEndpoint("a", eventsThenBreak("id: 1\ndata: x\n\n"))
	second := f.startEndpoint("b", answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\n"))

	sink := f.serve("/suggest/x")

	assert.Assert(t, sink.aborted && !sink.ended)
	assert.Equal(t, second.requestCount(), 0)
}

func TestStreamEndingInsideEventIsAborted(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("suggest", streamingRoute(routing.AtMostOnce)))
	f.startEndpoint("a", answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\nid: 2\nda"))

	sink := f.serve("/suggest/x")

	assert.Equal(t, sink.body.String(), "id: 1\ndata: x\n\n")
	assert.Assert(t, sink.aborted && !sink.ended)
}

func TestLostAnswerOfAtMostOnceCallIsNotRetried(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", callRoute(routing.AtMostOnce)))
	first := f.startEndpoint("a", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	second := f.startEndpoint("b", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.failure.Kind, MayHaveRun)
	assert.Equal(t, first.requestCount()+second.requestCount(), 1)
}

func TestRejectedCallIsRetriedOnAnotherEndpoint(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", callRoute(routing.AtMostOnce)))
	f.startEndpoint("a", answerWith(http.StatusServiceUnavailable, "Not-Run", ""))
	f.startEndpoint("b", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.status, http.StatusOK)
	assert.Equal(t, sink.body.String(), "done")
}

func TestRejectedCallOnSingleEndpointRouteFailsAsNotRun(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(r *routing.Route) { r.MaxEndpoints = 1 }))
	f.startEndpoint("a", answerWith(http.StatusServiceUnavailable, "Not-Run", ""))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.failure.Kind, NotRun)
	assert.Assert(t, sink.failure.RetryAfter > 0)
}

// "Not run" must not be reported for a call that an endpoint may have started,
// even if the last endpoint rejects it.
func TestRejectionAfterLostAnswerFailsAsMayHaveRun(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("lookup", callRoute(routing.Idempotent)))
	f.startEndpoint("a", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	f.startEndpoint("b", answerWith(http.StatusServiceUnavailable, "Not-Run", ""))

	sink := f.serve("/lookup/x")

	assert.Equal(t, sink.failure.Kind, MayHaveRun)
}

func TestFailedIdempotentCallIsRetriedOnce(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("lookup", callRoute(routing.Idempotent)))
	first := f.startEndpoint("a", answerWith(http.StatusInternalServerError, "Signed", "error"))
	second := f.startEndpoint("b", answerWith(http.StatusInternalServerError, "Signed", "error"))
	third := f.startEndpoint("c", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/lookup/x")

	assert.Equal(t, sink.status, http.StatusInternalServerError)
	assert.Equal(t, first.requestCount()+second.requestCount()+third.requestCount(), 2)
}

func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", callRoute(routing.AtMostOnce)))
	f.startEndpoint("a", answerWith(http.StatusOK, "", "unsigned"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.beginCalls, 0)
	assert.Equal(t, sink.failure.Kind, MayHaveRun)
}

func TestUnreachableEndpointDoesNotCountTowardsMaxEndpoints(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(r *routing.Route) { r.MaxEndpoints = 1 }))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	f.addEndpoint("a", address)
	f.startEndpoint("b", answerWith(http.StatusOK, "Signed", "done"))

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.body.String(), "done")
}

func TestRequestWithoutConfigurationFailsAsNotReady(t *testing.T) {
	f := newFixture(t)
	sink := f.serve("/confirm/x")
	assert.Equal(t, sink.failure.Kind, NotReady)
}

func TestOlderConfigurationIsRejected(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", callRoute(routing.AtMostOnce)))
	assert.Assert(t, !f.gateway.SetTable(routing.New(0, nil, nil, nil, nil, routing.Limits{})))
	assert.Equal(t, f.gateway.Version(), int64(1))
}

// The endpoint must be free soon after its caller has left.
func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamingRoute(routing.Resumable)))
	canceled := make(chan struct{})
	running := make(chan struct{})
	f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-running
		cancel()
	}()
	f.serveWithContext(ctx, "/draft/x")
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint's request was not canceled within 10 s of the caller's disconnect")
	}
}

func TestRequestFailsAsTimedOutAtRouteTimeout(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(r *routing.Route) { r.Timeout = 100 * time.Millisecond }))
	f.startEndpoint("a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })

	sink := f.serve("/confirm/x")

	assert.Equal(t, sink.failure.Kind, TimedOut)
}

// Regression test: a stream accepted 3.3 s after SIGTERM was truncated when the
// grace period ended. A stopping daemon refuses late requests that may outlast
// it.
func TestStoppingDaemonRefusesRequestsThatMayOutlastIt(t *testing.T) {
	f := newFixture(t)
	f.configure(
		testRoute("draft", streamingRoute(routing.AtMostOnce)),
		testRoute("confirm", func(r *routing.Route) { r.Timeout = 100 * time.Millisecond }),
	)
	endpoint := f.startEndpoint("a", answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\n"))
	now := time.Now()
	f.gateway.BeginStop(stopping.Schedule{RefuseAfter: now.Add(time.Hour), ExitAt: now.Add(time.Second)})
	assert.Assert(t, f.serve("/draft/x").ended, "requests before refuseAfter are served")

	f.gateway.BeginStop(stopping.Schedule{RefuseAfter: now, ExitAt: now.Add(time.Second)})
	sink := f.serve("/draft/x")
	assert.Equal(t, sink.failure.Kind, NotRun)
	assert.Assert(t, sink.failure.RetryAfter > 0)
	assert.Equal(t, endpoint.requestCount(), 1)
	assert.Equal(t, f.serve("/confirm/x").status, http.StatusOK, "calls that end before the exit are served")
}

// Guards against requests that are passed on late in a planned stop and cut when the
// process exits: with a deadline just before the exit, with a body that took long
// to arrive, or after a long wait for a slot.
func TestStoppingDaemonPassesOnNothingThatItMayCut(t *testing.T) {
	const (
		exitIn, limit = 800 * time.Millisecond, 750 * time.Millisecond
		// occupying is more requests than the endpoint runs at a time.
		occupying = 16
	)
	for name, c := range map[string]struct {
		timeout time.Duration
		// readFor is the time from the arrival of the request to its last byte.
		readFor, waitsFor time.Duration
	}{
		"deadline just before the exit": {timeout: limit},
		"slow body":                     {timeout: 5 * time.Second, readFor: time.Second},
		"long wait":                     {timeout: 5 * time.Second, waitsFor: 3 * exitIn / 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(testRoute("confirm", func(r *routing.Route) { r.Timeout = c.timeout }))
			now := time.Now()
			release := now.Add(c.waitsFor)
			endpoint := f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Until(release))
				answerWith(http.StatusOK, "Signed", "x")(w, r)
			})
			if c.waitsFor > 0 {
				for range occupying {
					go f.serve("/confirm/y")
				}
				time.Sleep(exitIn / 8)
			}
			f.gateway.BeginStop(stopping.Schedule{RefuseAfter: now.Add(min(c.waitsFor, exitIn/4)), ExitAt: now.Add(exitIn)})
			sink := &recordingSink{}
			f.gateway.Serve(context.Background(), &Request{
				ID: "r1", Method: http.MethodPost, Host: "host", RouteHost: "host", Path: "/confirm/x", Target: "/confirm/x", Header: http.Header{}, Arrived: now.Add(-c.readFor),
			}, sink)
			assert.Assert(t, sink.failure != nil, "the request was passed on")
			assert.Equal(t, sink.failure.Kind, NotRun)
			assert.Equal(t, sink.failure.RetryAfter, stopping.RetryAfter)
			for _, r := range endpoint.sent() {
				assert.Assert(t, r.URL.Path != "/confirm/x")
			}
		})
	}
}

// Retries are bounded over all daemons. Reloads with unchanged values must not
// add any.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := newFixture(t)
	f.gateway.SetRetryBudget(0.2, 10)
	const maxRetries = 10 * usableRetryFraction
	acquired := 0
	for range 100 {
		f.gateway.SetRetryBudget(0.2, 10)
		if f.gateway.acquireRetry(testPool) {
			acquired++
		}
	}
	assert.Equal(t, acquired, int(maxRetries))
	for range 100 {
		f.gateway.countFirstSend(testPool)
	}
	for f.gateway.acquireRetry(testPool) {
		acquired++
	}
	assert.Assert(t, acquired <= int(maxRetries)+20, "first sends add a fifth of their number")
}

// Daemons that start together don't know of each other yet; each of them must
// not start with a large share of the allowance.
func TestRetryAllowanceIsDividedAmongDaemons(t *testing.T) {
	f := newFixture(t)
	f.gateway.SetRetryBudget(0, 100)
	assert.Assert(t, f.gateway.acquireRetry(testPool))
	f.gateway.ownSummary(time.Now(), 9, 10)
	acquired := 0
	for f.gateway.acquireRetry(testPool) {
		acquired++
	}
	assert.Equal(t, acquired, int(100*usableRetryFraction/20))
}

func TestEachHopHasASpan(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	f := newFixture(t)
	f.gateway.options.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	f.configure(testRoute("confirm", callRoute(routing.AtMostOnce)))
	f.startEndpoint("a", answerWith(http.StatusOK, "Signed", "done"))

	f.serve("/confirm/x")

	var names []string
	for _, span := range spans.Ended() {
		names = append(names, span.Name())
		assert.Equal(t, span.SpanContext().TraceID(), spans.Ended()[0].SpanContext().TraceID())
	}
	assert.DeepEqual(t, names, []string{"forward.wait", "forward.send", "forward.request"})
}

// Guards against slots that are lost for good when a handler panics, at any point
// between the grant and its result.
func TestPanicReleasesSlot(t *testing.T) {
	for name, sink := range map[string]*panickingSink{"head": {onBegin: true}, "body": {onWrite: true}, "end": {onEnd: true}} {
		for kind, streaming := range map[string]bool{"stream": true, "ordinary answer": false} {
			t.Run(kind+"/"+name, func(t *testing.T) {
				f := newFixture(t)
				f.configure(testRoute("s", func(r *routing.Route) { r.Streaming = streaming }))
				f.startEndpoint("a", answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\n"))
				for range 50 {
					func() {
						defer func() { assert.Assert(t, recover() != nil) }()
						f.gateway.Serve(context.Background(), &Request{
							ID: "r1", Method: http.MethodPost, Host: "host", RouteHost: "host", Path: "/s/x", Target: "/s/x", Header: http.Header{}, Arrived: time.Now(),
						}, sink)
					}()
				}
				assert.Equal(t, len(f.gateway.scheduler.Report(time.Now()).Loads), 0, "requests count as running")
				assert.Equal(t, f.gateway.ActiveRequests(), 0)
				assert.Assert(t, f.serve("/s/x").ended)
			})
		}
	}
}

// panickingSink panics in one of its methods.
type panickingSink struct {
	discardingSink
	onBegin, onWrite, onEnd bool
}

func panicIf(condition bool) {
	if condition {
		panic("test")
	}
}

func (s *panickingSink) Begin(int, http.Header, int64) { panicIf(s.onBegin) }
func (s *panickingSink) Write([]byte) error            { panicIf(s.onWrite); return nil }
func (s *panickingSink) End()                          { panicIf(s.onEnd) }
