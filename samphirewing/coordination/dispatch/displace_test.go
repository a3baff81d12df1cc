package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

// crowdedScheduler returns a scheduler whose only engine completes a request every
// 25 ms, at which 11 requests of one organisation wait, which is all that can be in time.
// The last one has been sent before.
func crowdedScheduler(t *testing.T) *Scheduler {
	s := newTestScheduler("a")
	for range 30 {
		before := newRequest("before", start, 1)
		before.Organisation = "large"
		g := mustPlace(t, s, start.Add(-300*time.Millisecond), before)
		s.RecordFirstEvent(start.Add(-250*time.Millisecond), g)
		s.Release(start.Add(-200*time.Millisecond), g, Succeeded)
	}
	fillSlots(t, s, slots)
	for i := range 40 {
		r := newRequest(fmt.Sprint("large-", i), start, 1)
		r.Organisation, r.Output = "large", 1000
		if i == 10 {
			r.Tried = []structs.EndpointName{"b"}
		}
		s.Offer(start, r)
	}
	// Another organisation has used little and asks for no more.
	rq := s.pools[enginePool].waiting.rank(1)
	rq.ledger.Charge(start, rq.ledger.Account(benchKey(0)), 30)
	return s
}

// Guards against an organisation within its share being refused because another one
// fills the queue, and against refusing as not run what may have run.
func TestDisplacesRequestsOfOrganisationOverItsShare(t *testing.T) {
	s := crowdedScheduler(t)
	waiting := s.Waiting()
	now := start.Add(shareInterval)
	s.Advance(now)
	small := newRequest("small", now, 1)
	small.Organisation = benchName(0)
	g, refusal := s.Offer(now, small)
	assert.Assert(t, g == nil && refusal == nil)
	assert.Assert(t, s.Displaced())
	_, refusals := s.Advance(now)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, ReasonOverShare)
	assert.Assert(t, len(refusals[0].Request.Tried) == 0)
	assert.Assert(t, refusals[0].RetryAfter > 0)
	assert.Assert(t, !s.Withdraw(refusals[0].Request))
	assert.Equal(t, s.Waiting(), waiting)

	large := newRequest("large again", now, 1)
	large.Organisation = "large"
	_, refusal = s.Offer(now, large)
	assert.Assert(t, refusal != nil && refusal.Reason == ReasonOverload)
	assert.Assert(t, !s.Displaced())
}
