package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/routing"
)

// streamWith returns a handler that starts a stream and continues it with a
// function, until that returns or the gateway leaves.
func streamWith(next func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "1")
		w.Write([]byte("id: 1\ndata: a\n\n"))
		http.NewResponseController(w).Flush()
		next(w, r)
	}
}

// writeEvery writes text at an interval until the gateway leaves.
func writeEvery(interval time.Duration, text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(interval):
			}
			if _, err := w.Write([]byte(text)); err != nil {
				return
			}
			http.NewResponseController(w).Flush()
		}
	}
}

func streamRoute(retry routing.RetrySafety) func(*routing.Route) {
	return func(r *routing.Route) {
		r.Streaming, r.RetrySafety, r.Timeout = true, retry, 30*time.Second
		r.LatencyTarget, r.EventGapTarget = 50*time.Millisecond, 50*time.Millisecond
	}
}

// A byte now and then inside an event is no progress: the stream is ended when
// callers would leave.
func TestStalledStreamThatSendsBytesEnds(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamRoute(routing.AtMostOnce)))
	f.startEndpoint("a", streamWith(writeEvery(100*time.Millisecond, ":")))
	started := time.Now()
	sink := f.serve("/draft/x")
	assert.Assert(t, sink.aborted)
	assert.Equal(t, sink.body.String(), "id: 1\ndata: a\n\n")
	elapsed := time.Since(started)
	assert.Assert(t, elapsed >= minCallerWait && elapsed < 2*minCallerWait, "ended after %v", elapsed)
}

// A stalled stream that may be resumed continues on another endpoint.
func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamRoute(routing.Resumable)))
	f.startEndpoint("a", streamWith(writeEvery(100*time.Millisecond, ":")))
	f.startEndpoint("b", answerWith(http.StatusOK, "Signed", "id: 2\ndata: b\n\n"))
	sink := f.serve("/draft/x")
	assert.Assert(t, sink.ended)
	assert.Equal(t, sink.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// A slow engine that completes events in time is sound, however long its stream
// takes in all.
func TestSlowStreamOfWholeEventsIsNotCut(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamRoute(routing.AtMostOnce)))
	const events, pause = 3, 1500 * time.Millisecond
	f.startEndpoint("a", streamWith(func(w http.ResponseWriter, _ *http.Request) {
		for i := range events {
			time.Sleep(pause)
			fmt.Fprintf(w, "id: %d\ndata: b\n\n", i+2)
			http.NewResponseController(w).Flush()
		}
	}))
	sink := f.serve("/draft/x")
	assert.Assert(t, sink.ended)
	assert.Equal(t, strings.Count(sink.body.String(), "data:"), 1+events)
}

// An event without end must not fill the memory.
func TestEndlessEventEndsStream(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamRoute(routing.AtMostOnce)))
	f.startEndpoint("a", streamWith(writeEvery(0, strings.Repeat("data: x\n", 8<<10))))
	started := time.Now()
	sink := f.serve("/draft/x")
	assert.Assert(t, sink.aborted)
	assert.Assert(t, time.Since(started) < minCallerWait, "ended after %v", time.Since(started))
}
