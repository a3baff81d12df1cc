package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// conclusive is the evidence, as twice the logarithm of a likelihood ratio, that
	// chance does not explain: it corresponds to 4.2 standard deviations, so that
	// some thousand looks at a good version find it in less than 3 of 100 rollouts.
	conclusive = 18.0
	// calm and tolerable are the parts of conclusive under which a version completes,
	// and under which it still does when the time runs out.
	calm      = 0.4
	tolerable = 0.6
	// oldRateMargin is how much higher than the old version's rate of bad responses
	// the new one's may be.
	oldRateMargin = 1.5
	// minFailures is the number of failures that chance may always explain.
	minFailures = 4
	// failureFloor, brokenFloor and slowFloor are the rates of bad responses that
	// are usual on the platform, where little is known of the old version.
	failureFloor = 0.005
	brokenFloor  = 0.01
	slowFloor    = 0.04
	// brokenCluster is how many responses one lost machine breaks: its slots.
	// slowCluster is the same for a short slow episode of an endpoint.
	brokenCluster = 7.0
	slowCluster   = 2.0
	// minSlowExcess is the smallest difference of the rates of slow responses.
	minSlowExcess = 0.06
	// slowerBy is the logarithm of the mean time of the new version relative to the
	// old one from which it counts as slower, 2.5 times. slowerNull is what different
	// machines explain: the old version's requests go to its fast endpoints, while
	// those of the new one are still being tried. logDeviation the deviation of one time.
	slowerBy     = 0.92
	slowerNull   = 0.45
	logDeviation = 0.8
	minTimed     = 12
	// minBadEndpoints is the number of endpoints with bad responses under which they
	// may be due to a machine, unless there are manyBad of them or fewer endpoints
	// than fewEndpoints.
	minBadEndpoints = 2
	fewEndpoints    = 3
	manyBad         = 15
)

const (
	// routeEvidence is the number of responses of a route that show a version which
	// fails in one of ten requests with a probability of 95 %, and usualTraffic the
	// number of the old version's from which a route is expected to have them.
	routeEvidence = 30
	usualTraffic  = 20
	// firstEvidence is the number of good responses that end the first step, minStep
	// and maxStepShare its least and greatest duration.
	firstEvidence = 20
	minStep       = 2 * time.Second
	maxStepShare  = 0.1
	// fewResponses is the number of responses that suffice for a completion when the
	// time runs out, lastResponses at the last moment.
	fewResponses  = 5
	lastResponses = 3
)

const (
	// A version completes neither before half of the duration nor more than
	// completionLead before the deadline, so that later faults are seen.
	completionLead = 20 * time.Second
	// decisionLead and its bounds give the time before the deadline from which
	// missing evidence is not waited for, lastLead that at which there is a verdict in
	// any case. The store may be away or slow for some seconds.
	decisionLeadShare            = 1.0 / 6
	minDecisionLead, maxDecision = 3 * time.Second, 10 * time.Second
	lastLeadShare                = 1.0 / 12
	minLastLead, maxLastLead     = 1500 * time.Millisecond, 4 * time.Second
	trialVerdict                 = 1500 * time.Millisecond
	trialMax                     = 4 * time.Second
	snapshotInterval             = 500 * time.Millisecond
	shortWindow, longWindow      = 4 * time.Second, 12 * time.Second
	trialTakeover                = 500 * time.Millisecond
)

// Controller determines the verdict of one order from the counters of all daemons.
type Controller struct {
	duration time.Duration
	step     int
	// bad is set once the evidence against the version is conclusive.
	bad bool
	// verdict is the state to record. reason explains it, or what is waited for.
	verdict State
	reason  string
	// trialAt is the age of the order at which all daemons give the new version the
	// whole load, within the allowed share; zero if there was no trial yet.
	trialAt time.Duration
	// readySince is when this daemon found that the trial may begin.
	readySince time.Time
	snapshots  []snapshot
	lacking    map[uint32]bool
}

type snapshot struct {
	at     time.Time
	routes map[uint32]*counts
}

func newController(duration time.Duration) Controller {
	return Controller{duration: duration, reason: "no evidence yet", lacking: map[uint32]bool{}}
}

// Capacity is what the endpoints of a service can carry and do.
type Capacity struct {
	// Endpoints and Slots are those of the new version. Running is the number of
	// requests that run on both versions.
	Endpoints, Slots, Running int
}

// completeAfter, decideBy and lastCall are the ages of the order at which a version
// may complete, at which missing evidence is not waited for any longer, and at which
// there is a verdict in any case.
func (c *Controller) completeAfter() time.Duration {
	return max(c.duration/2, c.duration-completionLead)
}

func (c *Controller) decideBy() time.Duration {
	return c.duration - min(max(time.Duration(decisionLeadShare*float64(c.duration)), minDecisionLead), maxDecision)
}

func (c *Controller) lastCall() time.Duration {
	return c.duration - min(max(time.Duration(lastLeadShare*float64(c.duration)), minLastLead), maxLastLead)
}

// tried reports whether the trial has ended without evidence against the version.
func (c *Controller) tried(age time.Duration) bool {
	return c.trialAt > 0 && age >= c.trialAt+trialVerdict && !c.bad
}

func (c *Controller) inTrial(age time.Duration) bool {
	return c.trialAt > 0 && age >= c.trialAt && age < c.trialAt+trialMax
}

// learnTrial applies the begin of the trial that another daemon has determined.
func (c *Controller) learnTrial(at time.Duration) {
	if c.trialAt == 0 || at < c.trialAt {
		c.trialAt = at
	}
}

func (c *Controller) lacksEvidence(route uint32) bool {
	lacks, known := c.lacking[route]
	return lacks || !known
}

// view is what a Controller decides by.
type view struct {
	now          time.Time
	age          time.Duration
	routes       map[uint32]*counts
	badEndpoints int
	capacity     Capacity
	// rank is the daemon's place among those that may write the verdict.
	rank int
}

// evaluate determines the verdict as far as the evidence allows.
func (c *Controller) evaluate(v view) {
	if c.verdict.Final() && c.bad {
		return
	}
	total := counts{}
	c.updateLacking(v, &total)
	worst, reason, certain := c.worst(v)
	c.remember(v)
	switch {
	case certain:
		c.bad = true
		c.decide(RolledBack, reason)
	case worst >= 1:
		c.wait("one endpoint of the new version has bad responses: " + reason)
	default:
		c.advance(v, total.version(true)[countDone], worst)
		c.conclude(v, total.version(true)[countDone], worst, reason)
	}
}

func (c *Controller) updateLacking(v view, total *counts) {
	for route, sum := range v.routes {
		total.add(sum)
		c.lacking[route] = sum.version(true)[countDone] < routeEvidence
	}
}

func (c *Controller) decide(s State, reason string) { c.verdict, c.reason = s, reason }

func (c *Controller) wait(reason string) { c.verdict, c.reason = Unknown, reason }

// advance ends the first step when the first responses are good, or when there are
// too few requests for that.
func (c *Controller) advance(v view, responses uint64, worst float64) {
	good := responses >= firstEvidence && v.age >= minStep
	if c.step == 0 && worst < calm && (good || v.age >= time.Duration(maxStepShare*float64(c.duration))) {
		c.step = 1
	}
}

// conclude completes the version if the evidence suffices.
func (c *Controller) conclude(v view, responses uint64, worst float64, reason string) {
	enough, limit := c.enough(v, responses)
	switch {
	case v.age < c.completeAfter():
		c.wait(fmt.Sprintf("good so far; may complete %.1f s after the order", c.completeAfter().Seconds()))
	case worst >= limit && v.age >= c.lastCall():
		c.decide(RolledBack, "the time is up, and the version may be bad: "+reason)
	case worst >= limit:
		c.wait("the version may be bad: " + reason)
	case !enough && v.age >= c.lastCall():
		c.decide(RolledBack, fmt.Sprintf("the time is up with %d responses of the new version", responses))
	case !enough:
		c.wait(fmt.Sprintf("too few responses of the new version on %d routes, %d in total", c.lackingRoutes(v), responses))
	case v.capacity.Slots < v.capacity.Running && v.age >= c.lastCall():
		c.decide(RolledBack, fmt.Sprintf("the time is up, and the new endpoints have %d slots for %d requests", v.capacity.Slots, v.capacity.Running))
	case v.capacity.Slots < v.capacity.Running || v.capacity.Slots == 0:
		c.wait(fmt.Sprintf("the new endpoints have %d slots for %d requests", v.capacity.Slots, v.capacity.Running))
	case v.age < c.lastCall() && (c.trialAt == 0 || v.age < c.trialAt+trialVerdict):
		c.wait("trial under full load")
		c.beginTrial(v)
	default:
		c.decide(Completed, fmt.Sprintf("good in %d responses", responses))
	}
}

// enough reports whether the evidence suffices, and which suspicion is tolerated.
func (c *Controller) enough(v view, responses uint64) (bool, float64) {
	switch {
	case v.age >= c.lastCall():
		return responses >= lastResponses, tolerable
	case v.age >= c.decideBy():
		return responses >= fewResponses, tolerable
	}
	return c.lackingRoutes(v) == 0 && responses >= routeEvidence, calm
}

// lackingRoutes counts the routes with traffic on which too little is known.
func (c *Controller) lackingRoutes(v view) (n int) {
	for route, sum := range v.routes {
		if sum.version(false)[countDone] >= usualTraffic && c.lacking[route] {
			n++
		}
	}
	return n
}

// beginTrial determines when the trial begins. The first daemon decides; the next
// ones do if they don't learn of its decision.
func (c *Controller) beginTrial(v view) {
	if c.readySince.IsZero() {
		c.readySince = v.now
	}
	if c.trialAt == 0 && v.now.Sub(c.readySince) >= time.Duration(v.rank)*trialTakeover {
		c.trialAt = v.age
	}
}

// remember keeps the sums for the windows.
func (c *Controller) remember(v view) {
	if n := len(c.snapshots); n > 0 && v.now.Sub(c.snapshots[n-1].at) < snapshotInterval {
		return
	}
	c.snapshots = append(c.snapshots, snapshot{v.now, v.routes})
	for len(c.snapshots) > 1 && v.now.Sub(c.snapshots[1].at) >= longWindow {
		c.snapshots = c.snapshots[1:]
	}
}

// since returns the sums at the begin of a window.
func (c *Controller) since(at time.Time) map[uint32]*counts {
	for i := len(c.snapshots) - 1; i >= 0; i-- {
		if !c.snapshots[i].at.After(at) {
			return c.snapshots[i].routes
		}
	}
	return nil
}

// worst returns the greatest suspicion, relative to what is conclusive, on any
// route and in any window, and whether it is certain that the version is the cause.
// Windows show a version that turns bad later.
func (c *Controller) worst(v view) (worst float64, reason string, certain bool) {
	for _, window := range []time.Duration{0, shortWindow, longWindow} {
		var before map[uint32]*counts
		if window > 0 {
			if before = c.since(v.now.Add(-window)); before == nil {
				continue
			}
		}
		all := counts{}
		for route, sum := range v.routes {
			recent := *sum
			if old := before[route]; old != nil {
				recent = sum.sub(old)
			}
			all.add(&recent)
			if score, why, bad := suspicion(&recent); score > worst {
				worst, reason, certain = score, why, certainOf(v, score, bad)
			}
		}
		if score, why, bad := suspicion(&all); score > worst {
			worst, reason, certain = score, why, certainOf(v, score, bad)
		}
	}
	return worst, reason, certain
}

func certainOf(v view, score float64, bad uint64) bool {
	return score >= 1 && (v.badEndpoints >= minBadEndpoints || v.capacity.Endpoints < fewEndpoints || bad >= manyBad)
}

// suspicion returns how far the counters speak against the new version, relative to
// what is conclusive, the reason, and the number of bad responses behind it.
func suspicion(c *counts) (score float64, reason string, bad uint64) {
	target, old := c.version(true), c.version(false)
	rates := []struct {
		name             string
		count, of        int
		floor, cluster   float64
		least, minExcess float64
	}{
		{"failures", countFailed, countDone, failureFloor, 1, minFailures, 0},
		{"lost connections", countBroken, countDone, brokenFloor, brokenCluster, minFailures, 0},
		{"slow responses", countSlow, countForecast, slowFloor, slowCluster, minFailures, minSlowExcess},
	}
	for _, r := range rates {
		k, n := float64(target[r.count]), float64(target[r.of])
		usual := usualRate(float64(old[r.count]), float64(old[r.of]), r.floor)
		if k < r.least || k/n < usual+r.minExcess {
			continue
		}
		if s := deviance(k, n, usual) / r.cluster / conclusive; s > score {
			score, bad = s, target[r.count]
			reason = fmt.Sprintf("%s in %.0f of %.0f responses, %d of %d on the old version", r.name, k, n, old[r.count], old[r.of])
		}
	}
	if s, ratio := slower(target, old); s > score {
		score, bad = s, target[countTimed]
		reason = fmt.Sprintf("%.1f times slower than the old version in %d responses", ratio, target[countTimed])
	}
	return score, reason, bad
}

// usualRate returns the rate of bad responses that is not held against the new
// version.
func usualRate(bad, n, floor float64) float64 {
	return min(max(floor, oldRateMargin*(bad+0.5)/(n+5)), 0.9)
}

// deviance returns twice the logarithm of the likelihood ratio of k in n against a
// rate p, or zero if k is not more than expected.
func deviance(k, n, p float64) float64 {
	if k <= p*n {
		return 0
	}
	d := k * math.Log(k/(n*p))
	if k < n {
		d += (n - k) * math.Log((n-k)/(n*(1-p)))
	}
	return 2 * d
}

// slower returns the suspicion by the mean times, and their ratio.
func slower(target, old []uint64) (score, ratio float64) {
	n, m := float64(target[countTimed]), float64(old[countTimed])
	if n < minTimed || m < minTimed {
		return 0, 0
	}
	difference := (float64(target[countLog])/n - float64(old[countLog])/m) / logUnit
	if difference < slowerBy {
		return 0, 0
	}
	z := (difference - slowerNull) / (logDeviation * math.Sqrt(1/n+1/m))
	return z * z / conclusive, math.Exp(difference)
}

// Evaluate determines the verdicts and updates the gates. capacity returns what a
// service's endpoints carry.
func (t *Table) Evaluate(now time.Time, capacity func(o Order) Capacity) {
	if now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.evaluatedAt = now
	for _, service := range t.services() {
		r := t.rollouts[service]
		if t.state(r).Final() {
			continue
		}
		v := view{now: now, age: r.age(now), capacity: capacity(r.order), rank: t.rank(service)}
		v.routes, v.badEndpoints = r.counters.sums()
		step, bad := r.controller.step, r.controller.bad
		r.controller.evaluate(v)
		if r.controller.bad && !bad {
			t.notify(Notice{Kind: NoticeBadVersion, Order: r.order, State: t.state(r), Reason: r.controller.reason})
		}
		if r.controller.step != step {
			t.notify(Notice{Kind: NoticeStep, Order: r.order, State: t.state(r), Reason: r.controller.reason})
		}
		t.updateGate(now, r)
	}
}

// ExplainAll explains all orders.
func (t *Table) ExplainAll(now time.Time) map[structs.PoolName]string {
	all := make(map[structs.PoolName]string, len(t.rollouts))
	for service := range t.rollouts {
		all[service] = t.Explain(now, service)
	}
	return all
}

// Explain says why a rollout advances, waits or was rolled back.
func (t *Table) Explain(now time.Time, service structs.PoolName) string {
	r := t.rollouts[service]
	if r == nil {
		return "no order is known"
	}
	state := t.state(r)
	text := fmt.Sprintf("%s to version %s, %.1f of %.1f s", state, r.order.Target, r.age(now).Seconds(), r.order.Duration.Seconds())
	if state.Final() {
		return text + ": " + r.controller.reason
	}
	text += fmt.Sprintf(", step %d, %d of %d requests exposed: %s", r.controller.step+1, r.gate.exposed, r.gate.requests, r.controller.reason)
	if r.gate.closed != "" {
		text += "; closed: " + r.gate.closed
	}
	return text
}
