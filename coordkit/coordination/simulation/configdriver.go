package simulation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/coordination/replication"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	invariantSameHistory     invariant.Name = "simulation-same-history"
	invariantNeverReverts    invariant.Name = "simulation-revision-never-falls"
	invariantPropagationTime invariant.Name = "simulation-in-force-in-time"
	invariantOneRacingChange invariant.Name = "simulation-one-racing-change-accepted"
)

const (
	configStream      eventlog.Stream = "configuration"
	heartbeatInterval                 = time.Second
	fetchTimeout                      = 2 * time.Second
	propagationLimit                  = 4 * time.Second
	// recoveryTime is how long after the last fault every instance must work
	// again.
	recoveryTime = 20 * time.Second
)

// configChecker checks the configuration of all nodes against each other.
type configChecker struct {
	world *world
	// states maps a revision to the fingerprint of its objects.
	states map[configstore.Revision]uint64
	// replacements maps "object at revision" to the change that replaced it.
	replacements map[string]string
	// accepted counts the changes reported to an operator as accepted, checked
	// those whose arrival on every instance was checked.
	accepted int
	checked  int
}

func newConfigChecker(w *world) *configChecker {
	return &configChecker{world: w, states: make(map[configstore.Revision]uint64), replacements: make(map[string]string)}
}

func fingerprint(v configstore.View) uint64 {
	d := xxhash.New()
	v.Range("", func(o configstore.Object) bool {
		fmt.Fprintf(d, "%s %d %s %s\n", o.Key, o.Revision, o.ChangeID, o.Value)
		return true
	})
	return d.Sum64()
}

// checkState checks a state that a node has published.
func (c *configChecker) checkState(n *node, v configstore.View) {
	revision := v.Revision()
	invariant.Check(revision > n.drivers.config.highestRevision, invariantNeverReverts,
		"%s: %s after %s", n.incarnationName(), revision, n.drivers.config.highestRevision)
	n.drivers.config.highestRevision = revision
	sum := fingerprint(v)
	known, ok := c.states[revision]
	invariant.Check(!ok || known == sum, invariantSameHistory, "%s holds other objects at revision %s", n.incarnationName(), revision)
	c.states[revision] = sum
}

// checkCommit checks a change that was reported to an operator as accepted.
func (c *configChecker) checkCommit(n *node, change configstore.ChangeSet, result replication.CompleteCommit) {
	if result.Err != nil || !result.Verdict.Accepted {
		return
	}
	c.accepted++
	for _, p := range change.Requires {
		replaced := fmt.Sprintf("%s at %s of loss %d", p.Key, p.Revision, c.world.log.losses)
		other, raced := c.replacements[replaced]
		invariant.Check(!raced || other == change.ID, invariantOneRacingChange, "%s and %s both replaced %s", other, change.ID, replaced)
		c.replacements[replaced] = change.ID
	}
	w := c.world
	at := w.now
	if at.Sub(w.lastFaultAt) < recoveryTime {
		return
	}
	w.after(propagationLimit, func() {
		if w.lastFaultAt.After(at) {
			return
		}
		c.checked++
		for _, other := range w.nodes {
			if other.alive {
				invariant.Check(other.drivers.config.replica.Revision() >= result.Verdict.Revision, invariantPropagationTime,
					"%s is at %s, change %s was accepted at %s", other.incarnationName(), other.drivers.config.replica.Revision(), change.ID, result.Verdict.Revision)
			}
		}
	})
}

// configDriver runs the Replica of one incarnation of a node.
type configDriver struct {
	node            *node
	run             *Run
	replica         *replication.Replica
	highestRevision configstore.Revision
	pendingChanges  map[string]configstore.ChangeSet
	// oldSnapshot is the state that DefectOldSnapshot restores.
	oldSnapshot replication.Event
}

func newConfigDriver(r *Run, n *node) *configDriver {
	return &configDriver{
		node: n, run: r, pendingChanges: make(map[string]configstore.ChangeSet),
		replica: newReplica(n),
	}
}

func newReplica(n *node) *replication.Replica {
	return replication.NewReplica(replication.Config{
		Self: n.id, Seed: uint64(n.incarnation), SnapshotEvery: 20, SnapshotAge: 8 * time.Second,
	}, n.now())
}

func (d *configDriver) step(e replication.Event) {
	if d.run.defect == DefectStalledReplica && d.node.index == 0 && d.node.world.now.Sub(d.node.world.start) > faultPhaseDuration {
		switch e.(type) {
		case replication.ReadCompleted, replication.PeerRecords, replication.PeerSnapshot, replication.PeerRevision:
			return
		}
	}
	for _, effect := range d.replica.Step(d.node.now(), e) {
		d.execute(effect)
	}
}

func (d *configDriver) execute(effect replication.Effect) {
	w, n := d.node.world, d.node
	switch e := effect.(type) {
	case replication.ReadLog:
		w.log.read(n, configStream, e.From, e.Limit, func(b eventlog.Batch, err error) {
			d.step(replication.ReadCompleted{From: e.From, Batch: d.run.tamperRecords(n, b), Err: err})
		})
	case replication.AppendRecord:
		w.log.append(n, configStream, e.Data, func(o eventlog.Offset, err error) {
			d.step(replication.Appended{Token: e.Token, Offset: o, Err: err})
		})
	case replication.FetchFromPeer:
		d.fetch(e)
	case replication.RelayRecords:
		d.relay(e)
	case replication.PublishView:
		w.tracef("%s: in force %s", n.incarnationName(), e.View.Revision())
		d.run.config.checkState(n, e.View)
	case replication.CompleteCommit:
		change := d.pendingChanges[e.ChangeID]
		delete(d.pendingChanges, e.ChangeID)
		w.tracef("%s: change %s settled: accepted=%t %v %v", n.incarnationName(), e.ChangeID, e.Verdict.Accepted, e.Verdict.Err(), e.Err)
		d.run.config.checkCommit(n, change, e)
	case replication.EmitNotice:
		w.tracef("%s: configuration note %d %s", n.incarnationName(), e.Notice, e.Detail)
	}
}

func (d *configDriver) fetch(e replication.FetchFromPeer) {
	w, n := d.node.world, d.node
	peer := w.nodeByID(e.Peer)
	answered := false
	n.later(fetchTimeout, func() {
		if !answered {
			answered = true
			d.step(replication.FetchFailed{Peer: e.Peer})
		}
	})
	incarnation := n.incarnation
	w.deliver(n, peer, func() {
		answer := peer.drivers.config.serve(e.Revision)
		if answer == nil {
			return
		}
		w.deliver(peer, n, func() {
			if !answered && n.incarnation == incarnation {
				answered = true
				d.step(answer)
			}
		})
	})
}

func (d *configDriver) serve(revision configstore.Revision) replication.Event {
	if records, ok := d.replica.RecordsAfter(revision); ok {
		records.Peer, records.Fetched = d.node.id, true
		return records
	}
	s, err := d.replica.ServeSnapshot()
	if err != nil {
		return nil
	}
	assembler := configstore.NewAssembler()
	for _, c := range s.Chunks {
		if data, complete, err := assembler.Add(c); err == nil && complete {
			return replication.PeerSnapshot{Peer: d.node.id, Data: data}
		}
	}
	return nil
}

func (d *configDriver) relay(e replication.RelayRecords) {
	for _, peer := range d.node.world.nodes {
		if peer == d.node {
			continue
		}
		d.node.world.deliver(d.node, peer, func() {
			peer.drivers.config.step(replication.PeerRecords{
				Peer: d.node.id, Generation: e.Generation, Records: e.Records, Revision: e.Revision,
			})
		})
	}
}

func (d *configDriver) tick(peers []instance.ID) {
	if d.run.defect == DefectOldSnapshot {
		d.restoreOldSnapshot()
	}
	d.step(replication.Tick{Peers: peers})
}

// restoreOldSnapshot implements DefectOldSnapshot.
func (d *configDriver) restoreOldSnapshot() {
	switch age := d.node.world.now.Sub(d.node.world.start); {
	case d.oldSnapshot == nil && age > 10*time.Second:
		d.oldSnapshot = d.serve(0)
	case d.oldSnapshot != nil && age > 20*time.Second:
		d.replica = newReplica(d.node)
		d.step(d.oldSnapshot)
	}
}

func (d *configDriver) heartbeat() {
	revision := d.replica.Revision()
	for _, peer := range d.node.world.nodes {
		if peer != d.node {
			d.node.world.deliver(d.node, peer, func() {
				peer.drivers.config.step(replication.PeerRevision{Peer: d.node.id, Revision: revision})
			})
		}
	}
}

// change submits a change to one of four objects, so that changes race.
func (d *configDriver) submitChange(id string) {
	w := d.node.world
	key := configstore.Key(fmt.Sprintf("tier/%d", w.random.IntN(4)))
	c := configstore.ChangeSet{ID: id, Author: string(d.node.id), Writes: []configstore.Write{{Key: key, Value: []byte(id)}}}
	o, _ := d.replica.View().Get(key)
	c.Requires = []configstore.Precondition{{Key: key, Revision: o.Revision}}
	w.tracef("%s: submits change %s of %s at %s", d.node.incarnationName(), id, key, o.Revision)
	d.pendingChanges[id] = c
	d.step(replication.Submit{Change: c})
}
