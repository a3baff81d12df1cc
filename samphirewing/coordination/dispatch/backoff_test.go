package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// patientRequest returns a request that may start up to five seconds after at.
func patientRequest(id string, at time.Time) *Request {
	r := newRequest(id, at, 1)
	r.Target, r.StartBy = 0, at.Add(5*time.Second)
	return r
}

// Guards against requests to an endpoint that has asked for none, and against all
// of them returning at once when its time is over.
func TestEndpointInBackoffGetsNothingAndThenOneRequest(t *testing.T) {
	s := newTestScheduler("a", "b")
	s.BackOff("a", start.Add(2*time.Second))
	s.BackOff("a", start.Add(time.Second))
	place := func(now time.Time) (names []structs.EndpointName, grants []*Grant) {
		for i := range slots {
			if g, _ := s.Offer(now, newRequest(fmt.Sprint(i), now, 1)); g != nil {
				names, grants = append(names, g.Endpoint.Name), append(grants, g)
			}
		}
		return names, grants
	}
	for _, after := range []time.Duration{0, time.Second, 1999 * time.Millisecond} {
		names, grants := place(start.Add(after))
		for i, g := range grants {
			assert.Equal(t, names[i], structs.EndpointName("b"), "after %v", after)
			s.Release(start.Add(after), g, Succeeded)
		}
	}
	now := start.Add(2 * time.Second)
	names, grants := place(now)
	var trial *Grant
	for i, g := range grants {
		if names[i] == "a" {
			assert.Assert(t, trial == nil, "a second request before the first is answered")
			trial = g
		}
	}
	assert.Assert(t, trial != nil)
	s.RecordFirstEvent(now, trial)
	more, _ := place(now)
	assert.Assert(t, len(more) > 1 && more[0] == "a", "%v", more)
}

// Guards against requests that wait for endpoints which all have asked for none
// until it is too late, and against a retry delay that is not that of the first to
// return.
func TestPoolInBackoffTellsCallersWhenToReturn(t *testing.T) {
	s := newTestScheduler("a", "b")
	patient := patientRequest("waits", start)
	s.BackOff("a", start.Add(2*time.Second))
	s.BackOff("b", start.Add(3*time.Second))
	g, refusal := s.Offer(start, newRequest("urgent", start, 1))
	assert.Assert(t, g == nil && refusal != nil)
	assert.Equal(t, refusal.Reason, ReasonBackoff)
	assert.Equal(t, refusal.RetryAfter, 2*time.Second)

	g, refusal = s.Offer(start, patient)
	assert.Assert(t, g == nil && refusal == nil, "it can wait")
	grants, refusals := s.Advance(start.Add(1900 * time.Millisecond))
	assert.Equal(t, len(grants)+len(refusals), 0)
	grants, _ = s.Advance(start.Add(2 * time.Second))
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Endpoint.Name, structs.EndpointName("a"))
}

// Guards against requests that are held in vain when the last endpoint asks for
// none while they wait.
func TestWaitingRequestsAreRefusedWhenPoolBacksOff(t *testing.T) {
	s := newTestScheduler("a")
	for i := range 64 {
		if g, _ := s.Offer(start, patientRequest(fmt.Sprint("fill-", i), start)); g == nil {
			break
		}
	}
	assert.Assert(t, s.Waiting() > 0)
	s.BackOff("a", start.Add(time.Minute))
	_, refusals := s.Advance(start)
	assert.Assert(t, len(refusals) > 0)
	assert.Equal(t, s.Waiting(), 0)
	assert.Equal(t, refusals[0].Reason, ReasonBackoff)
	assert.Equal(t, refusals[0].RetryAfter, time.Minute)
}

// Guards against an endpoint in backoff that is taken for lost, and against its
// new start inheriting the backoff.
func TestBackoffEndsWithANewStart(t *testing.T) {
	s := newTestScheduler("a")
	s.BackOff("a", start.Add(time.Minute))
	restarted := engineEndpoint("a")
	restarted.StartedUnixMs++
	s.SetEndpoints([]endpointset.Endpoint{restarted})
	mustPlace(t, s, start, newRequest("r", start, 1))
}
