package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Unix(1000, 0)

const (
	enginePool  = structs.PoolName("engines")
	servicePool = structs.PoolName("orders")
	slots       = 4
)

func newTestScheduler(endpoints ...string) *Scheduler {
	s := New("a")
	s.SetTable(routing.New(1, nil, []*routing.Pool{
		{Name: enginePool, Engine: &routing.Engine{Slots: slots, CacheTokens: 100000}}, {Name: servicePool},
	}, nil, nil, routing.Limits{}))
	var all []endpointset.Endpoint
	for _, name := range endpoints {
		all = append(all, engineEndpoint(name))
	}
	s.SetEndpoints(all)
	return s
}

func engineEndpoint(name string) endpointset.Endpoint {
	return endpointset.Endpoint{Name: structs.EndpointName(name), Pool: enginePool, Slots: slots, FailureDomain: "a", StartedUnixMs: 1}
}

func newRequest(id string, at time.Time, rank structs.Rank) *Request {
	return &Request{ID: id, Pool: enginePool, Rank: rank, Prompt: 500, Output: 100, Arrived: at, Target: 400 * time.Millisecond, StartBy: at.Add(1500 * time.Millisecond)}
}

// reportedLoads returns the reported loads, without entries that only state that
// an endpoint is unreachable.
func reportedLoads(s *Scheduler) []Load {
	return slices.DeleteFunc(s.Report(start).Loads, func(l Load) bool { return l == Load{Endpoint: l.Endpoint, Unreachable: 1} })
}

func mustPlace(t *testing.T, s *Scheduler, now time.Time, r *Request) *Grant {
	t.Helper()
	g, refusal := s.Offer(now, r)
	assert.Assert(t, refusal == nil)
	assert.Assert(t, g != nil)
	return g
}

// fillSlots places n requests of the most urgent rank and starts their
// answers.
func fillSlots(t *testing.T, s *Scheduler, n int) []*Grant {
	var all []*Grant
	for i := range n {
		g := mustPlace(t, s, start, newRequest(fmt.Sprint("fill", i), start, 0))
		s.RecordFirstEvent(start.Add(time.Millisecond), g)
		all = append(all, g)
	}
	return all
}

func TestSpreadsRequestsOverEndpoints(t *testing.T) {
	s := newTestScheduler("a", "b")
	first := mustPlace(t, s, start, newRequest("1", start, 0))
	second := mustPlace(t, s, start, newRequest("2", start, 0))
	assert.Assert(t, first.Endpoint.Name != second.Endpoint.Name)
}

func TestCountsReportedPeerLoad(t *testing.T) {
	s := newTestScheduler("a", "b")
	s.SetPeerReport(start, "peer", Report{Loads: []Load{{Endpoint: "a", Running: slots}}})
	for i := range slots {
		assert.Equal(t, mustPlace(t, s, start, newRequest(fmt.Sprint(i), start, 0)).Endpoint.Name, structs.EndpointName("b"))
	}
	g, refusal := s.Offer(start, newRequest("last", start, 0))
	assert.Assert(t, g == nil && refusal == nil, "both endpoints are full")
}

func TestIgnoresExpiredPeerReports(t *testing.T) {
	s := newTestScheduler("a")
	s.SetPeerReport(start, "peer", Report{Loads: []Load{{Endpoint: "a", Running: slots}}})
	mustPlace(t, s, start.Add(2*peerReportTTL), newRequest("1", start.Add(2*peerReportTTL), 0))
}

func TestPlacesMostUrgentRankFirst(t *testing.T) {
	s := newTestScheduler("a")
	running := fillSlots(t, s, slots)
	for i, rank := range []structs.Rank{2, 1, 0} {
		r := newRequest(fmt.Sprint("rank", rank, i), start, rank)
		r.Target, r.StartBy = 2*time.Second, start.Add(4*time.Second)
		g, refusal := s.Offer(start, r)
		assert.Assert(t, g == nil && refusal == nil)
	}
	s.Release(start, running[0], Succeeded)
	grants, _ := s.Advance(start)
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].Request.Rank, structs.Rank(0))
}

// Within a rank, a request that can still meet its target is placed before one
// that is already late.
func TestPlacesOnTimeRequestsBeforeLate(t *testing.T) {
	s := newTestScheduler("a")
	running := fillSlots(t, s, slots)
	s.Offer(start, newRequest("late", start, 1))
	now := start.Add(500 * time.Millisecond)
	onTime := newRequest("in time", now, 1)
	onTime.Target, onTime.StartBy = 2*time.Second, now.Add(4*time.Second)
	g, refusal := s.Offer(now, onTime)
	assert.Assert(t, g == nil && refusal == nil)
	s.Release(now, running[0], Succeeded)
	grants, _ := s.Advance(now)
	assert.Equal(t, grants[0].Request.ID, "in time")
}

func TestRefusesExpiredRequests(t *testing.T) {
	s := newTestScheduler("a")
	fillSlots(t, s, slots)
	s.Offer(start, newRequest("1", start, 1))
	_, refusals := s.Advance(start.Add(2 * time.Second))
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, ReasonExpired)
	assert.Equal(t, s.Waiting(), 0)
}

func TestRefusesImmediatelyWithoutEndpoints(t *testing.T) {
	_, refusal := newTestScheduler().Offer(start, newRequest("1", start, 0))
	assert.Equal(t, refusal.Reason, ReasonNoEndpoint)
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestQuarantinesAndProbesUnreachableEndpoints(t *testing.T) {
	s := newTestScheduler("a", "b")
	failed := 0
	now := start
	for i := range 6 {
		g := mustPlace(t, s, now, newRequest(fmt.Sprint(i), now, 0))
		if g.Endpoint.Name == "a" {
			failed++
			s.Release(now, g, Unreachable)
			continue
		}
		s.RecordFirstEvent(now, g)
		s.Release(now, g, Succeeded)
	}
	assert.Assert(t, failed <= quarantineThreshold)

	s.SetPeerReport(now, "peer", Report{Loads: []Load{{Endpoint: "b", Running: slots}}})
	later := now.Add(maxQuarantine)
	s.SetPeerReport(later, "peer", Report{Loads: []Load{{Endpoint: "b", Running: slots}}})
	assert.Equal(t, mustPlace(t, s, later, newRequest("again", later, 0)).Endpoint.Name, structs.EndpointName("a"))
}

// Failures reduce an endpoint's share of requests but do not quarantine it.
func TestFailingEndpointsGetFewerRequests(t *testing.T) {
	s := newTestScheduler("a", "b")
	counts := map[structs.EndpointName]int{}
	now := start
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		g := mustPlace(t, s, now, newRequest(fmt.Sprint(i), now, 0))
		counts[g.Endpoint.Name]++
		s.RecordFirstEvent(now.Add(5*time.Millisecond), g)
		if g.Endpoint.Name == "a" && i%2 == 0 {
			s.Release(now, g, Failed)
			continue
		}
		s.Release(now, g, Succeeded)
	}
	assert.Assert(t, counts["a"] < counts["b"]/4, "%v", counts)
}

func TestRestartedEndpointResetsEstimates(t *testing.T) {
	s := newTestScheduler("a")
	g := mustPlace(t, s, start, newRequest("1", start, 0))
	s.RecordFirstEvent(start.Add(time.Second), g)
	restarted := engineEndpoint("a")
	restarted.StartedUnixMs = 2
	s.SetEndpoints([]endpointset.Endpoint{restarted})
	assert.Equal(t, s.pools[enginePool].endpoints["a"].slowness, 0.0)
	s.Release(start, g, Succeeded)
	assert.Equal(t, len(reportedLoads(s)), 0)
}

func TestRespectsEngineCacheCapacity(t *testing.T) {
	s := newTestScheduler("a")
	large := newRequest("large", start, 0)
	large.Prompt = 80000
	s.RecordFirstEvent(start, mustPlace(t, s, start, large))
	second := newRequest("second", start, 0)
	second.Prompt = 50000
	g, _ := s.Offer(start, second)
	assert.Assert(t, g == nil)
}

// The forecast follows the prompt length and the endpoint's speed, so that
// short and long prompts go to the fast endpoint.
func TestForecastsTimeToFirstEvent(t *testing.T) {
	s := newTestScheduler("fast", "slow")
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 400 {
		now := start.Add(time.Duration(i) * time.Second)
		r := newRequest(fmt.Sprint(i), now, 0)
		r.Prompt = structs.Tokens(random.IntN(20000))
		for _, name := range []structs.EndpointName{"fast", "slow"} {
			r.Tried = []structs.EndpointName{map[structs.EndpointName]structs.EndpointName{"fast": "slow", "slow": "fast"}[name]}
			g := mustPlace(t, s, now, r)
			ms := 50 + 0.01*prefillUnits(r.Prompt)
			if name == "slow" {
				ms *= 4
			}
			s.RecordFirstEvent(now.Add(time.Duration(ms*float64(time.Millisecond))), g)
			s.Release(now, g, Succeeded)
		}
	}
	now := start.Add(time.Hour)
	for _, prompt := range []structs.Tokens{100, 20000} {
		r := newRequest("x", now, 0)
		r.Prompt = prompt
		g := mustPlace(t, s, now, r)
		assert.Equal(t, g.Endpoint.Name, structs.EndpointName("fast"))
		want := 50 + 0.01*prefillUnits(prompt)
		got := float64(g.Forecast) / float64(time.Millisecond)
		assert.Assert(t, got > 0.7*want && got < 1.4*want, "prompt %d: forecast %.0f ms, takes %.0f", prompt, got, want)
		s.Release(now, g, Abandoned)
	}
}

// Under a sustained load of twice the capacity, requests that cannot be served
// in time are refused on arrival rather than queued until they expire, the
// engines stay busy, and urgent requests are served.
func TestRefusesEarlyUnderOverload(t *testing.T) {
	for seed := range uint64(20) {
		simulateOverload(t, seed)
	}
}

func simulateOverload(t *testing.T, seed uint64) {
	const (
		engines     = 4
		serviceTime = 200 * time.Millisecond
		duration    = 10 * time.Second
		tick        = time.Millisecond
		capacity    = float64(engines*slots) / 0.2
	)
	random := rand.New(rand.NewPCG(seed, 1))
	s := newTestScheduler("a", "b", "c", "d")
	type running struct {
		grant  *Grant
		endsAt time.Time
	}
	var work []running
	offered, served, onTime := map[structs.Rank]int{}, map[structs.Rank]int{}, 0
	var expired, refused, refusedUrgent int
	begin := func(now time.Time, g *Grant) {
		s.RecordFirstEvent(now, g)
		work = append(work, running{g, now.Add(serviceTime)})
		served[g.Request.Rank]++
		if now.Sub(g.Request.Arrived) <= g.Request.Target {
			onTime++
		}
	}
	for at := time.Duration(0); at < duration; at += tick {
		now := start.Add(at)
		remaining := work[:0]
		for _, w := range work {
			if now.Before(w.endsAt) {
				remaining = append(remaining, w)
				continue
			}
			s.Release(now, w.grant, Succeeded)
		}
		work = remaining
		if random.Float64() < 2*capacity*tick.Seconds() {
			rank := structs.Rank(0)
			if random.Float64() < 0.7 {
				rank = 1
			}
			offered[rank]++
			g, refusal := s.Offer(now, newRequest(fmt.Sprint(at), now, rank))
			switch {
			case g != nil:
				begin(now, g)
			case refusal != nil:
				refused++
				refusedUrgent += int(1 - rank)
			}
		}
		grants, refusals := s.Advance(now)
		for _, g := range grants {
			begin(now, g)
		}
		for _, r := range refusals {
			expired++
			refusedUrgent += int(1 - r.Request.Rank)
		}
	}
	total := served[0] + served[1]
	assert.Assert(t, float64(total) > 0.95*capacity*duration.Seconds(), "seed %d: engines were not kept busy, served %d", seed, total)
	assert.Assert(t, refusedUrgent*50 < offered[0], "seed %d: %d of %d urgent requests refused", seed, refusedUrgent, offered[0])
	assert.Assert(t, float64(onTime) > 0.95*float64(total), "seed %d: in time %d of %d", seed, onTime, total)
	// At most one request in twenty is refused after it was queued.
	assert.Assert(t, expired*20 < offered[0]+offered[1], "seed %d: %d expired in the queue, %d refused on arrival", seed, expired, refused)
}

// Under random events, every request is granted, refused or queued, and all
// counts return to zero.
func TestCountsReturnToZero(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		s := newTestScheduler("a", "b", "c")
		var open []*Grant
		waiting := map[*Request]bool{}
		now := start
		for n := range 400 {
			now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
			switch random.IntN(6) {
			case 0, 1, 2:
				r := newRequest(fmt.Sprint(n), now, structs.Rank(random.IntN(3)))
				g, refusal := s.Offer(now, r)
				if g != nil {
					open = append(open, g)
				} else if refusal == nil {
					waiting[r] = true
				}
			case 3:
				if len(open) > 0 {
					i := random.IntN(len(open))
					s.RecordFirstEvent(now, open[i])
					s.Release(now, open[i], Result(random.IntN(5)))
					s.Release(now, open[i], Succeeded)
					open = append(open[:i], open[i+1:]...)
				}
			case 4:
				for r := range waiting {
					assert.Assert(t, s.Withdraw(r))
					delete(waiting, r)
					break
				}
			case 5:
				all := []endpointset.Endpoint{engineEndpoint("a"), engineEndpoint("b"), engineEndpoint("c")}
				s.SetEndpoints(all[:1+random.IntN(3)])
			}
			grants, refusals := s.Advance(now)
			for _, g := range grants {
				assert.Assert(t, waiting[g.Request], "seed %d: granted twice", seed)
				delete(waiting, g.Request)
				open = append(open, g)
			}
			for _, r := range refusals {
				assert.Assert(t, waiting[r.Request])
				delete(waiting, r.Request)
			}
			assert.Equal(t, s.Waiting(), len(waiting))
		}
		for _, g := range open {
			s.Release(now, g, Abandoned)
		}
		assert.Equal(t, len(reportedLoads(s)), 0, "seed %d", seed)
	}
}

// Guards against overload by partitioned daemons, which fill the same
// endpoints without seeing each other's load. An endpoint that rejects a
// request is full of unreported work: it gets new requests only as that work
// is expected to end, and other endpoints get them immediately.
func TestRejectionRevealsUnreportedLoad(t *testing.T) {
	s := newTestScheduler("a", "b")
	s.Release(start, mustPlace(t, s, start.Add(-time.Second), newRequest("before", start, 0)), Succeeded)
	first := mustPlace(t, s, start, newRequest("rejected", start, 0))
	s.Release(start, first, Rejected)
	for i := range slots {
		assert.Assert(t, mustPlace(t, s, start, newRequest(fmt.Sprint(i), start, 0)).Endpoint.Name != first.Endpoint.Name)
	}
	grant, refusal := s.Offer(start, newRequest("waits", start, 0))
	assert.Assert(t, grant == nil && refusal == nil)
	grants, _ := s.Advance(start.Add(300 * time.Millisecond))
	assert.Equal(t, len(grants), 1, "part of the unreported load has ended")
	assert.Equal(t, grants[0].Endpoint.Name, first.Endpoint.Name)
}
