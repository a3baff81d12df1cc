package soak

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

// badVersion orders the move of a service to a version of which some responses are
// failures or slow.
const badVersion faultKind = "bad-version"

const (
	// rolloutDuration is the time from an order until its deadline, rolloutDrain the
	// time from the roll-back until the new endpoints drain.
	rolloutDuration = 15 * time.Second
	rolloutDrain    = 2 * time.Second
	// rolloutEndpoints is the number of endpoints of the new version.
	rolloutEndpoints = 3
	// The bounds of the exposure, as the users state them.
	exposureShare     = 0.1
	exposureTolerance = 50
	rollbackBound     = 5 * time.Second
	rollbackResponses = 50
	// statusTopic holds the statuses of orders, orderKey is the key of the order and
	// of its status.
	statusTopic = "keyed.status"
	orderKey    = "rollout/" + operator.Orders
)

// rolloutRecord is an order to move a service to a bad version.
type rolloutRecord struct {
	target    string
	orderedAt time.Time
	// endpoints holds the names of the new version's endpoints.
	endpoints map[string]bool
}

// recordedStatus is a status that the store holds.
type recordedStatus struct{ State, Target string }

// isFinal reports whether the status is a verdict.
func (s recordedStatus) isFinal() bool { return s.State == "completed" || s.State == "rolled_back" }

// statuses returns all statuses of orders, as they were written.
func (env *environment) statuses() (all []recordedStatus) {
	for _, value := range env.store.Values(statusTopic, orderKey) {
		var s recordedStatus
		// A malformed status has no state and is reported by the check.
		_ = json.Unmarshal(value, &s)
		all = append(all, s)
	}
	return all
}

// verdict returns the verdict of an order, or an empty string.
func (env *environment) verdict(target string) string {
	for _, s := range env.statuses() {
		if s.Target == target && s.isFinal() {
			return s.State
		}
	}
	return ""
}

// orderBadVersion starts endpoints of a bad version, orders the move to it, and
// waits for the verdict or the deadline.
func (in *injector) orderBadVersion(f fault) error {
	if !in.rollingOut.tryAcquire() {
		return nil
	}
	defer in.rollingOut.release()
	env := in.env
	target := fmt.Sprintf("bad-%d-%d", f.target, f.at.Milliseconds())
	defer env.history.beginSpan(f.kind, target)()
	order, err := json.Marshal(map[string]any{"Service": operator.Orders, "Target": target, "DurationS": rolloutDuration.Seconds()})
	if err != nil {
		return errors.Trace(err)
	}
	record := rolloutRecord{target: target, orderedAt: time.Now(), endpoints: map[string]bool{}}
	var started []*endpoint
	for n := range rolloutEndpoints {
		e := &endpoint{options: runner.Options{ID: fmt.Sprintf("%s-%d", target, n), Service: operator.Orders, Zone: "a", Slots: 4, Delay: orderPause, Version: target}}
		record.endpoints[e.options.ID] = true
		started = append(started, e)
	}
	env.store.Put(operator.ConfigTopic, orderKey, order)
	env.history.addRollout(record)
	env.history.addEndpoints(started)
	for _, e := range started {
		if err := env.startEndpoint(e, 0); err != nil {
			return err
		}
		faults := runner.Faults{FailEvery: 3}
		if f.target%2 == 0 {
			faults = runner.Faults{ExtraDelay: 8 * orderPause}
		}
		e.currentRunner().SetFaults(faults)
	}
	for deadline := time.Now().Add(rolloutDuration); env.verdict(target) == "" && time.Now().Before(deadline); {
		time.Sleep(readyPoll)
	}
	time.Sleep(rolloutDrain)
	for _, e := range started {
		e.currentRunner().Register("draining")
	}
	time.Sleep(drainServeTime)
	for _, e := range started {
		e.currentRunner().Unregister()
		e.currentRunner().Close()
		e.link.close()
	}
	return nil
}

func (h *history) addRollout(r rolloutRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rollouts = append(h.rollouts, r)
}

// checkExposure finds bad versions that got more than their share, or requests too
// long after their bad responses.
func checkExposure(index *evidenceIndex) (all []violation) {
	for _, r := range index.rollouts {
		deadline := r.orderedAt.Add(rolloutDuration)
		var exposed []arrival
		for _, a := range index.arrivals {
			if r.endpoints[a.endpoint] && a.At.Before(deadline) {
				exposed = append(exposed, a)
			}
		}
		sort.Slice(exposed, func(i, j int) bool { return exposed[i].At.Before(exposed[j].At) })
		bad, lastBad := 0, deadline
		for i, a := range exposed {
			if limit := exposureShare*float64(index.requestsBetween(operator.Orders, r.orderedAt, a.At)) + exposureTolerance; float64(i+1) > limit {
				all = append(all, violation{at: a.At, text: fmt.Sprintf("%s got %d requests, at most %.0f allowed", r.target, i+1, limit)})
				break
			}
			if a.At.Sub(lastBad) > rollbackBound {
				all = append(all, violation{at: a.At, text: fmt.Sprintf("%s got a request %v after its bad response %d", r.target, a.At.Sub(lastBad), rollbackResponses)})
				break
			}
			if a.Failed || a.Slow {
				if bad++; bad == rollbackResponses {
					lastBad = a.At
				}
			}
		}
	}
	return all
}

// requestsBetween returns the number of requests for a pool that callers sent.
func (index *evidenceIndex) requestsBetween(pool string, from, to time.Time) (n int) {
	for _, o := range index.outcomes {
		if routeByName(o.route).pool == pool && o.sentAt.After(from) && !o.sentAt.After(to) {
			n++
		}
	}
	return n
}

// checkVerdicts finds bad versions that completed, and orders with two verdicts.
func checkVerdicts(index *evidenceIndex) (all []violation) {
	verdicts := map[string]string{}
	for _, s := range index.statuses {
		before := verdicts[s.Target]
		switch {
		case s.State == "completed":
			all = append(all, violation{text: fmt.Sprintf("the bad version %s completed", s.Target)})
		case before != "":
			all = append(all, violation{text: fmt.Sprintf("%s of %s was recorded after %s", s.State, s.Target, before)})
		case s.State != "in_progress" && !s.isFinal():
			all = append(all, violation{text: fmt.Sprintf("unknown status %q of %q", s.State, s.Target)})
		case s.isFinal():
			verdicts[s.Target] = s.State
		}
	}
	return all
}
