package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
)

// boundRequest returns the rest of a stream that began at a version.
func boundRequest(id, version string) *Request {
	r := newRequest(id, start, 0)
	r.Binding = Binding{Bound: true, Version: version}
	return r
}

// The endpoints of one version are full of streams and the rests of more wait for them.
// Guards against rests that are sent to another version, and against requests that wait
// behind them while the other version has free slots.
func TestBoundStreamsWaitForTheirVersionAndBlockNobody(t *testing.T) {
	const waiting = 3 * maxSkipped
	old, other := engineEndpoint("a"), engineEndpoint("b")
	old.Version, other.Version = "v1", "v2"
	s := newTestScheduler()
	s.SetEndpoints([]endpointset.Endpoint{old, other})
	var grants []*Grant
	for i := range slots {
		g, _ := s.Offer(start, boundRequest(fmt.Sprint("running-", i), "v1"))
		assert.Equal(t, g.Endpoint.Version, "v1")
		s.RecordFirstEvent(start, g)
		grants = append(grants, g)
	}
	for i := range waiting {
		g, refusal := s.Offer(start, boundRequest(fmt.Sprint("waiting-", i), "v1"))
		assert.Assert(t, g == nil && refusal == nil)
	}
	now := start.Add(time.Millisecond)
	g, refusal := s.Offer(now, newRequest("new", start, 0))
	assert.Assert(t, refusal == nil)
	if g == nil {
		placed, _ := s.Advance(now)
		assert.Equal(t, len(placed), 1)
		g = placed[0]
	}
	assert.Equal(t, g.Request.ID, "new")
	assert.Equal(t, g.Endpoint.Version, "v2")

	s.Release(now, grants[0], Succeeded)
	placed, _ := s.Advance(now)
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Endpoint.Version, "v1")
}

// Guards against rests that are refused under load, by the forecast for streams that
// begin, or placed after them: their callers already have a part of the answer.
func TestBoundStreamsPrecedeThoseThatBegin(t *testing.T) {
	s := newTestScheduler("a")
	grants := fillSlots(t, s, slots)
	now := start.Add(500 * time.Millisecond)
	s.Release(now, grants[0], Succeeded)
	grants = append(grants[1:], mustPlace(t, s, now, newRequest("running", now, 0)))
	for n, refused := 0, false; !refused; n++ {
		_, refusal := s.Offer(now, newRequest(fmt.Sprint("new-", n), now, 0))
		refused = refusal != nil
	}
	rest := newRequest("rest", now, 0)
	rest.Binding = Binding{Bound: true}
	g, refusal := s.Offer(now, rest)
	assert.Assert(t, g == nil && refusal == nil)
	s.Release(now, grants[0], Succeeded)
	placed, _ := s.Advance(now)
	assert.Equal(t, placed[0].Request.ID, "rest")
}

// Guards against the rest of a stream that is kept waiting although its version has left.
func TestBoundStreamIsRefusedOnceItsVersionHasLeft(t *testing.T) {
	old, other := engineEndpoint("a"), engineEndpoint("b")
	old.Version, other.Version = "v1", "v2"
	s := newTestScheduler()
	s.SetEndpoints([]endpointset.Endpoint{old, other})
	for i := range slots {
		g, _ := s.Offer(start, boundRequest(fmt.Sprint("running-", i), "v1"))
		s.RecordFirstEvent(start, g)
	}
	g, refusal := s.Offer(start, boundRequest("waiting", "v1"))
	assert.Assert(t, g == nil && refusal == nil)
	s.SetEndpoints([]endpointset.Endpoint{other})
	_, refusals := s.Advance(start.Add(time.Millisecond))
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, ReasonNoEndpoint)
	_, refusal = s.Offer(start, boundRequest("late", "v1"))
	assert.Equal(t, refusal.Reason, ReasonNoEndpoint)
}
