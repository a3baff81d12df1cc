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
	// faultTime is how long faults come, runTime how long a run is.
	faultTime = 60 * time.Second
	runTime   = 120 * time.Second
	tickTime  = 40 * time.Millisecond
	instances = 4
	// restartPause keeps instances from starting on a log that was just lost:
	// a fresh instance cannot tell it from a new one.
	restartPause = 30 * time.Second
)

const (
	invariantConverges invariant.Name = "simulation-all-instances-converge"
	invariantHappens   invariant.Name = "simulation-work-gets-done-when-calm"
)

// parts are the machines of one life of a node.
type parts struct {
	config  *configPart
	writers [partitions]*writerPart
	leases  *leasePart
}

// Run is one run.
type Run struct {
	world     *world
	broken    Breakage
	config    *configChecker
	service   *service
	endpoints []*endpoint
	attempts  int
	changes   int
	bookings  int
	// owners is the owner of each partition as each node sees it.
	owners   [][partitions]int
	lostAt   time.Time
	maxLoses int
}

// Result tells what a run did.
type Result struct {
	Seed uint64
	// Breach is the broken invariant, or empty.
	Breach invariant.Violation
	Failed bool
	// Trace is what happened, oldest first.
	Trace []string
	// Accepted counts changes accepted, Checked those whose arrival on every
	// instance was checked in time.
	Accepted, Checked int
	Bookings, Ran     int
	Orders            int
	LogLosses         int
}

// Do runs one seed. The run stops at the first broken invariant; that needs
// invariants to panic, as they do under test.
func Do(seed uint64, broken Breakage) (result Result) {
	r := newRun(seed, broken)
	defer func() {
		if p := recover(); p != nil {
			b, ok := p.(invariant.Violation)
			if !ok {
				panic(fmt.Sprintf("seed %d: %v", seed, p))
			}
			result = r.result(seed)
			result.Failed, result.Breach = true, b
			result.Trace = append(result.Trace, fmt.Sprintf("%9.3f %s", r.world.now.Sub(r.world.start).Seconds(), b.Error()))
		}
	}()
	r.planFaults()
	r.world.runUntil(r.world.start.Add(runTime))
	r.checkEnd()
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

func newRun(seed uint64, broken Breakage) *Run {
	w := newWorld(seed, instances)
	r := &Run{
		world: w, broken: broken, config: newConfigChecker(w), maxLoses: w.random.IntN(3),
		service: &service{
			world: w, runs: make(map[journal.Key]int),
			refused: make(map[journal.AttemptID]bool), ran: make(map[journal.AttemptID]bool),
		},
		endpoints: []*endpoint{newEndpoint(w, "endpoint/checks", true), newEndpoint(w, "endpoint/trusts", false)},
	}
	for i := range instances {
		n := &node{
			world: w, number: i, id: instance.ID(fmt.Sprintf("d%d", i)),
			skew: w.between(-500*time.Millisecond, 500*time.Millisecond),
		}
		w.nodes = append(w.nodes, n)
		r.owners = append(r.owners, [partitions]int{})
	}
	for _, n := range w.nodes {
		r.startNode(n)
	}
	r.every(w.start, 500*time.Millisecond, r.submitChange)
	r.every(w.start, 400*time.Millisecond, r.submitBooking)
	r.every(w.start, 3*time.Second, r.resolveSome)
	r.every(w.start, time.Second, r.wantLeases)
	return r
}

// every calls f about once in d until the end.
func (r *Run) every(from time.Time, d time.Duration, f func()) {
	r.world.after(r.world.between(d/2, d*3/2), func() {
		f()
		r.every(from, d, f)
	})
}

func (r *Run) startNode(n *node) {
	n.life++
	n.alive = true
	n.pausedUntil = time.Time{}
	n.part = parts{config: newConfigPart(r, n), leases: newLeasePart(r, n)}
	r.world.note("%s starts, clock off by %s", n.lifeName(), n.skew)
	r.tick(n)
	r.beat(n)
}

func (r *Run) tick(n *node) {
	n.later(tickTime, func() {
		n.part.config.tick(r.world.liveIDs())
		for _, p := range n.part.writers {
			if p != nil {
				p.step(journal.Tick{})
			}
		}
		n.part.leases.step(lease.Tick{})
		r.tick(n)
	})
}

func (r *Run) beat(n *node) {
	n.later(heartbeatTime, func() {
		n.part.config.heartbeat()
		r.beat(n)
	})
}

func (r *Run) anyNode() *node { return r.world.nodes[r.world.random.IntN(instances)] }

func (r *Run) ownerSeenBy(n *node, partition int) int { return r.owners[n.number][partition] }

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
	n := r.anyNode()
	n.run(func() { n.part.config.change(id) })
}

// submitBooking lets a caller book through one entry, or through several at
// once.
func (r *Run) submitBooking() {
	r.bookings++
	w := r.world
	key := journal.Key{Namespace: "organisation", Name: fmt.Sprintf("k%d", r.bookings)}
	issued := w.now.Add(w.between(-500*time.Millisecond, 500*time.Millisecond))
	entries := 1
	if w.chance(300) {
		entries = 3
	}
	for range entries {
		n := r.anyNode()
		n.run(func() { r.book(n, key, issued, 3) })
	}
	if w.chance(100) {
		// A caller that asks again much later.
		w.after(w.between(time.Second, 20*time.Second), func() {
			n := r.anyNode()
			n.run(func() { r.book(n, key, issued, 0) })
		})
	}
}

func (r *Run) resolveSome() {
	n := r.anyNode()
	n.run(func() { r.resolveOpen(n) })
}

// wantLeases moves the wish to hold each lease from node to node.
func (r *Run) wantLeases() {
	n := r.anyNode()
	e := r.endpoints[r.world.random.IntN(len(r.endpoints))]
	give := r.world.chance(400)
	n.run(func() {
		if give {
			n.part.leases.release(e.name)
			return
		}
		n.part.leases.step(lease.Want{Name: e.name})
	})
}

// checkEnd asks that all instances agree and that work got done, some time
// after the last fault.
func (r *Run) checkEnd() {
	first := r.world.nodes[0].part.config.replica.Revision()
	for _, n := range r.world.nodes {
		revision := n.part.config.replica.Revision()
		behind := first.Offset() - revision.Offset()
		near := first.Generation() == revision.Generation() && behind < 100 && behind > -100
		invariant.Check(near, invariantConverges, "%s is at %s, %s at %s", n.id, revision, r.world.nodes[0].id, first)
	}
	invariant.Check(r.config.checked > 0, invariantHappens, "no change was accepted while calm")
	invariant.Check(r.service.done > 0, invariantHappens, "no booking was done")
}
