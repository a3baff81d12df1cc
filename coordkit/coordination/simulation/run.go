package simulation

import (
	"fmt"
	"time"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
)

const (
	// faultPhaseDuration is how long faults are started; runDuration is the
	// length of a run.
	faultPhaseDuration = 60 * time.Second
	runDuration        = 120 * time.Second
	tickInterval       = 40 * time.Millisecond
	instances          = 4
	// restartDelayAfterLoss keeps instances from starting on a log that has
	// just lost its records: a new instance cannot distinguish it from a new
	// log.
	restartDelayAfterLoss = 30 * time.Second
)

const (
	invariantConverges invariant.Name = "simulation-all-instances-converge"
	invariantProgress  invariant.Name = "simulation-work-gets-done-when-calm"
)

// drivers run the state machines of one incarnation of a node.
type drivers struct {
	config  *configDriver
	writers [partitions]*writerDriver
	leases  *leaseDriver
}

// Run is one simulation run.
type Run struct {
	world     *world
	defect    Defect
	config    *configChecker
	service   *service
	endpoints []*endpoint
	attempts  int
	changes   int
	bookings  int
	// owners[n][p] is the owner of partition p in the view of node n.
	owners       [][partitions]int
	lostAt       time.Time
	maxLogLosses int
}

// Result summarises a run.
type Result struct {
	Seed uint64
	// Violation is the violated invariant; it is set when Failed is.
	Violation invariant.Violation
	Failed    bool
	// Trace lists what happened, oldest first.
	Trace []string
	// Accepted counts accepted changes, Checked those whose arrival on every
	// instance was checked.
	Accepted, Checked int
	Bookings, Ran     int
	Orders            int
	LogLosses         int
}

// RunSeed runs one seed. The run stops at the first violated invariant; this relies
// on invariants panicking, as they do under test.
func RunSeed(seed uint64, defect Defect) (result Result) {
	r := newRun(seed, defect)
	defer func() {
		if p := recover(); p != nil {
			b, ok := p.(invariant.Violation)
			if !ok {
				panic(fmt.Sprintf("seed %d: %v", seed, p))
			}
			result = r.result(seed)
			result.Failed, result.Violation = true, b
			result.Trace = append(result.Trace, fmt.Sprintf("%9.3f %s", r.world.now.Sub(r.world.start).Seconds(), b.Error()))
		}
	}()
	r.scheduleFaults()
	r.world.runUntil(r.world.start.Add(runDuration))
	r.checkFinalState()
	return r.result(seed)
}

func (r *Run) result(seed uint64) Result {
	out := Result{
		Seed: seed, Trace: r.world.trace, Accepted: r.config.accepted, Checked: r.config.checked,
		Bookings: r.bookings, Ran: len(r.service.runs), LogLosses: r.world.log.losses,
	}
	for _, e := range r.endpoints {
		out.Orders += e.orders
	}
	return out
}

func newRun(seed uint64, defect Defect) *Run {
	w := newWorld(seed, instances)
	r := &Run{
		world: w, defect: defect, config: newConfigChecker(w), maxLogLosses: w.random.IntN(3),
		service: &service{
			world: w, runs: make(map[journal.Key]int),
			reportedNotRun: make(map[journal.AttemptID]bool), ran: make(map[journal.AttemptID]bool),
		},
		endpoints: []*endpoint{newEndpoint(w, "endpoint/checks", true), newEndpoint(w, "endpoint/trusts", false)},
	}
	for i := range instances {
		n := &node{
			world: w, index: i, id: instance.ID(fmt.Sprintf("d%d", i)),
			skew: w.randomDuration(-500*time.Millisecond, 500*time.Millisecond),
		}
		w.nodes = append(w.nodes, n)
		r.owners = append(r.owners, [partitions]int{})
	}
	for _, n := range w.nodes {
		r.startNode(n)
	}
	r.repeat(w.start, 500*time.Millisecond, r.submitChange)
	r.repeat(w.start, 400*time.Millisecond, r.submitBooking)
	r.repeat(w.start, 3*time.Second, r.resolveOnRandomNode)
	r.repeat(w.start, time.Second, r.changeLeaseDemand)
	return r
}

// repeat calls f at random intervals of d on average until the end.
func (r *Run) repeat(from time.Time, d time.Duration, f func()) {
	r.world.after(r.world.randomDuration(d/2, d*3/2), func() {
		f()
		r.repeat(from, d, f)
	})
}

func (r *Run) startNode(n *node) {
	n.incarnation++
	n.alive = true
	n.pausedUntil = time.Time{}
	n.drivers = drivers{config: newConfigDriver(r, n), leases: newLeaseDriver(r, n)}
	r.world.tracef("%s starts, clock off by %s", n.incarnationName(), n.skew)
	r.tick(n)
	r.scheduleHeartbeat(n)
}

func (r *Run) tick(n *node) {
	n.later(tickInterval, func() {
		n.drivers.config.tick(r.world.liveIDs())
		for _, p := range n.drivers.writers {
			if p != nil {
				p.step(journal.Tick{})
			}
		}
		n.drivers.leases.step(lease.Tick{})
		r.tick(n)
	})
}

func (r *Run) scheduleHeartbeat(n *node) {
	n.later(heartbeatInterval, func() {
		n.drivers.config.heartbeat()
		r.scheduleHeartbeat(n)
	})
}

func (r *Run) randomNode() *node { return r.world.nodes[r.world.random.IntN(instances)] }

func (r *Run) ownerInViewOf(n *node, partition int) int { return r.owners[n.index][partition] }

func (r *Run) endpoint(name lease.Name) *endpoint {
	for _, e := range r.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (r *Run) submitChange() {
	r.changes++
	id := fmt.Sprintf("c%d", r.changes)
	n := r.randomNode()
	n.run(func() { n.drivers.config.submitChange(id) })
}

// submitBooking lets a caller book through one entry, or through three
// concurrently.
func (r *Run) submitBooking() {
	r.bookings++
	w := r.world
	key := journal.Key{Namespace: "organisation", Name: fmt.Sprintf("k%d", r.bookings)}
	issued := w.now.Add(w.randomDuration(-500*time.Millisecond, 500*time.Millisecond))
	entries := 1
	if w.randomChance(300) {
		entries = 3
	}
	for range entries {
		n := r.randomNode()
		n.run(func() { r.book(n, key, issued, 3) })
	}
	if w.randomChance(100) {
		// The caller repeats the request much later.
		w.after(w.randomDuration(time.Second, 20*time.Second), func() {
			n := r.randomNode()
			n.run(func() { r.book(n, key, issued, 0) })
		})
	}
}

func (r *Run) resolveOnRandomNode() {
	n := r.randomNode()
	n.run(func() { r.resolveOpenKeys(n) })
}

// changeLeaseDemand makes a random node request or release a random lease.
func (r *Run) changeLeaseDemand() {
	n := r.randomNode()
	e := r.endpoints[r.world.random.IntN(len(r.endpoints))]
	release := r.world.randomChance(400)
	n.run(func() {
		if release {
			n.drivers.leases.release(e.name)
			return
		}
		n.drivers.leases.step(lease.Acquire{Name: e.name})
	})
}

// checkFinalState checks, some time after the last fault, that all instances
// agree and that work completed.
func (r *Run) checkFinalState() {
	first := r.world.nodes[0].drivers.config.replica.Revision()
	for _, n := range r.world.nodes {
		revision := n.drivers.config.replica.Revision()
		behind := first.Offset() - revision.Offset()
		near := first.Generation() == revision.Generation() && behind < 100 && behind > -100
		invariant.Check(near, invariantConverges, "%s is at %s, %s at %s", n.id, revision, r.world.nodes[0].id, first)
	}
	invariant.Check(r.config.checked > 0, invariantProgress, "no change was accepted while calm")
	invariant.Check(r.service.completed > 0, invariantProgress, "no booking was done")
}
