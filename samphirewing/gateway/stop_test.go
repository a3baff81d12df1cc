package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/stopping"
	"github.com/samphirewing/samphirewing/state/routing"
)

const (
	// blocked is longer than a stop in these tests takes.
	blocked = 20 * time.Second
	// occupied is more requests than a test endpoint runs at a time.
	occupied = 16
)

func blockingAnswer(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(blocked):
	}
}

// serveAll serves n requests at once and returns a channel with what each was answered.
func (f *fixture) serveAll(n int, path string) chan *recordingSink {
	sinks := make(chan *recordingSink, n)
	for range n {
		go func() { sinks <- f.serve(path) }()
	}
	return sinks
}

func awaitSink(t *testing.T, sinks chan *recordingSink, limit time.Duration) *recordingSink {
	t.Helper()
	select {
	case sink := <-sinks:
		return sink
	case <-time.After(limit):
		t.Fatalf("a request was not answered within %v", limit)
		return nil
	}
}

// Guards against requests that wait for a slot when the daemon stops and get no answer
// before it exits.
func TestRequestsThatWaitWhenTheDaemonStopsAreRefused(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(r *routing.Route) { r.Timeout, r.LatencyTarget = blocked, blocked }))
	endpoint := f.startEndpoint("a", blockingAnswer)
	sinks := f.serveAll(occupied, "/confirm/x")
	deadline := time.Now().Add(5 * time.Second)
	for f.waiting() == 0 || f.waiting()+endpoint.requestCount() < occupied {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	waiting := f.waiting()
	now := time.Now()
	schedule := stopping.Schedule{RefuseAfter: now.Add(200 * time.Millisecond), ExitAt: now.Add(time.Second)}
	f.gateway.BeginStop(schedule)
	for range waiting {
		sink := awaitSink(t, sinks, time.Until(schedule.EndAt()))
		assert.Equal(t, sink.failure.Kind, NotRun)
		assert.Assert(t, sink.failure.RetryAfter >= stopping.RetryAfter && sink.failure.RetryAfter <= stopping.RetryAfterOf(waiting))
	}
	f.gateway.EndRequests()
	for range occupied - waiting {
		assert.Equal(t, awaitSink(t, sinks, stopping.AnswerMargin).failure.Kind, MayHaveRun)
	}
	assert.Equal(t, endpoint.requestCount(), occupied-waiting, "a refused request was sent")
}

func (f *fixture) waiting() int {
	f.gateway.mu.Lock()
	defer f.gateway.mu.Unlock()
	return len(f.gateway.waiters)
}

// fillEndpoints occupies all slots of the endpoints so far.
func (f *fixture) fillEndpoints() {
	f.t.Helper()
	for f.waiting() == 0 {
		ctx, cancel := context.WithCancel(context.Background())
		f.t.Cleanup(cancel)
		before := f.gateway.ActiveRequests()
		go f.serveWithContext(ctx, "/confirm/fill")
		for f.gateway.ActiveRequests() == before {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
		if f.waiting() > 0 {
			cancel()
			break
		}
	}
	for f.waiting() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against callers that learn nothing as the daemon exits, and against a refusal
// of what may have run: each request has ended when EndRequests has, in whatever state
// it was.
func TestRequestsInProgressAreAnsweredBeforeTheExit(t *testing.T) {
	firstEvent := func(w http.ResponseWriter, r *http.Request) {
		answerWith(http.StatusOK, "Signed", "id: 1\ndata: x\n\n")(w, r)
		_ = http.NewResponseController(w).Flush()
		blockingAnswer(w, r)
	}
	rejected := answerWith(http.StatusServiceUnavailable, "Not-Run", "")
	for name, c := range map[string]struct {
		path     string
		handlers []http.HandlerFunc
		waits    bool
		aborted  bool
		kind     FailureKind
	}{
		"call without an answer":             {path: "/confirm/x", handlers: []http.HandlerFunc{blockingAnswer}, kind: MayHaveRun},
		"answer that has begun":              {path: "/confirm/x", handlers: []http.HandlerFunc{firstEvent}, kind: MayHaveRun},
		"rejected and waiting":               {path: "/lookup/x", handlers: []http.HandlerFunc{rejected}, waits: true, kind: NotRun},
		"lost and waiting":                   {path: "/lookup/x", handlers: []http.HandlerFunc{eventsThenBreak("")}, waits: true, kind: MayHaveRun},
		"stream without an event":            {path: "/draft/x", handlers: []http.HandlerFunc{blockingAnswer}, kind: MayHaveRun},
		"stream in progress":                 {path: "/draft/x", handlers: []http.HandlerFunc{firstEvent}, aborted: true},
		"broken stream, waiting for a place": {path: "/draft/x", handlers: []http.HandlerFunc{eventsThenBreak("id: 1\ndata: x\n\n")}, waits: true, aborted: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			slow := func(r *routing.Route) { r.Timeout, r.LatencyTarget = blocked, blocked }
			f.configure(testRoute("confirm", slow),
				testRoute("lookup", func(r *routing.Route) { slow(r); r.RetrySafety = routing.Idempotent }),
				testRoute("draft", func(r *routing.Route) {
					slow(r)
					r.Streaming, r.RetrySafety = true, routing.Resumable
				}))
			f.startEndpoint("full", blockingAnswer)
			f.fillEndpoints()
			endpoint := f.startEndpoint("a", c.handlers...)
			sinks, written := make(chan *recordingSink, 1), make(chan struct{}, 1)
			go func() {
				sink := &recordingSink{onWrite: func() { written <- struct{}{} }}
				f.serveInto(context.Background(), sink, c.path)
				sinks <- sink
			}()
			for endpoint.requestCount() == 0 || c.waits && f.waiting() == 0 {
				time.Sleep(time.Millisecond)
			}
			if c.aborted {
				<-written
			}
			assert.Equal(t, len(sinks), 0, "the request ended before the stop")
			now := time.Now()
			f.gateway.BeginStop(stopping.Schedule{RefuseAfter: now.Add(time.Hour), ExitAt: now.Add(time.Hour)})
			f.gateway.EndRequests()
			sink := awaitSink(t, sinks, stopping.AnswerMargin)
			if c.aborted {
				assert.Assert(t, sink.aborted && !sink.ended)
				return
			}
			assert.Assert(t, sink.failure != nil)
			assert.Equal(t, sink.failure.Kind, c.kind)
		})
	}
}

// Guards against a request that comes while the daemon exits and is passed on.
func TestNothingIsSentAfterRequestsWereEnded(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("confirm", func(*routing.Route) {}))
	endpoint := f.startEndpoint("a", answerWith(http.StatusOK, "Signed", "x"))
	now := time.Now()
	f.gateway.BeginStop(stopping.Schedule{RefuseAfter: now, ExitAt: now.Add(time.Hour)})
	f.gateway.EndRequests()
	sink := f.serveWithContext(context.Background(), "/confirm/x")
	assert.Assert(t, sink.failure != nil)
	assert.Equal(t, sink.failure.Kind, NotRun)
	assert.Equal(t, endpoint.requestCount(), 0)
}
