package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// runEngine starts the next iteration of an engine if it has work and no
// iteration is running.
func (sim *simulation) runEngine(e *engine) {
	if e.spec.service {
		sim.startServiceCalls(e)
		return
	}
	if e.iterating || !e.alive || e.idle() {
		return
	}
	e.admit(sim.engines)
	e.iterating = true
	sim.schedule(e.startIteration(), func() { sim.completeIteration(e) })
}

func (sim *simulation) completeIteration(e *engine) {
	e.iterating = false
	if !e.alive {
		return
	}
	e.finishIteration(func(j *job) { sim.handleToken(j) })
	sim.runEngine(e)
}

// handleToken processes a new output token: it finishes a complete answer and
// reports progress to the core at most once per progressInterval.
func (sim *simulation) handleToken(j *job) {
	r := sim.requests[j.arrival.id]
	now := sim.time()
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = now
	}
	if j.output >= j.arrival.output {
		sim.finishRequest(r, structs.OutcomeDone, structs.ReasonNone)
		return
	}
	if now.Sub(j.lastReport) < progressInterval {
		return
	}
	progress := scheduling.Progress{ID: j.arrival.id, Grant: r.grant, Endpoint: r.engine.spec.name, Output: j.output}
	if j.lastReport.IsZero() {
		progress.FirstTokenAfter = now.Sub(j.started)
	}
	j.lastReport = now
	sim.send(progress)
}

// startServiceCalls starts waiting calls while the runner has free slots.
func (sim *simulation) startServiceCalls(e *engine) {
	for e.alive && len(e.waiting) > 0 && len(e.batch) < e.spec.kind.MaxBatch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, j)
		j.admitted = true
		duration := time.Duration(float64(j.arrival.serviceTime) * e.slowdown)
		sim.schedule(duration, func() { sim.completeServiceCall(e, j) })
	}
}

func (sim *simulation) completeServiceCall(e *engine, j *job) {
	if !e.alive {
		return
	}
	j.output = j.arrival.output
	cancelled := j.cancelled
	e.removeCompleted()
	if !cancelled {
		sim.finishRequest(sim.requests[j.arrival.id], structs.OutcomeDone, structs.ReasonNone)
	}
	sim.startServiceCalls(e)
}

// scheduleFaults schedules the faults of the scenario.
func (sim *simulation) scheduleFaults() {
	s := sim.scenario
	if s.SlowFactor > 1 {
		sim.schedule(s.FaultAt, func() { sim.engines[0].slowdown = s.SlowFactor })
	}
	if s.LoseDomain {
		sim.schedule(s.FaultAt, sim.killDomain)
	}
}

// killDomain kills every engine in the failure domain of the first engine.
// The membership list drops them after membershipLag.
func (sim *simulation) killDomain() {
	failedDomain := sim.engines[0].spec.domain
	for _, e := range sim.engines {
		if e.spec.domain == failedDomain {
			sim.killEngine(e)
		}
	}
	sim.schedule(membershipLag, func() {
		for _, e := range sim.engines {
			sim.listed[e.spec.name] = e.alive
		}
		sim.configure()
	})
}

func (sim *simulation) killEngine(e *engine) {
	e.alive = false
	for _, r := range sim.requestsOn(e) {
		sim.schedule(failureDetectionDelay, func() {
			if !r.closed {
				sim.finishRequest(r, structs.OutcomeUnknown, structs.ReasonStreamBroken)
			}
		})
	}
}

// requestsOn returns the requests on an engine in the order of their dispatch.
func (sim *simulation) requestsOn(e *engine) []*entryRequest {
	var requests []*entryRequest
	for _, j := range append(append([]*job(nil), e.batch...), e.waiting...) {
		requests = append(requests, sim.requests[j.arrival.id])
	}
	return requests
}

func (sim *simulation) reportLoads() {
	for _, e := range sim.engines {
		if !e.alive {
			continue
		}
		report := scheduling.LoadReport{
			Endpoint:      e.spec.name,
			AsOf:          sim.time(),
			Running:       len(e.batch),
			Waiting:       len(e.waiting),
			TokensInUse:   e.kvTokens,
			TokenCapacity: e.spec.kind.KVTokens,
		}
		sim.schedule(sim.scenario.ReportLag+networkDelay, func() { sim.step(report) })
	}
}

func (sim *simulation) reportCacheEvents() {
	for _, e := range sim.engines {
		stored, dropped := e.cache.drainEvents()
		if !e.alive || len(stored)+len(dropped) == 0 {
			continue
		}
		sim.cacheSequence[e.spec.name]++
		if sim.random.Float64() < sim.scenario.CacheLoss {
			continue
		}
		event := scheduling.CacheEvent{
			Endpoint: e.spec.name,
			Sequence: sim.cacheSequence[e.spec.name],
			Stored:   stored,
			Dropped:  dropped,
		}
		sim.schedule(sim.scenario.CacheLag+networkDelay, func() { sim.step(event) })
	}
}
