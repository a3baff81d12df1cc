package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/routing"
)

// allowedRequests is the stated target: one and a half times what the limit
// allows in the time, and five requests.
func allowedRequests(perSecond float64, d time.Duration) int {
	return int(1.5*perSecond*d.Seconds()) + 5
}

// Guards against an endpoint in need getting more requests than the limit that it
// names in its answers, while another endpoint has room.
func TestEndpointGetsNoMoreThanTheLimitItNames(t *testing.T) {
	const perSecond, length = 4.0, 3 * time.Second
	f := newFixture(t)
	limited := f.startEndpoint("e1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limit", fmt.Sprint(perSecond))
		w.Header().Set("Signed", "1")
		fmt.Fprint(w, "ok")
	})
	other := f.startEndpoint("e2", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		answerWith(http.StatusOK, "Signed", "ok")(w, r)
	})
	f.configure(testRoute("s", func(r *routing.Route) {}))
	var callers sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		callers.Go(func() { assert.Check(t, f.serve("/s/x").ended) })
	}
	callers.Wait()
	got := limited.requestCount()
	assert.Assert(t, got <= allowedRequests(perSecond, length), "the limited endpoint got %d requests, the other %d", got, other.requestCount())
	assert.Assert(t, got >= int(perSecond*length.Seconds()/2), "only %d requests", got)
}

// Guards against an endpoint that is left alone for good after it has named a
// limit once.
func TestEndpointIsUsedAgainOnceItNamesNoLimit(t *testing.T) {
	f := newFixture(t)
	naming := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limit", "2.5")
		w.Header().Set("Signed", "1")
		fmt.Fprint(w, "ok")
	}
	e := f.startEndpoint("e1", naming, answerWith(http.StatusOK, "Signed", "ok"))
	f.configure(testRoute("s", func(r *routing.Route) {}))
	assert.Assert(t, f.serve("/s/x").ended)
	// The next request has to wait for its turn, or is told to return.
	lifted := false
	for end := time.Now().Add(2 * time.Second); !lifted && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		lifted = f.serve("/s/x").ended
	}
	assert.Assert(t, lifted)
	for range 18 {
		answer := f.serve("/s/x")
		assert.Assert(t, answer.ended, "%v", answer.failure)
	}
	assert.Equal(t, e.requestCount(), 20)
}
