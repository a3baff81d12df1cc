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
	// healthInterval is the time between two looks at all endpoints.
	healthInterval = time.Second
	// stalledAfter is how long an endpoint with work may be silent, beyond
	// stallFactor times what it has to prefill.
	stalledAfter = 3 * time.Second
	stallFactor  = 3
)

// failureOfEndpoint tells whether a reason speaks against the endpoint.
func failureOfEndpoint(r structs.Reason) bool {
	switch r {
	case structs.ReasonConnectFailed, structs.ReasonEngineError,
		structs.ReasonStreamBroken, structs.ReasonEndpointRejected,
		structs.ReasonFrameMismatch:
		return true
	default:
		return false
	}
}

func (o *Owner) failed(e *endpoint) {
	if o.options.Disabled.Breaker {
		return
	}
	if e.breaker.RecordFailure(o.now) {
		o.options.Events.Emit(EventBreakerOpened, events.F("endpoint", e.spec.Name))
	}
	o.refresh(e)
}

func (o *Owner) succeeded(e *endpoint) {
	if e.breaker.State(o.now) == breaker.HalfOpen {
		o.options.Events.Emit(EventBreakerClosed, events.F("endpoint", e.spec.Name))
	}
	e.breaker.RecordSuccess()
	o.refresh(e)
}

// pace sums what an endpoint's requests took and what was expected of it.
type pace struct {
	took, expected time.Duration
	target         structs.Target
}

// add notes one observation; expected is what is typical for the target.
func (p *pace) add(t structs.Target, took, expected time.Duration) {
	p.took += took
	p.expected += expected
	p.target = t
}

// expectedDecode is what decoding so many tokens typically takes at a target's
// endpoints when so many requests run.
func (s *targetSet) expectedDecode(running int, made structs.Tokens) time.Duration {
	step := s.typical.Step + time.Duration(running-1)*s.typical.StepPerRequest
	return time.Duration(made) * step
}

// judge compares the pace of an endpoint since the last judgement with what
// was expected.
func (o *Owner) judge(e *endpoint) {
	p := e.pace
	e.pace = pace{}
	s := o.targets[p.target]
	if p.expected <= 0 || s == nil || o.options.Disabled.Straggler {
		return
	}
	if e.history.Observe(o.now, float64(p.took)/float64(p.expected), s.slowdown) {
		o.probationChanged(e)
	}
}

func (o *Owner) probationChanged(e *endpoint) {
	if e.history.OnProbation() {
		e.probationSince = o.now
		o.options.Events.Emit(EventProbationBegan, events.F("endpoint", e.spec.Name), events.F("slowdown", e.history.Slowdown()))
	} else {
		o.options.Events.Emit(EventProbationEnded, events.F("endpoint", e.spec.Name))
	}
	o.refresh(e)
}

// watchEndpoints looks for endpoints that went silent, and reopens those
// whose breaker's pause is over.
func (o *Owner) watchEndpoints() {
	for _, e := range o.ordered {
		e.duty.observe(o.now, e.prefilled, e.speed.PrefillRate())
		o.judge(e)
		if !o.options.Disabled.Straggler && o.silent(e) && e.history.RecordStall(o.now) {
			o.probationChanged(e)
		}
		o.refresh(e)
	}
}

func (o *Owner) silent(e *endpoint) bool {
	if e.running == 0 || !e.declared {
		return false
	}
	patience := stalledAfter + stallFactor*(prefillTime(e, e.prefillAhead)+e.step(e.running))
	return o.now.Sub(e.heard) > patience
}

// learnTypical computes what is usual for each target and speed class.
func (o *Owner) learnTypical() {
	for _, s := range o.targets {
		s.learn()
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

// learn takes the mean over the settled endpoints that are not on probation.
func (s *targetSet) learn() {
	var m meanPrior
	var fastest speed.Prior
	slowdowns := make([]float64, 0, len(s.all))
	s.loadedStep = 0
	for _, e := range s.all {
		if step := e.step(e.running + 1); e.eligible() && (s.loadedStep == 0 || step < s.loadedStep) {
			s.loadedStep = step
		}
		if !e.speed.Settled() {
			continue
		}
		slowdowns = append(slowdowns, e.history.Slowdown())
		if !e.history.OnProbation() {
			m.add(e.speed.AsPrior())
			fastest = faster(fastest, e.speed.AsPrior())
		}
	}
	if m.count > 0 {
		s.typical = m.mean()
		s.fastest = fastest
	}
	s.slowdown = 1
	if len(slowdowns) > 0 {
		sort.Float64s(slowdowns)
		s.slowdown = slowdowns[len(slowdowns)/2]
	}
}

// leastTime is the time a request needs at the pool's present load when its
// whole prompt is cached.
func (s *targetSet) leastTime(w *placement.Work) time.Duration {
	return time.Duration(w.Output) * s.loadedStep
}

// faster takes the better of each figure; a zero step means none.
func faster(a, b speed.Prior) speed.Prior {
	if a.Step == 0 {
		return b
	}
	return speed.Prior{
		PrefillRate:    max(a.PrefillRate, b.PrefillRate),
		Step:           min(a.Step, b.Step),
		StepPerRequest: min(a.StepPerRequest, b.StepPerRequest),
	}
}

// classPrior is the mean of the settled endpoints of the same speed class, or
// else of the target.
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
