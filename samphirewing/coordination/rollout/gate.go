package rollout

import (
	"time"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// usableShare is the part of the allowed share that a gate uses. The rest
	// covers requests that were counted and not sent.
	usableShare = 0.95
	// The parts of the allowed share of the steps: before the first evidence, with
	// good evidence, and on routes that lack evidence. What the second step leaves
	// is used by the trial under full load.
	firstStep  = 0.2
	secondStep = 0.45
	fullStep   = 0.9
	// newcomerHold is how long after its first contact a daemon that has started after
	// an order exposes nothing. The others repeat the evidence meanwhile.
	newcomerHold = 2 * time.Second
	// toleranceDelay is the age of an order at which daemons divide the tolerance.
	toleranceDelay = 500 * time.Millisecond
)

// Mode says how an Admission's version restricts the endpoints.
type Mode int8

// The modes of admissions.
const (
	// Any endpoint may be used.
	Any Mode = iota
	// Exclude forbids the version.
	Exclude
	// Prefer uses the version if one of its endpoints has room.
	Prefer
	// Require allows the version alone.
	Require
)

// Admission says which endpoints a request may be sent to.
type Admission struct {
	Mode    Mode
	Version string
	// Held is another version that may not be used, or empty if there is none.
	Held string
	// Fallback allows an excluded version if no endpoint of another one can be used.
	Fallback bool
}

// Gate limits what the endpoints of the new version get from this daemon.
//
// Invariant: exposed is at most usableShare of the allowed share of requests, plus
// tolerance.
type Gate struct {
	// requests is the number of requests of the service that this daemon has sent to
	// endpoints, exposed the number of attempts at endpoints of the new version.
	requests, exposed int
	tolerance         int
	// closed is why the gate is closed, or empty.
	closed string
}

// allows reports whether one more request may be exposed at a part of the allowed
// share.
func (g *Gate) allows(share, step float64) bool {
	return float64(g.exposed+1) <= share*min(step, usableShare)*float64(g.requests)+float64(g.tolerance)
}

// Admit decides which endpoints a request of a route may be sent to now. retry is
// set if an attempt has failed; such requests are not exposed.
func (t *Table) Admit(now time.Time, service structs.PoolName, route string, retry bool) Admission {
	v := t.versions[service]
	if v == nil || len(v.listed) < 2 {
		return Admission{}
	}
	r := t.rollouts[service]
	if r == nil {
		return Admission{Held: v.unfamiliar(now, "")}
	}
	target := r.order.Target
	a := t.admitTarget(now, r, v, route, retry)
	if a.Mode != Require {
		a.Held = v.unfamiliar(now, target)
	}
	return a
}

func (t *Table) admitTarget(now time.Time, r *rollout, v *poolVersions, route string, retry bool) Admission {
	target := r.order.Target
	if _, listed := v.listed[target]; !listed {
		return Admission{}
	}
	switch t.state(r) {
	case Completed:
		if now.Sub(r.verdictAt) < handoverTime {
			return Admission{Mode: Require, Version: target}
		}
		return Admission{}
	case RolledBack:
		return Admission{Mode: Exclude, Version: target}
	}
	if retry || r.gate.closed != "" || t.isolation(now) != "" || t.doubtful(now, r) || !r.gate.allows(t.settings.ExposureShare, t.step(now, r, route)) {
		// Once the trial has ended well, old endpoints that are gone mean that the
		// version has completed, although this daemon has not read so yet.
		return Admission{Mode: Exclude, Version: target, Fallback: r.controller.tried(r.age(now))}
	}
	return Admission{Mode: Prefer, Version: target}
}

// step returns the part of the allowed share that a route may use.
func (t *Table) step(now time.Time, r *rollout, route string) float64 {
	switch {
	case r.controller.inTrial(r.age(now)):
		return 1
	case r.controller.step == 0:
		return firstStep
	case r.controller.lacksEvidence(routeKey(route)):
		return fullStep
	}
	return secondStep
}

func (r *rollout) age(now time.Time) time.Duration { return now.Sub(r.startedAt) }

// Sent records that a request of a service has been sent for the first time.
func (t *Table) Sent(service structs.PoolName) {
	if r := t.rollouts[service]; r != nil {
		r.gate.requests++
	}
}

// Granted records that a request goes to an endpoint of a version.
func (t *Table) Granted(service structs.PoolName, version string) {
	if r := t.rollouts[service]; r != nil && version == r.order.Target && !t.state(r).Final() {
		r.gate.exposed++
		t.totalExposed++
	}
}

// Exposure returns how many requests of a service this daemon has sent since it
// knows of the order, and how many of them to the new version.
func (t *Table) Exposure(service structs.PoolName) (requests, exposed int) {
	if r := t.rollouts[service]; r != nil {
		return r.gate.requests, r.gate.exposed
	}
	return 0, 0
}

const reasonNewcomer = "this daemon has just started and takes over the evidence"

// updateGate closes or opens a gate by what the daemon knows of its surroundings.
func (t *Table) updateGate(now time.Time, r *rollout) {
	reason := t.isolation(now)
	if r.fresh && reason == "" && r.age(now) >= toleranceDelay {
		// The number of daemons is known by now.
		r.fresh, r.gate.tolerance = false, t.toleranceShare(r.order)
	}
	if reason == "" && r.contactAt.IsZero() {
		r.contactAt = now
	}
	if reason == "" && !r.listedAt.IsZero() && now.Sub(r.contactAt) < newcomerHold {
		reason = reasonNewcomer
	}
	if t.doubtful(now, r) {
		reason = "the order may be out of date, since the status names another version"
	}
	if r.controller.bad {
		reason = r.controller.reason
	}
	if (reason == "") != (r.gate.closed == "") {
		kind := NoticeGateOpened
		if reason != "" {
			kind = NoticeGateClosed
		}
		t.notify(Notice{Kind: kind, Order: r.order, State: t.state(r), Reason: reason})
	}
	r.gate.closed = reason
}

// poolVersions holds the versions of a pool's endpoints.
type poolVersions struct {
	// listed holds the versions of the endpoints that can be used, with the start of
	// the first endpoint of each.
	listed map[string]int64
	// heldUntil holds the versions that appeared beside others.
	heldUntil map[string]time.Time
}

// unfamiliar returns a version, other than the target, that has just appeared.
func (v *poolVersions) unfamiliar(now time.Time, target string) string {
	for version := range v.listed {
		if version != target && now.Before(v.heldUntil[version]) {
			return version
		}
	}
	return ""
}

// SetEndpoints applies the usable endpoints.
func (t *Table) SetEndpoints(now time.Time, all []endpointset.Endpoint) {
	for _, v := range t.versions {
		clear(v.listed)
	}
	for _, e := range all {
		v := t.versions[e.Pool]
		if v == nil {
			v = &poolVersions{listed: map[string]int64{}}
			t.versions[e.Pool] = v
		}
		if first, known := v.listed[e.Version]; !known || e.StartedUnixMs < first {
			v.listed[e.Version] = e.StartedUnixMs
		}
	}
	for _, v := range t.versions {
		if !t.settings.OrdersUnexpected {
			v.updateHeld(now)
		}
	}
	for _, r := range t.rollouts {
		t.estimateAge(now, r)
	}
}

func (v *poolVersions) updateHeld(now time.Time) {
	if v.heldUntil == nil {
		if len(v.listed) == 0 {
			return
		}
		// The oldest version was there before, as were those that have run for long.
		v.heldUntil = map[string]time.Time{v.oldest(): {}}
		for version, startedAt := range v.listed {
			if now.Sub(time.UnixMilli(startedAt)) > recentStart {
				v.heldUntil[version] = time.Time{}
			}
		}
	}
	for version := range v.listed {
		if _, known := v.heldUntil[version]; !known {
			v.heldUntil[version] = now.Add(unfamiliarHold)
		}
	}
}

func (v *poolVersions) oldest() (oldest string) {
	first := true
	for version, startedAt := range v.listed {
		if first || startedAt < v.listed[oldest] || startedAt == v.listed[oldest] && version < oldest {
			oldest, first = version, false
		}
	}
	return oldest
}

// estimateAge estimates the age of an order that is older than this process by
// the start of its endpoints, which are started with the order. An estimate of
// more than half of the order's duration is not used: the endpoints may have been
// started before.
func (t *Table) estimateAge(now time.Time, r *rollout) {
	v := t.versions[r.order.Service]
	if r.ageKnown || v == nil || v.listed[r.order.Target] == 0 {
		return
	}
	r.ageKnown = true
	age := now.Sub(time.UnixMilli(v.listed[r.order.Target]))
	r.learnStart(now.Add(-min(max(age, 0), r.order.Duration/2)))
}

// learnStart applies another estimate of the time of the order; the earliest one
// counts.
func (r *rollout) learnStart(at time.Time) {
	if at.Before(r.startedAt) {
		r.startedAt = at
	}
}
