package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/rollout"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Versions decides which versions of a pool's endpoints requests may be sent to.
type Versions interface {
	// Admit returns the restriction of a request. retry is set if an attempt has
	// failed.
	Admit(now time.Time, pool structs.PoolName, route string, retry bool) rollout.Admission
	// Granted records that a request goes to an endpoint of a version.
	Granted(pool structs.PoolName, version string)
}

// SetVersions sets what restricts the endpoints by their versions.
func (s *Scheduler) SetVersions(v Versions) { s.versions = v }

// admits reports whether the current admission and the request's binding allow an
// endpoint.
func (s *Scheduler) admits(e *endpoint, r *Request) bool {
	if !s.allowsVersion(e, r) {
		return false
	}
	if s.admission.Held != "" && e.info.Version == s.admission.Held && !r.Binding.Bound {
		return false
	}
	switch s.admission.Mode {
	case rollout.Exclude:
		return e.info.Version != s.admission.Version
	case rollout.Prefer, rollout.Require:
		return e.info.Version == s.admission.Version
	}
	return true
}

// chooseVersion chooses among the endpoints whose versions the request may use.
func (s *Scheduler) chooseVersion(now time.Time, p *pool, r *Request) (best *endpoint, usable bool) {
	s.admission = s.versions.Admit(now, r.Pool, r.Route, len(r.Tried) > 0)
	best, usable = s.chooseAdmitted(now, p, r)
	if best == nil && s.admission.Mode == rollout.Prefer {
		s.admission.Mode = rollout.Exclude
		var otherUsable bool
		best, otherUsable = s.chooseAdmitted(now, p, r)
		usable = usable || otherUsable
	}
	if !usable && s.admission.Mode == rollout.Exclude && s.admission.Fallback {
		s.admission.Mode = rollout.Require
		best, usable = s.chooseAdmitted(now, p, r)
	}
	s.admission = rollout.Admission{}
	return best, usable
}

func (s *Scheduler) reserve(now time.Time, p *pool, e *endpoint, r *Request) *Grant {
	if s.versions != nil {
		s.versions.Granted(r.Pool, e.info.Version)
	}
	return p.reserve(now, e, r)
}

// usualMs returns the forecast for an endpoint of usual speed with the load of e.
func (p *pool) usualMs(e *endpoint, r *Request) float64 {
	if p.engine == nil {
		load := float64(len(e.grants)+e.peerTotal.Running) / float64(max(e.info.Slots, 1))
		return firstPositive(p.callMs, defaultCallMs) * (1 + load)
	}
	return p.prefill.predict(prefillUnits(r.Prompt) + e.pendingPrefill + e.peerTotal.PrefillUnits)
}

// learned reports whether the speed of an endpoint is known from several responses.
func (p *pool) learned(e *endpoint) bool {
	if p.engine == nil {
		return e.callMs > 0 && e.own.outcomes >= minOwnSamples
	}
	return e.own.samples+e.fleet.Samples >= minOwnSamples
}

// VersionCapacity returns what the usable endpoints of a version can run, and what
// runs on all of the pool.
func (s *Scheduler) VersionCapacity(now time.Time, pool structs.PoolName, version string) rollout.Capacity {
	var c rollout.Capacity
	p := s.pools[pool]
	if p == nil {
		return c
	}
	for _, e := range p.endpoints {
		c.Running += len(e.grants) + e.peerTotal.Running
		if e.listed && e.info.Version == version && !now.Before(e.quarantinedUntil) {
			c.Endpoints++
			c.Slots += p.slots(e)
		}
	}
	return c
}
