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
	// networkDelay is one way between entry, owner and engine.
	networkDelay = time.Millisecond
	tickInterval = 100 * time.Millisecond
	// progressInterval is the least time between two reports on an answer.
	progressInterval = 500 * time.Millisecond
	reportInterval   = time.Second
	cacheInterval    = 500 * time.Millisecond
	// breakDelay is how long an entry takes to notice a dead engine.
	breakDelay = 300 * time.Millisecond
	// listLag is how late the membership list drops a dead engine.
	listLag = 5 * time.Second
	// settle is how long a run goes on after the last arrival.
	settle      = 45 * time.Second
	worldStream = 0x776f726c
)

// epoch is where virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var entryLife = instance.Process{ID: "entry", Incarnation: 1}

// world runs one decision core against the engines in virtual time.
type world struct {
	d        *deployment
	scenario *Scenario
	core     core
	random   *rand.Rand
	now      time.Duration
	queue    *indexheap.Heap[*timed]
	sequence uint64
	engines  []*engine
	byName   map[structs.EndpointName]*engine
	listed   map[structs.EndpointName]bool
	requests map[structs.RequestID]*entryRequest
	score    *scoreboard
	cacheSeq map[structs.EndpointName]uint64
}

// timed is a step of the run at a time; equal times keep their order.
type timed struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// entryRequest is a request as its entry holds it.
type entryRequest struct {
	arrival *arrival
	job     *job
	engine  *engine
	grant   scheduling.GrantID
	ended   bool
}

func newWorld(d *deployment, s *Scenario, c core, seed uint64) *world {
	w := &world{
		d:        d,
		scenario: s,
		core:     c,
		random:   rand.New(rand.NewPCG(seed, worldStream)),
		queue:    indexheap.New(timedBefore, func(*timed, int) {}),
		byName:   map[structs.EndpointName]*engine{},
		listed:   map[structs.EndpointName]bool{},
		requests: map[structs.RequestID]*entryRequest{},
		score:    newScoreboard(s),
		cacheSeq: map[structs.EndpointName]uint64{},
	}
	for _, spec := range d.engines {
		e := newEngine(spec)
		w.engines = append(w.engines, e)
		w.byName[spec.name] = e
		w.listed[spec.name] = true
	}
	return w
}

func timedBefore(a, b *timed) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.sequence < b.sequence
}

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	w.queue.Push(&timed{at: w.now + d, sequence: w.sequence, do: do})
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

// run plays the arrivals and everything that follows from them.
func (w *world) run(arrivals []*arrival) {
	w.configure()
	w.step(scheduling.TakeoverDone{})
	for _, a := range arrivals {
		w.after(a.at, func() { w.arrive(a) })
	}
	w.scheduleFaults()
	w.every(tickInterval, func() { w.core.Tick(w.time()); w.carryOut() })
	w.every(reportInterval, w.reportLoads)
	w.every(cacheInterval, w.reportCaches)
	until := w.scenario.Duration + settle
	for w.queue.Len() > 0 && w.queue.Min().at <= until {
		next := w.queue.Min()
		w.queue.Remove(0)
		w.now = next.at
		next.do()
	}
}

func (w *world) every(interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		if w.now < w.scenario.Duration+settle {
			w.after(interval, again)
		}
	}
	w.after(interval, again)
}

func (w *world) step(e scheduling.Event) {
	w.core.Step(w.time(), e)
	w.carryOut()
}

// tell passes an event to the core after the network's delay.
func (w *world) tell(e scheduling.Event) { w.after(networkDelay, func() { w.step(e) }) }

func (w *world) carryOut() {
	for _, e := range w.core.Ready() {
		switch e := e.(type) {
		case scheduling.Grant:
			w.after(networkDelay, func() { w.dispatch(e) })
		case scheduling.Refuse:
			w.after(networkDelay, func() { w.refused(e) })
		case scheduling.CancelRunning:
			w.after(networkDelay, func() { w.cancelled(e) })
		}
	}
}

func (w *world) configure() {
	spec := scheduling.PoolSpec{Name: "pool", QueueLimit: queueLimit}
	for _, e := range w.d.engines {
		spec.Endpoints = append(spec.Endpoints, scheduling.EndpointSpec{
			Name:          e.name,
			FailureDomain: e.domain,
			SpeedClass:    e.kind.Class,
			Targets:       []structs.Target{e.target},
			Listed:        w.listed[e.name],
		})
	}
	w.step(scheduling.Configure{Pool: spec})
}

func (w *world) arrive(a *arrival) {
	w.requests[a.id] = &entryRequest{arrival: a}
	w.score.offered(a)
	w.tell(scheduling.Offer{Request: w.describe(a)})
	w.after(a.deadline, func() { w.deadlinePassed(w.requests[a.id]) })
}

func (w *world) describe(a *arrival) structs.Request {
	return structs.Request{
		ID:              a.id,
		Entry:           entryLife,
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
		Deadline:        epoch.Add(a.at + a.deadline),
	}
}

func (w *world) refused(e scheduling.Refuse) {
	if r := w.requests[e.Request]; r.job == nil {
		w.end(r)
	}
}

func (w *world) dispatch(g scheduling.Grant) {
	r := w.requests[g.Request]
	if r.job != nil || r.ended {
		w.tell(scheduling.Return{ID: g.Request, Grant: g.ID, Reason: structs.ReasonCallerLeft})
		return
	}
	e := w.byName[g.Endpoint]
	if !e.alive {
		w.after(breakDelay, func() {
			w.tell(scheduling.Return{ID: g.Request, Grant: g.ID, Reason: structs.ReasonConnectFailed})
		})
		return
	}
	r.engine = e
	r.grant = g.ID
	r.job = &job{arrival: r.arrival, started: w.time(), uncached: r.arrival.prompt}
	w.after(networkDelay, func() { w.startJob(e, r) })
}

func (w *world) startJob(e *engine, r *entryRequest) {
	if !e.alive || r.job.cancelled {
		return
	}
	e.waiting = append(e.waiting, r.job)
	w.drive(e)
}

func (w *world) deadlinePassed(r *entryRequest) {
	if r.ended {
		return
	}
	if r.job == nil {
		w.end(r)
		return
	}
	w.stopJob(r, structs.OutcomeFailed, structs.ReasonDeadlineRunning)
}

func (w *world) cancelled(e scheduling.CancelRunning) {
	if r := w.requests[e.Request]; r.job != nil && !r.ended {
		w.stopJob(r, structs.OutcomeFailed, e.Reason)
	}
}

func (w *world) stopJob(r *entryRequest, o structs.Outcome, reason structs.Reason) {
	r.engine.cancel(r.job)
	w.finished(r, o, reason)
}

// finished ends a dispatched request and tells the core.
func (w *world) finished(r *entryRequest, o structs.Outcome, reason structs.Reason) {
	j := r.job
	f := scheduling.Finish{
		ID:           r.arrival.id,
		Grant:        r.grant,
		Endpoint:     r.engine.spec.name,
		Outcome:      o,
		Reason:       reason,
		Duration:     w.time().Sub(j.started),
		PromptTokens: r.arrival.prompt,
		CachedTokens: j.cached,
		OutputTokens: j.output,
	}
	if !j.firstAt.IsZero() {
		f.FirstTokenAfter = j.firstAt.Sub(j.started)
	}
	w.tell(f)
	w.end(r)
}

func (w *world) end(r *entryRequest) {
	if r.ended {
		return
	}
	r.ended = true
	w.score.ended(r, w.now)
}
