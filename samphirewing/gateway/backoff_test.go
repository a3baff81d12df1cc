package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/routing"
)

// Guards against requests to an endpoint that has answered 503 and asked for none,
// while its entry lapses and comes back, and against one that is not used again.
func TestEndpointGetsNothingForAsLongAsItAsks(t *testing.T) {
	const (
		length = time.Second
		// graceTime and allowed are the stated target: from graceTime after the
		// answer to the end of the time, at most so many requests.
		graceTime, allowed = 500 * time.Millisecond, 2
	)
	for name, header := range map[string]string{"rejection": "Not-Run", "failure": "Signed"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var mu sync.Mutex
			var arrivals []time.Time
			var first time.Time
			f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				if first.IsZero() {
					first = time.Now()
				}
				sound := time.Since(first) >= length
				mu.Unlock()
				if sound {
					answerWith(http.StatusOK, "Signed", "x")(w, r)
					return
				}
				w.Header().Set("Backoff", length.String())
				answerWith(http.StatusServiceUnavailable, header, "")(w, r)
			})
			f.startEndpoint("b", answerWith(http.StatusOK, "Signed", "x"))
			f.configure(testRoute("s", func(r *routing.Route) {}))
			var callers sync.WaitGroup
			for end := time.Now().Add(2 * length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				callers.Go(func() { f.serve("/s/x") })
				f.gateway.SetEndpoints(f.endpoints[1:])
				f.gateway.SetEndpoints(f.endpoints)
			}
			callers.Wait()
			late, afterwards := 0, 0
			for _, at := range arrivals {
				switch after := at.Sub(first); {
				case after >= length:
					afterwards++
				case after > graceTime:
					late++
				}
			}
			assert.Assert(t, late <= allowed, "%d requests", late)
			assert.Assert(t, afterwards > 0, "not used again")
		})
	}
}

// Guards against callers that are told to return before any endpoint takes
// requests again.
func TestRejectedCallersReturnWhenTheFirstEndpointDoes(t *testing.T) {
	f := newFixture(t)
	e := f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Backoff", "2s")
		answerWith(http.StatusServiceUnavailable, "Not-Run", "")(w, r)
	})
	f.configure(testRoute("s", func(r *routing.Route) { r.Timeout = time.Second }))
	for i := range 3 {
		answer := f.serve("/s/x")
		assert.Equal(t, answer.failure.Kind, NotRun)
		wait := answer.failure.RetryAfter
		assert.Assert(t, wait > 1500*time.Millisecond && wait <= 2*time.Second, "request %d: %v", i, wait)
	}
	assert.Equal(t, e.requestCount(), 1)
}
