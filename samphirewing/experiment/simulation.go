package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/indexheap"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// networkDelay is the one-way delay between entry, owner and engine.
	networkDelay = time.Millisecond
	tickInterval = 100 * time.Millisecond
	// progressInterval is the minimum time between two progress reports of a
	// request.
	progressInterval = 500 * time.Millisecond
	reportInterval   = time.Second
	cacheInterval    = 500 * time.Millisecond
	// failureDetectionDelay is the time until an entry detects a dead engine.
	failureDetectionDelay = 300 * time.Millisecond
	// membershipLag is the time until the membership list drops a dead engine.
	membershipLag = 5 * time.Second
	// drainTime is how long a simulation continues after the end of the
	// arrivals.
	drainTime = 45 * time.Second
	// simulationStream selects the random stream of the simulation.
	simulationStream = 0x776f726c
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var entryProcess = instance.Process{ID: "entry", Incarnation: 1}

// simulation is a discrete-event simulation of one decision core and the
// engines of a deployment.
type simulation struct {
	deployment    *deployment
	scenario      *Scenario
	core          core
	random        *rand.Rand
	now           time.Duration
	events        *indexheap.Heap[*scheduledEvent]
	lastSequence  uint64
	engines       []*engine
	byName        map[structs.EndpointName]*engine
	listed        map[structs.EndpointName]bool
	requests      map[structs.RequestID]*entryRequest
	score         *scoreboard
	cacheSequence map[structs.EndpointName]uint64
}

// scheduledEvent is an action at a virtual time. Events due at the same time
// run in the order in which they were scheduled.
type scheduledEvent struct {
	due      time.Duration
	sequence uint64
	action   func()
}

// entryRequest is the state of a request at its entry.
type entryRequest struct {
	arrival *arrival
	job     *job
	engine  *engine
	grant   scheduling.GrantID
	closed  bool
}

func newSimulation(d *deployment, scenario *Scenario, c core, seed uint64) *simulation {
	sim := &simulation{
		deployment:    d,
		scenario:      scenario,
		core:          c,
		random:        rand.New(rand.NewPCG(seed, simulationStream)),
		events:        indexheap.New(dueBefore, func(*scheduledEvent, int) {}),
		byName:        map[structs.EndpointName]*engine{},
		listed:        map[structs.EndpointName]bool{},
		requests:      map[structs.RequestID]*entryRequest{},
		score:         newScoreboard(scenario),
		cacheSequence: map[structs.EndpointName]uint64{},
	}
	for _, spec := range d.engines {
		e := newEngine(spec)
		sim.engines = append(sim.engines, e)
		sim.byName[spec.name] = e
		sim.listed[spec.name] = true
	}
	return sim
}

func dueBefore(a, b *scheduledEvent) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.lastSequence++
	sim.events.Push(&scheduledEvent{due: sim.now + delay, sequence: sim.lastSequence, action: action})
}

func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

// run simulates the arrivals and the events that they cause.
func (sim *simulation) run(arrivals []*arrival) {
	sim.configure()
	sim.step(scheduling.TakeoverDone{})
	for _, a := range arrivals {
		sim.schedule(a.arrivedAt, func() { sim.handleArrival(a) })
	}
	sim.scheduleFaults()
	sim.scheduleEvery(tickInterval, func() { sim.core.Tick(sim.time()); sim.executeEffects() })
	sim.scheduleEvery(reportInterval, sim.reportLoads)
	sim.scheduleEvery(cacheInterval, sim.reportCacheEvents)
	until := sim.scenario.Duration + drainTime
	for sim.events.Len() > 0 && sim.events.Min().due <= until {
		next := sim.events.Min()
		sim.events.Remove(0)
		sim.now = next.due
		next.action()
	}
}

func (sim *simulation) scheduleEvery(interval time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		action()
		if sim.now < sim.scenario.Duration+drainTime {
			sim.schedule(interval, repeat)
		}
	}
	sim.schedule(interval, repeat)
}

func (sim *simulation) step(e scheduling.Event) {
	sim.core.Step(sim.time(), e)
	sim.executeEffects()
}

// send delivers an event to the core after the network delay.
func (sim *simulation) send(e scheduling.Event) { sim.schedule(networkDelay, func() { sim.step(e) }) }

// executeEffects schedules the effects that the core has ready.
func (sim *simulation) executeEffects() {
	for _, e := range sim.core.Ready() {
		switch e := e.(type) {
		case scheduling.Grant:
			sim.schedule(networkDelay, func() { sim.handleGrant(e) })
		case scheduling.Refuse:
			sim.schedule(networkDelay, func() { sim.handleRefusal(e) })
		case scheduling.CancelRunning:
			sim.schedule(networkDelay, func() { sim.handleCancel(e) })
		}
	}
}

func (sim *simulation) configure() {
	spec := scheduling.PoolSpec{Name: "pool", QueueLimit: queueLimit}
	for _, e := range sim.deployment.engines {
		spec.Endpoints = append(spec.Endpoints, scheduling.EndpointSpec{
			Name:          e.name,
			FailureDomain: e.domain,
			SpeedClass:    e.kind.Class,
			Targets:       []structs.Target{e.target},
			Listed:        sim.listed[e.name],
		})
	}
	sim.step(scheduling.Configure{Pool: spec})
}

func (sim *simulation) handleArrival(a *arrival) {
	sim.requests[a.id] = &entryRequest{arrival: a}
	sim.score.recordOffered(a)
	sim.send(scheduling.Offer{Request: sim.buildRequest(a)})
	sim.schedule(a.deadline, func() { sim.deadlinePassed(sim.requests[a.id]) })
}

func (sim *simulation) buildRequest(a *arrival) structs.Request {
	return structs.Request{
		ID:              a.id,
		Entry:           entryProcess,
		Pool:            "pool",
		Kind:            a.class.kind,
		Target:          a.class.target,
		Rank:            a.rank,
		Organisation:    a.organisation,
		Weight:          1,
		WorkClass:       a.class.name,
		PromptTokens:    a.prompt,
		MaxOutputTokens: a.class.maxOutput,
		Prefix:          a.blocks,
		Deadline:        epoch.Add(a.arrivedAt + a.deadline),
	}
}

func (sim *simulation) handleRefusal(e scheduling.Refuse) {
	if r := sim.requests[e.Request]; r.job == nil {
		sim.closeRequest(r)
	}
}

func (sim *simulation) handleGrant(g scheduling.Grant) {
	r := sim.requests[g.Request]
	if r.job != nil || r.closed {
		sim.send(scheduling.Return{ID: g.Request, Grant: g.ID, Reason: structs.ReasonCallerLeft})
		return
	}
	e := sim.byName[g.Endpoint]
	if !e.alive {
		sim.schedule(failureDetectionDelay, func() {
			sim.send(scheduling.Return{ID: g.Request, Grant: g.ID, Reason: structs.ReasonConnectFailed})
		})
		return
	}
	r.engine = e
	r.grant = g.ID
	r.job = &job{arrival: r.arrival, started: sim.time(), remainingPrefill: r.arrival.prompt}
	sim.schedule(networkDelay, func() { sim.startJob(e, r) })
}

func (sim *simulation) startJob(e *engine, r *entryRequest) {
	if !e.alive || r.job.cancelled {
		return
	}
	e.waiting = append(e.waiting, r.job)
	sim.runEngine(e)
}

func (sim *simulation) deadlinePassed(r *entryRequest) {
	if r.closed {
		return
	}
	if r.job == nil {
		sim.closeRequest(r)
		return
	}
	sim.abortJob(r, structs.OutcomeFailed, structs.ReasonDeadlineRunning)
}

func (sim *simulation) handleCancel(e scheduling.CancelRunning) {
	if r := sim.requests[e.Request]; r.job != nil && !r.closed {
		sim.abortJob(r, structs.OutcomeFailed, e.Reason)
	}
}

func (sim *simulation) abortJob(r *entryRequest, outcome structs.Outcome, reason structs.Reason) {
	r.engine.cancel(r.job)
	sim.finishRequest(r, outcome, reason)
}

// finishRequest closes a dispatched request and reports its end to the core.
func (sim *simulation) finishRequest(r *entryRequest, outcome structs.Outcome, reason structs.Reason) {
	j := r.job
	finish := scheduling.Finish{
		ID:           r.arrival.id,
		Grant:        r.grant,
		Endpoint:     r.engine.spec.name,
		Outcome:      outcome,
		Reason:       reason,
		Duration:     sim.time().Sub(j.started),
		PromptTokens: r.arrival.prompt,
		CachedTokens: j.cached,
		OutputTokens: j.output,
	}
	if !j.firstTokenAt.IsZero() {
		finish.FirstTokenAfter = j.firstTokenAt.Sub(j.started)
	}
	sim.send(finish)
	sim.closeRequest(r)
}

func (sim *simulation) closeRequest(r *entryRequest) {
	if r.closed {
		return
	}
	r.closed = true
	sim.score.recordEnd(r, sim.now)
}
