package demo

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

const (
	rolloutKey         = "rollout/" + operator.Orders
	rolloutTopic       = "keyed.status"
	rolloutDurationS   = 12
	rolloutSenders     = 12
	exposureShare      = 0.1
	exposureTolerance  = 50
	rolloutVersion     = "v2"
	rolloutSenderPause = 10 * time.Millisecond
	// oldSlots is the number of slots of the old endpoints.
	oldSlots = 8
)

// rolloutRun is an order on a system with three daemons under load.
type rolloutRun struct {
	*PlatformSystem
	started time.Time
	// added are the endpoints of the new version.
	added []*runner.Runner
	stop  chan struct{}
	load  sync.WaitGroup
	// unserved counts the responses of each status but 200; 0 means none.
	mu       sync.Mutex
	unserved map[int]int
}

func startRollout(t *testing.T, faults runner.Faults) *rolloutRun {
	r := &rolloutRun{PlatformSystem: startPlatform(t, 3), stop: make(chan struct{}), unserved: map[int]int{}}
	for n := range rolloutSenders {
		r.load.Go(func() { r.send(n) })
	}
	t.Cleanup(func() {
		close(r.stop)
		r.load.Wait()
	})
	// The rates of the old version are known before the order.
	time.Sleep(time.Second)
	order, err := json.Marshal(map[string]any{"Service": operator.Orders, "Target": rolloutVersion, "DurationS": rolloutDurationS})
	assert.NilError(t, err)
	r.started = time.Now()
	r.Store.Put(operator.ConfigTopic, rolloutKey, order)
	for n := range 2 {
		added, err := runner.Start(r.Store, runner.Options{ID: fmt.Sprintf("orders-new-%d", n), Service: operator.Orders, Zone: "a", Slots: 4, Delay: 5 * time.Millisecond, Version: rolloutVersion})
		assert.NilError(t, err)
		t.Cleanup(added.Close)
		added.SetFaults(faults)
		r.added = append(r.added, added)
	}
	return r
}

// send sends requests of both routes, until the run ends.
func (r *rolloutRun) send(sender int) {
	d := r.Daemons[sender%len(r.Daemons)]
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(rolloutSenderPause):
			path := [...]string{"/confirm/1", "/lookup/1"}[n%2]
			status, _, err := sendRequestWithID(d, "POST", path, operator.APIKey, fmt.Sprintf("rollout-%d-%d", sender, n))
			if err != nil || status != 200 {
				r.mu.Lock()
				r.unserved[status]++
				r.mu.Unlock()
			}
		}
	}
}

// states returns the statuses that were written, in order.
func (r *rolloutRun) states(t *testing.T) (all []string) {
	for _, value := range r.Store.Values(rolloutTopic, rolloutKey) {
		var s struct{ State, Target string }
		assert.NilError(t, json.Unmarshal(value, &s))
		assert.Equal(t, s.Target, rolloutVersion)
		all = append(all, s.State)
	}
	return all
}

// exposure returns the requests that reached the service since the order, and those
// that reached the new version until the given time.
func (r *rolloutRun) exposure(until time.Time) (requests, exposed int) {
	count := func(all []*runner.Runner) (n int) {
		for _, e := range all {
			for _, a := range e.Arrivals() {
				if e.Service() == operator.Orders && a.At.After(r.started) && a.At.Before(until) {
					n++
				}
			}
		}
		return n
	}
	exposed = count(r.added)
	return exposed + count(r.Runners), exposed
}

// awaitVerdict waits for a final status and returns when it was seen.
func (r *rolloutRun) awaitVerdict(t *testing.T, want string) time.Time {
	eventually(t, "final status", func() bool {
		all := r.states(t)
		return len(all) > 0 && all[len(all)-1] != "in_progress"
	})
	at := time.Now()
	all := r.states(t)
	assert.DeepEqual(t, all, []string{"in_progress", want})
	assert.Assert(t, at.Sub(r.started) < rolloutDurationS*time.Second, "%v", at.Sub(r.started))
	return at
}

func (r *rolloutRun) checkExposure(t *testing.T, until time.Time) {
	requests, exposed := r.exposure(until)
	t.Logf("%d of %d requests exposed in %.1f s", exposed, requests, until.Sub(r.started).Seconds())
	assert.Assert(t, exposed > 0)
	assert.Assert(t, float64(exposed) <= exposureShare*float64(requests)+exposureTolerance, "%d of %d requests", exposed, requests)
}

// Guards against a good version that is not completed, or gets too much before, and
// against requests that are lost when the old endpoints stop.
func TestGoodVersionCompletes(t *testing.T) {
	r := startRollout(t, runner.Faults{})
	at := r.awaitVerdict(t, "completed")
	r.checkExposure(t, at)
	for _, old := range r.Runners {
		if old.Service() == operator.Orders {
			old.Close()
			old.Unregister()
		}
	}
	eventually(t, "all requests are served by the new version", func() bool {
		status, _, err := sendRequest(r.Daemons[0], "POST", "/confirm/1", operator.APIKey)
		return err == nil && status == 200
	})
	time.Sleep(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := 0
	for _, n := range r.unserved {
		lost += n
	}
	// Only what was in progress on the old endpoints may be lost.
	assert.Assert(t, lost <= oldSlots, "not served: %v", r.unserved)
}

// Guards against bad versions that are completed, or get requests after the
// roll-back.
func TestBadVersionsRollBack(t *testing.T) {
	cases := map[string]runner.Faults{
		"failures":     {FailEvery: 3},
		"slow":         {ExtraDelay: 40 * time.Millisecond},
		"on one route": {FailEvery: 3, FailPrefix: "/confirm/"},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			r := startRollout(t, faults)
			at := r.awaitVerdict(t, "rolled_back")
			time.Sleep(2 * time.Second)
			_, before := r.exposure(at.Add(time.Second))
			_, after := r.exposure(time.Now())
			assert.Equal(t, before, after, "requests reach the new version after the roll-back")
			r.checkExposure(t, time.Now())
		})
	}
}

// Guards against a verdict that is lost with the answers of the store, and against
// requests to the new version while the statuses can't be read.
func TestRolloutWithoutStore(t *testing.T) {
	r := startRollout(t, runner.Faults{})
	eventually(t, "exposure", func() bool {
		_, exposed := r.exposure(time.Now())
		return exposed > 0
	})
	r.Store.SetFaults(metastore.Faults{Silent: true})
	time.Sleep(3 * time.Second)
	_, before := r.exposure(time.Now())
	time.Sleep(500 * time.Millisecond)
	_, after := r.exposure(time.Now())
	assert.Equal(t, before, after, "requests reach the new version although the statuses can't be read")
	r.Store.SetFaults(metastore.Faults{LoseAnswers: true})
	r.awaitVerdict(t, "completed")
}
