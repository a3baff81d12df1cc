package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/retryschedule"
)

// comesBack refuses a request for overload and lets its caller come back when it was
// told, while new requests have filled the queue. It returns whether it waits then.
func comesBack(t *testing.T, settings Settings) bool {
	s := crowdedScheduler(t)
	s.Configure(settings)
	now := start.Add(shareInterval)
	s.Advance(now)
	offer := func(now time.Time, id string, f retryschedule.Fingerprint) (*Request, *Refusal) {
		r := newRequest(id, now, 1)
		r.Organisation, r.Fingerprint, r.Deadline = "large", f, now.Add(6*time.Second)
		g, refusal := s.Offer(now, r)
		assert.Assert(t, g == nil)
		return r, refusal
	}
	_, refusal := offer(now, "first", 1)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Promised, settings.ScheduledRetries)
	assert.Assert(t, refusal.RetryAfter <= 2*time.Second, "callers give up after a third of their time")
	back := now.Add(refusal.RetryAfter)
	for i := range 60 {
		offer(back, fmt.Sprint("new-", i), retryschedule.Fingerprint(10+i))
	}
	r, refusal := offer(back, "back", 1)
	assert.Equal(t, r.Returned(), settings.ScheduledRetries)
	return refusal == nil
}

// Guards against callers that are refused a second time although they came back when
// they were told to, because new arrivals took the capacity first.
func TestCallerThatComesBackAsToldFindsAPlace(t *testing.T) {
	assert.Assert(t, comesBack(t, DefaultSettings()))
	assert.Assert(t, !comesBack(t, Settings{FairShares: true}), "the load shows the fault without scheduled retries")
}
