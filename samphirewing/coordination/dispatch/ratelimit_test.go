package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/endpointlimit"
	"github.com/samphirewing/samphirewing/state/endpointset"
)

// limitWindow and allowedIn are the stated target: one and a half times what the
// limit allows in the time, and five requests.
const limitWindow = 4 * time.Second

func allowedIn(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// Guards against the pattern of the incident: an endpoint with free slots and a
// low limit, before daemons of which each has more requests than the limit, one of
// which restarts.
func TestLimitHoldsOverAllDaemonsUnderLoad(t *testing.T) {
	for _, c := range []struct {
		daemons int
		limit   float64
	}{{4, 1}, {4, 10.4}, {118, 1}, {118, 5.5}, {118, 200}, {400, 2}} {
		t.Run(fmt.Sprint(c.daemons, " daemons, limit ", c.limit), func(t *testing.T) {
			arrivals := loadLimitedEndpoint(c.daemons, c.limit)
			for i, first := range arrivals {
				count := 0
				for _, at := range arrivals[i:] {
					if at.Sub(first) <= limitWindow {
						count++
					}
				}
				assert.Assert(t, count <= allowedIn(c.limit), "%d requests in %v from %v", count, limitWindow, first.Sub(start))
			}
			used := float64(len(arrivals)) / 12
			assert.Assert(t, used >= 0.7*c.limit, "%v requests a second", used)
		})
	}
}

// loadLimitedEndpoint offers requests to all daemons for 12 s and returns when the
// limited endpoint got one.
func loadLimitedEndpoint(daemons int, limit float64) (arrivals []time.Time) {
	random := rand.New(rand.NewPCG(uint64(daemons), 7))
	const step = 20 * time.Millisecond
	schedulers := make([]*Scheduler, daemons)
	limited := endpointset.Endpoint{Name: "limited", Pool: "pool", Address: "a", Slots: 1000}
	other := endpointset.Endpoint{Name: "other", Pool: "pool", Address: "b", Slots: 1 << 20}
	begin := func(i int, now time.Time) {
		s := New("zone")
		s.SetEndpoints([]endpointset.Endpoint{limited, other})
		table := endpointlimit.New(1)
		var others []instance.ID
		for j := range daemons {
			if j != i {
				others = append(others, instance.ID(fmt.Sprint(j)))
			}
		}
		table.SetMembers(instance.ID(fmt.Sprint(i)), others)
		key := endpointlimit.KeyOf("limited", 0)
		table.Observe(now, key, limit)
		s.SetEndpointRate(now, "limited", table.Share(key))
		schedulers[i] = s
	}
	for i := range schedulers {
		begin(i, start)
	}
	sequence := 0
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(step) {
		if now.Equal(start.Add(5 * time.Second)) {
			begin(0, now)
		}
		for _, s := range schedulers {
			// Each daemon gets some twenty requests a second.
			for random.Float64() < 0.3 {
				sequence++
				r := &Request{ID: fmt.Sprint(sequence), Pool: "pool", Arrived: now, StartBy: now.Add(time.Second)}
				grant, _ := s.Offer(now, r)
				if grant == nil {
					continue
				}
				if grant.Endpoint.Name == "limited" {
					arrivals = append(arrivals, now)
				}
				s.Release(now, grant, Succeeded)
			}
		}
	}
	return arrivals
}

// Guards against an endpoint that has just named its limit getting at once what it
// did not get before.
func TestLimitStartsWithoutSavedRequests(t *testing.T) {
	l := unlimitedRate()
	assert.Assert(t, l.allows(start))
	l.set(start, 2)
	assert.Assert(t, !l.allows(start.Add(400*time.Millisecond)))
	assert.Assert(t, l.allows(start.Add(time.Hour)))
	l.take(start.Add(time.Hour))
	assert.Assert(t, !l.allows(start.Add(time.Hour)))
	l.set(start.Add(time.Hour), math.Inf(1))
	assert.Assert(t, l.allows(start.Add(time.Hour)))
}

// Guards against requests being held until their time is up: the slots that become
// free on an endpoint with a limit are not taken for capacity.
func TestForecastSeesLimitAsCapacity(t *testing.T) {
	s := New("zone")
	s.SetEndpoints([]endpointset.Endpoint{{Name: "limited", Pool: "pool", Address: "a", Slots: 100}})
	now := start
	// Requests take 200 ms each; forty are running when the limit is named.
	var running []*Grant
	for range 80 {
		grant, _ := s.Offer(now, &Request{Pool: "pool", Arrived: now, Target: time.Second, StartBy: now.Add(4 * time.Second)})
		running = append(running, grant)
	}
	now = now.Add(200 * time.Millisecond)
	for _, grant := range running[:40] {
		s.Release(now, grant, Succeeded)
	}
	now = now.Add(3 * time.Second)
	s.SetEndpointRate(now, "limited", 2)
	queued := 0
	for range 20 {
		r := &Request{Pool: "pool", Arrived: now, Target: time.Second, StartBy: now.Add(4 * time.Second)}
		if _, refusal := s.Offer(now, r); refusal == nil {
			queued++
		}
	}
	// Two a second can start in the 0.7 s that a request may wait for its target.
	assert.Assert(t, queued >= 1 && queued <= 5, "%d of 20 requests are queued", queued)
}
