package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// drive starts the next iteration of an engine that has work and none running.
func (w *world) drive(e *engine) {
	if e.spec.service {
		w.driveService(e)
		return
	}
	if e.stepping || !e.alive || e.idle() {
		return
	}
	e.admit(w.engines)
	e.stepping = true
	w.after(e.begin(), func() { w.iterationEnded(e) })
}

func (w *world) iterationEnded(e *engine) {
	e.stepping = false
	if !e.alive {
		return
	}
	e.end(func(j *job) { w.advanced(j) })
	w.drive(e)
}

// advanced reports a token of an answer.
func (w *world) advanced(j *job) {
	r := w.requests[j.arrival.id]
	now := w.time()
	if j.firstAt.IsZero() {
		j.firstAt = now
	}
	if j.output >= j.arrival.output {
		w.finished(r, structs.OutcomeDone, structs.ReasonNone)
		return
	}
	if now.Sub(j.reported) < progressInterval {
		return
	}
	p := scheduling.Progress{ID: j.arrival.id, Grant: r.grant, Endpoint: r.engine.spec.name, Output: j.output}
	if j.reported.IsZero() {
		p.FirstTokenAfter = now.Sub(j.started)
	}
	j.reported = now
	w.tell(p)
}

// driveService starts calls while the runner has room.
func (w *world) driveService(e *engine) {
	for e.alive && len(e.waiting) > 0 && len(e.batch) < e.spec.kind.Batch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, j)
		j.admitted = true
		took := time.Duration(float64(j.arrival.serviceTime) * e.slow)
		w.after(took, func() { w.serviceDone(e, j) })
	}
}

func (w *world) serviceDone(e *engine, j *job) {
	if !e.alive {
		return
	}
	j.output = j.arrival.output
	cancelled := j.cancelled
	e.removeEnded()
	if !cancelled {
		w.finished(w.requests[j.arrival.id], structs.OutcomeDone, structs.ReasonNone)
	}
	w.driveService(e)
}

// scheduleFaults plans what the scenario breaks.
func (w *world) scheduleFaults() {
	s := w.scenario
	if s.SlowFactor > 1 {
		w.after(s.FaultAt, func() { w.engines[0].slow = s.SlowFactor })
	}
	if s.LoseDomain {
		w.after(s.FaultAt, w.loseDomain)
	}
}

// loseDomain kills every engine of the first engine's failure domain.
func (w *world) loseDomain() {
	lost := w.engines[0].spec.domain
	for _, e := range w.engines {
		if e.spec.domain == lost {
			w.kill(e)
		}
	}
	w.after(listLag, func() {
		for _, e := range w.engines {
			w.listed[e.spec.name] = e.alive
		}
		w.configure()
	})
}

func (w *world) kill(e *engine) {
	e.alive = false
	for _, r := range w.heldBy(e) {
		w.after(breakDelay, func() {
			if !r.ended {
				w.finished(r, structs.OutcomeUnknown, structs.ReasonStreamBroken)
			}
		})
	}
}

// heldBy returns the requests on an engine in the order of their dispatch.
func (w *world) heldBy(e *engine) []*entryRequest {
	var held []*entryRequest
	for _, j := range append(append([]*job(nil), e.batch...), e.waiting...) {
		held = append(held, w.requests[j.arrival.id])
	}
	return held
}

func (w *world) reportLoads() {
	for _, e := range w.engines {
		if !e.alive {
			continue
		}
		report := scheduling.LoadReport{
			Endpoint:      e.spec.name,
			AsOf:          w.time(),
			Running:       len(e.batch),
			Waiting:       len(e.waiting),
			TokensInUse:   e.kv,
			TokenCapacity: e.spec.kind.KVTokens,
		}
		w.after(w.scenario.ReportLag+networkDelay, func() { w.step(report) })
	}
}

func (w *world) reportCaches() {
	for _, e := range w.engines {
		stored, dropped := e.cache.takeEvents()
		if !e.alive || len(stored)+len(dropped) == 0 {
			continue
		}
		w.cacheSeq[e.spec.name]++
		if w.random.Float64() < w.scenario.CacheLoss {
			continue
		}
		event := scheduling.CacheEvent{
			Endpoint: e.spec.name,
			Sequence: w.cacheSeq[e.spec.name],
			Stored:   stored,
			Dropped:  dropped,
		}
		w.after(w.scenario.CacheLag+networkDelay, func() { w.step(event) })
	}
}
