package simulation

import (
	"time"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	invariantFencingNumberUnique invariant.Name = "simulation-fencing-number-has-one-holder"
	invariantOrdersInOrder       invariant.Name = "simulation-orders-of-holders-in-order"
)

const (
	leaseStream   eventlog.Stream = "leases"
	leaseDuration                 = 3 * time.Second
	// maxOrderDelay bounds how long an order is in transit.
	maxOrderDelay = time.Second
	orderInterval = 300 * time.Millisecond
)

// endpoint accepts orders. With checksFencing set it rejects outdated fencing numbers.
type endpoint struct {
	world         *world
	name          lease.Name
	checksFencing bool
	// holders maps a fencing number to the only incarnation that may use it.
	holders        map[lease.Fencing]string
	highestFencing lease.Fencing
	lastHolder     string
	// superseded holds the fencing numbers that orders with another number have
	// followed.
	superseded map[lease.Fencing]bool
	orders     int
}

func newEndpoint(w *world, name lease.Name, checksFencing bool) *endpoint {
	return &endpoint{
		world: w, name: name, checksFencing: checksFencing,
		holders: make(map[lease.Fencing]string), superseded: make(map[lease.Fencing]bool),
	}
}

func (e *endpoint) order(holder string, f lease.Fencing) {
	if e.checksFencing && f < e.highestFencing {
		e.world.tracef("%s refuses %s with %d below %d", e.name, holder, f, e.highestFencing)
		return
	}
	known, ok := e.holders[f]
	invariant.Check(!ok || known == holder, invariantFencingNumberUnique, "%s: %d used by %s and %s", e.name, f, known, holder)
	e.holders[f] = holder
	invariant.Check(!e.superseded[f], invariantOrdersInOrder, "%s took an order of %s with %d after those of another holder", e.name, holder, f)
	if e.orders > 0 && f != e.highestFencing {
		e.world.tracef("%s: orders of %s with %d follow %d", e.name, holder, f, e.highestFencing)
		e.superseded[e.highestFencing] = true
	}
	e.highestFencing, e.lastHolder = f, holder
	e.orders++
}

// leaseDriver runs the Holder of one incarnation of a node.
type leaseDriver struct {
	node   *node
	run    *Run
	holder *lease.Holder
	// grants holds the grants that may be used. When a fencing number has to be
	// raised, orders wait for the new grant.
	grants map[lease.Name]lease.Grant
	// lastSent is when the last order was sent.
	lastSent time.Time
}

func newLeaseDriver(r *Run, n *node) *leaseDriver {
	return &leaseDriver{
		node: n, run: r, grants: make(map[lease.Name]lease.Grant),
		holder: lease.NewHolder(lease.HolderConfig{Process: n.incarnationName(), Duration: leaseDuration}),
	}
}

func (d *leaseDriver) step(e lease.Event) {
	for _, effect := range d.holder.Step(d.node.now(), e) {
		switch effect := effect.(type) {
		case lease.AppendRecord:
			d.node.world.log.append(d.node, leaseStream, effect.Data, func(_ eventlog.Offset, err error) {
				d.step(lease.Appended{ID: effect.ID, Err: err})
			})
		case lease.ReadLog:
			d.node.world.log.read(d.node, leaseStream, effect.From, effect.Limit, func(b eventlog.Batch, err error) {
				d.step(lease.ReadCompleted{Batch: b, Err: err})
			})
		case lease.Granted:
			d.node.world.tracef("%s: granted %s with %d", d.node.incarnationName(), effect.Grant.Name, effect.Grant.Fencing)
			d.grants[effect.Grant.Name] = effect.Grant
			d.sendOrders(effect.Grant)
		case lease.Revoked:
			d.node.world.tracef("%s: %s with %d ended", d.node.incarnationName(), effect.Name, effect.Fencing)
			if d.run.defect != DefectNoLeaseCheck {
				delete(d.grants, effect.Name)
			}
		}
	}
}

// release releases a lease once no order can be in transit.
func (d *leaseDriver) release(name lease.Name) {
	delete(d.grants, name)
	if wait := maxOrderDelay - d.node.now().Sub(d.lastSent); wait > 0 {
		d.node.later(wait, func() { d.release(name) })
		return
	}
	d.step(lease.Release{Name: name})
}

// sendOrders sends orders while the grant is the current one.
func (d *leaseDriver) sendOrders(g lease.Grant) {
	w, n := d.node.world, d.node
	if d.grants[g.Name].Fencing != g.Fencing {
		return
	}
	n.later(orderInterval, func() { d.sendOrders(g) })
	target := d.run.endpoint(g.Name)
	fencing, valid := d.holder.Valid(n.now(), g.Name)
	if d.run.defect == DefectNoLeaseCheck {
		fencing, valid = g.Fencing, true
	}
	if !valid || fencing != g.Fencing {
		return
	}
	waitOut := g.DisplacedUntil.Add(maxOrderDelay)
	if !target.checksFencing && d.run.defect != DefectNoWaitOut && !g.DisplacedUntil.IsZero() && n.now().Before(waitOut) {
		return
	}
	if target.checksFencing && (target.highestFencing > g.Fencing || target.highestFencing == g.Fencing && target.lastHolder != n.incarnationName()) {
		d.step(lease.Raise{Name: g.Name, Above: target.highestFencing})
		return
	}
	d.lastSent = n.now()
	holder := n.incarnationName()
	w.after(w.randomDuration(time.Millisecond, maxOrderDelay), func() { target.order(holder, g.Fencing) })
}
