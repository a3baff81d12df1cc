package poolowner

import (
	"sort"
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/coordination/breaker"
	"github.com/samphirewing/samphirewing/coordination/placement"
	"github.com/samphirewing/samphirewing/coordination/speed"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// healthCheckInterval is the time between health checks of all endpoints.
	healthCheckInterval = time.Second
	// An endpoint with work is unresponsive when nothing was received about it
	// for stallTimeout plus stallFactor times its prefill backlog and step
	// time.
	stallTimeout = 3 * time.Second
	stallFactor  = 3
)

// isEndpointFailure reports whether a reason counts as a failure of the
// endpoint.
func isEndpointFailure(r structs.Reason) bool {
	switch r {
	case structs.ReasonConnectFailed, structs.ReasonEngineError,
		structs.ReasonStreamBroken, structs.ReasonEndpointRejected,
		structs.ReasonFrameMismatch:
		return true
	default:
		return false
	}
}

func (o *Owner) recordFailure(e *endpoint) {
	if o.options.Disabled.Breaker {
		return
	}
	if e.breaker.RecordFailure(o.now) {
		o.options.Events.Emit(EventBreakerOpened, events.F("endpoint", e.spec.Name))
	}
	o.updateAvailability(e)
}

func (o *Owner) recordSuccess(e *endpoint) {
	if e.breaker.State(o.now) == breaker.HalfOpen {
		o.options.Events.Emit(EventBreakerClosed, events.F("endpoint", e.spec.Name))
	}
	e.breaker.RecordSuccess()
	o.updateAvailability(e)
}

// pace sums the observed and the expected times of an endpoint's requests.
type pace struct {
	observed, expected time.Duration
	target             structs.Target
}

// add adds one observation. The expected time is the typical time for the
// target.
func (p *pace) add(t structs.Target, took, expected time.Duration) {
	p.observed += took
	p.expected += expected
	p.target = t
}

// expectedDecodeTime is the typical time for generating the given number of
// tokens at a target's endpoints with the given number of running requests.
func (s *targetSet) expectedDecodeTime(running int, tokens structs.Tokens) time.Duration {
	step := s.typical.Step + time.Duration(running-1)*s.typical.StepPerRequest
	return time.Duration(tokens) * step
}

// evaluatePace compares the observed and the expected times of an endpoint
// since the last evaluation.
func (o *Owner) evaluatePace(e *endpoint) {
	p := e.pace
	e.pace = pace{}
	s := o.targets[p.target]
	if p.expected <= 0 || s == nil || o.options.Disabled.Straggler {
		return
	}
	if e.straggler.Observe(o.now, float64(p.observed)/float64(p.expected), s.medianSlowdown) {
		o.handleProbationChange(e)
	}
}

func (o *Owner) handleProbationChange(e *endpoint) {
	if e.straggler.OnProbation() {
		e.probationSince = o.now
		o.options.Events.Emit(EventProbationBegan, events.F("endpoint", e.spec.Name), events.F("slowdown", e.straggler.Slowdown()))
	} else {
		o.options.Events.Emit(EventProbationEnded, events.F("endpoint", e.spec.Name))
	}
	o.updateAvailability(e)
}

// checkEndpointHealth detects unresponsive endpoints, and makes endpoints available
// again whose breaker has turned half open.
func (o *Owner) checkEndpointHealth() {
	for _, e := range o.ordered {
		e.prefillDuty.observe(o.now, e.prefilled, e.speed.PrefillRate())
		o.evaluatePace(e)
		if !o.options.Disabled.Straggler && o.isUnresponsive(e) && e.straggler.RecordStall(o.now) {
			o.handleProbationChange(e)
		}
		o.updateAvailability(e)
	}
}

func (o *Owner) isUnresponsive(e *endpoint) bool {
	if e.running == 0 || !e.declared {
		return false
	}
	timeout := stallTimeout + stallFactor*(prefillTime(e, e.prefillAhead)+e.stepTime(e.running))
	return o.now.Sub(e.lastActivity) > timeout
}

// updateTypicalSpeeds computes the typical speeds of each target and updates
// the priors of the endpoints that are not yet settled.
func (o *Owner) updateTypicalSpeeds() {
	for _, s := range o.targets {
		s.updateSpeeds()
	}
	if o.options.Disabled.Speeds {
		return
	}
	for _, e := range o.ordered {
		if e.declared && !e.speed.Settled() {
			e.speed.SetPrior(o.classPrior(e))
		}
	}
}

// updateSpeeds computes the speeds from the settled endpoints that are not on
// probation, and the slowdown from all settled endpoints.
func (s *targetSet) updateSpeeds() {
	var m meanPrior
	var fastest speed.Prior
	slowdowns := make([]float64, 0, len(s.all))
	s.minLoadedStep = 0
	for _, e := range s.all {
		if step := e.stepTime(e.running + 1); e.eligible() && (s.minLoadedStep == 0 || step < s.minLoadedStep) {
			s.minLoadedStep = step
		}
		if !e.speed.Settled() {
			continue
		}
		slowdowns = append(slowdowns, e.straggler.Slowdown())
		if !e.straggler.OnProbation() {
			m.add(e.speed.AsPrior())
			fastest = fasterOf(fastest, e.speed.AsPrior())
		}
	}
	if m.count > 0 {
		s.typical = m.mean()
		s.fastest = fastest
	}
	s.medianSlowdown = 1
	if len(slowdowns) > 0 {
		sort.Float64s(slowdowns)
		s.medianSlowdown = slowdowns[len(slowdowns)/2]
	}
}

// minRunTime is the time a request needs at the present load of the pool if its
// whole prompt is cached.
func (s *targetSet) minRunTime(w *placement.Work) time.Duration {
	return time.Duration(w.Output) * s.minLoadedStep
}

// fasterOf returns the better value of each speed. A zero step marks an unset
// argument a.
func fasterOf(a, b speed.Prior) speed.Prior {
	if a.Step == 0 {
		return b
	}
	return speed.Prior{
		PrefillRate:    max(a.PrefillRate, b.PrefillRate),
		Step:           min(a.Step, b.Step),
		StepPerRequest: min(a.StepPerRequest, b.StepPerRequest),
	}
}

// classPrior is the mean speed of the settled endpoints of the same speed
// class, or the typical speed of the target if there are none.
func (o *Owner) classPrior(e *endpoint) speed.Prior {
	prior := o.options.SpeedPrior
	for _, t := range e.spec.Targets {
		s := o.targets[t]
		var m meanPrior
		for _, other := range s.all {
			if other.speed.Settled() && other.spec.SpeedClass == e.spec.SpeedClass {
				m.add(other.speed.AsPrior())
			}
		}
		if m.count > 0 {
			return m.mean()
		}
		prior = s.typical
	}
	return prior
}

// meanPrior is a running mean of speeds.
type meanPrior struct {
	sum   speed.Prior
	count int
}

func (m *meanPrior) add(p speed.Prior) {
	m.sum.PrefillRate += p.PrefillRate
	m.sum.Step += p.Step
	m.sum.StepPerRequest += p.StepPerRequest
	m.count++
}

func (m *meanPrior) mean() speed.Prior {
	return speed.Prior{
		PrefillRate:    m.sum.PrefillRate / float64(m.count),
		Step:           m.sum.Step / time.Duration(m.count),
		StepPerRequest: m.sum.StepPerRequest / time.Duration(m.count),
	}
}
