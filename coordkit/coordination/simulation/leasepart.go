package simulation

import (
	"time"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	invariantOneNumberOneHolder invariant.Name = "simulation-fencing-number-has-one-holder"
	invariantOrdersInOrder      invariant.Name = "simulation-orders-of-holders-in-order"
)

const (
	leaseStream eventlog.Stream = "leases"
	leaseTime                   = 3 * time.Second
	// longestOrder bounds how long an order is on its way.
	longestOrder = time.Second
	orderPause   = 300 * time.Millisecond
)

// endpoint takes orders. One that checks refuses old fencing numbers.
type endpoint struct {
	world  *world
	name   lease.Name
	checks bool
	// holders maps a fencing number to the only life that may use it.
	holders map[lease.Fencing]string
	highest lease.Fencing
	last    string
	// past are the holders that another one has followed, by grant.
	past   map[lease.Fencing]bool
	orders int
}

func newEndpoint(w *world, name lease.Name, checks bool) *endpoint {
	return &endpoint{
		world: w, name: name, checks: checks,
		holders: make(map[lease.Fencing]string), past: make(map[lease.Fencing]bool),
	}
}

func (e *endpoint) order(holder string, f lease.Fencing) {
	if e.checks && f < e.highest {
		e.world.note("%s refuses %s with %d below %d", e.name, holder, f, e.highest)
		return
	}
	known, ok := e.holders[f]
	invariant.Check(!ok || known == holder, invariantOneNumberOneHolder, "%s: %d used by %s and %s", e.name, f, known, holder)
	e.holders[f] = holder
	invariant.Check(!e.past[f], invariantOrdersInOrder, "%s took an order of %s with %d after those of another holder", e.name, holder, f)
	if e.orders > 0 && f != e.highest {
		e.world.note("%s: orders of %s with %d follow %d", e.name, holder, f, e.highest)
		e.past[e.highest] = true
	}
	e.highest, e.last = f, holder
	e.orders++
}

// leasePart runs the Holder of one life of a node.
type leasePart struct {
	node   *node
	run    *Run
	holder *lease.Holder
	// grants are those that may be used; raised numbers wait for a new one.
	grants map[lease.Name]lease.Grant
	// lastSent is when an order last went out.
	lastSent time.Time
}

func newLeasePart(r *Run, n *node) *leasePart {
	return &leasePart{
		node: n, run: r, grants: make(map[lease.Name]lease.Grant),
		holder: lease.NewHolder(lease.HolderConfig{Life: n.lifeName(), Duration: leaseTime}),
	}
}

func (p *leasePart) step(e lease.Event) {
	for _, effect := range p.holder.Step(p.node.now(), e) {
		switch effect := effect.(type) {
		case lease.AppendRecord:
			p.node.world.log.append(p.node, leaseStream, effect.Data, func(_ eventlog.Offset, err error) {
				p.step(lease.Appended{ID: effect.ID, Err: err})
			})
		case lease.ReadLog:
			p.node.world.log.read(p.node, leaseStream, effect.From, effect.Limit, func(b eventlog.Batch, err error) {
				p.step(lease.LogAnswered{Batch: b, Err: err})
			})
		case lease.Granted:
			p.node.world.note("%s: granted %s with %d", p.node.lifeName(), effect.Grant.Name, effect.Grant.Fencing)
			p.grants[effect.Grant.Name] = effect.Grant
			p.use(effect.Grant)
		case lease.Revoked:
			p.node.world.note("%s: %s with %d ended", p.node.lifeName(), effect.Name, effect.Fencing)
			if p.run.broken != BreakNoLeaseCheck {
				delete(p.grants, effect.Name)
			}
		}
	}
}

// release gives a lease back once no order can be on its way.
func (p *leasePart) release(name lease.Name) {
	delete(p.grants, name)
	if wait := longestOrder - p.node.now().Sub(p.lastSent); wait > 0 {
		p.node.later(wait, func() { p.release(name) })
		return
	}
	p.step(lease.Release{Name: name})
}

// use sends orders as long as the grant is the current one.
func (p *leasePart) use(g lease.Grant) {
	w, n := p.node.world, p.node
	if p.grants[g.Name].Fencing != g.Fencing {
		return
	}
	n.later(orderPause, func() { p.use(g) })
	target := p.run.endpoint(g.Name)
	fencing, valid := p.holder.Valid(n.now(), g.Name)
	if p.run.broken == BreakNoLeaseCheck {
		fencing, valid = g.Fencing, true
	}
	if !valid || fencing != g.Fencing {
		return
	}
	waitOut := g.DisplacedUntil.Add(longestOrder)
	if !target.checks && p.run.broken != BreakNoWaitOut && !g.DisplacedUntil.IsZero() && n.now().Before(waitOut) {
		return
	}
	if target.checks && (target.highest > g.Fencing || target.highest == g.Fencing && target.last != n.lifeName()) {
		p.step(lease.Raise{Name: g.Name, Above: target.highest})
		return
	}
	p.lastSent = n.now()
	holder := n.lifeName()
	w.after(w.between(time.Millisecond, longestOrder), func() { target.order(holder, g.Fencing) })
}
