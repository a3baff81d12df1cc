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
	invariantSameHistory    invariant.Name = "simulation-same-history"
	invariantNeverReverts   invariant.Name = "simulation-revision-never-falls"
	invariantInForceInTime  invariant.Name = "simulation-in-force-in-time"
	invariantRacersExcluded invariant.Name = "simulation-one-racing-change-accepted"
)

const (
	configStream  eventlog.Stream = "configuration"
	heartbeatTime                 = time.Second
	fetchTimeout                  = 2 * time.Second
	inForceLimit                  = 4 * time.Second
	// settleTime is how long after the last fault everything must work.
	settleTime = 20 * time.Second
)

// configChecker holds what has been seen of the configuration.
type configChecker struct {
	world *world
	// states maps a revision to the fingerprint of its objects.
	states map[configstore.Revision]uint64
	// racers maps "object at revision" to the change that replaced it.
	racers map[string]string
	// accepted counts changes told to an operator as accepted, late those
	// whose arrival everywhere was checked.
	accepted int
	checked  int
}

func newConfigChecker(w *world) *configChecker {
	return &configChecker{world: w, states: make(map[configstore.Revision]uint64), racers: make(map[string]string)}
}

func fingerprint(v configstore.View) uint64 {
	d := xxhash.New()
	v.Range("", func(o configstore.Object) bool {
		fmt.Fprintf(d, "%s %d %s %s\n", o.Key, o.Revision, o.ChangeID, o.Value)
		return true
	})
	return d.Sum64()
}

// inForce checks a state that a node has put in force.
func (c *configChecker) inForce(n *node, v configstore.View) {
	revision := v.Revision()
	invariant.Check(revision > n.part.config.highest, invariantNeverReverts,
		"%s: %s after %s", n.lifeName(), revision, n.part.config.highest)
	n.part.config.highest = revision
	print := fingerprint(v)
	known, ok := c.states[revision]
	invariant.Check(!ok || known == print, invariantSameHistory, "%s holds other objects at revision %s", n.lifeName(), revision)
	c.states[revision] = print
}

// settled checks a change that an operator was told is accepted.
func (c *configChecker) settled(n *node, change configstore.ChangeSet, s replication.CompleteCommit) {
	if s.Err != nil || !s.Verdict.Accepted {
		return
	}
	c.accepted++
	for _, p := range change.Requires {
		race := fmt.Sprintf("%s at %s of loss %d", p.Key, p.Revision, c.world.log.losses)
		other, raced := c.racers[race]
		invariant.Check(!raced || other == change.ID, invariantRacersExcluded, "%s and %s both replaced %s", other, change.ID, race)
		c.racers[race] = change.ID
	}
	w := c.world
	at := w.now
	if at.Sub(w.disturbed) < settleTime {
		return
	}
	w.after(inForceLimit, func() {
		if w.disturbed.After(at) {
			return
		}
		c.checked++
		for _, other := range w.nodes {
			if other.alive {
				invariant.Check(other.part.config.replica.Revision() >= s.Verdict.Revision, invariantInForceInTime,
					"%s is at %s, change %s was accepted at %s", other.lifeName(), other.part.config.replica.Revision(), change.ID, s.Verdict.Revision)
			}
		}
	})
}

// configPart runs the Replica of one life of a node.
type configPart struct {
	node    *node
	run     *Run
	replica *replication.Replica
	highest configstore.Revision
	waiting map[string]configstore.ChangeSet
	// old is a state that BreakOldSnapshot goes back to.
	old replication.Event
}

func newConfigPart(r *Run, n *node) *configPart {
	return &configPart{
		node: n, run: r, waiting: make(map[string]configstore.ChangeSet),
		replica: newReplica(n),
	}
}

func newReplica(n *node) *replication.Replica {
	return replication.NewReplica(replication.Config{
		Self: n.id, Seed: uint64(n.life), SnapshotEvery: 20, SnapshotAge: 8 * time.Second,
	}, n.now())
}

func (p *configPart) step(e replication.Event) {
	if p.run.broken == BreakDeafReplica && p.node.number == 0 && p.node.world.now.Sub(p.node.world.start) > faultTime {
		switch e.(type) {
		case replication.LogAnswered, replication.PeerRecords, replication.PeerSnapshot, replication.PeerRevision:
			return
		}
	}
	for _, effect := range p.replica.Step(p.node.now(), e) {
		p.carryOut(effect)
	}
}

func (p *configPart) carryOut(effect replication.Effect) {
	w, n := p.node.world, p.node
	switch e := effect.(type) {
	case replication.ReadLog:
		w.log.read(n, configStream, e.From, e.Limit, func(b eventlog.Batch, err error) {
			p.step(replication.LogAnswered{From: e.From, Batch: p.run.tamper(n, b), Err: err})
		})
	case replication.AppendRecord:
		w.log.append(n, configStream, e.Data, func(o eventlog.Offset, err error) {
			p.step(replication.Appended{Token: e.Token, Offset: o, Err: err})
		})
	case replication.FetchFromPeer:
		p.fetch(e)
	case replication.RelayRecords:
		p.relay(e)
	case replication.PublishView:
		w.note("%s: in force %s", n.lifeName(), e.View.Revision())
		p.run.config.inForce(n, e.View)
	case replication.CompleteCommit:
		change := p.waiting[e.ChangeID]
		delete(p.waiting, e.ChangeID)
		w.note("%s: change %s settled: accepted=%t %v %v", n.lifeName(), e.ChangeID, e.Verdict.Accepted, e.Verdict.Err(), e.Err)
		p.run.config.settled(n, change, e)
	case replication.EmitNotice:
		w.note("%s: configuration note %d %s", n.lifeName(), e.Notice, e.Detail)
	}
}

func (p *configPart) fetch(e replication.FetchFromPeer) {
	w, n := p.node.world, p.node
	peer := w.byID(e.Peer)
	answered := false
	n.later(fetchTimeout, func() {
		if !answered {
			answered = true
			p.step(replication.FetchFailed{Peer: e.Peer})
		}
	})
	life := n.life
	w.deliver(n, peer, func() {
		answer := peer.part.config.serve(e.Revision)
		if answer == nil {
			return
		}
		w.deliver(peer, n, func() {
			if !answered && n.life == life {
				answered = true
				p.step(answer)
			}
		})
	})
}

func (p *configPart) serve(revision configstore.Revision) replication.Event {
	if records, ok := p.replica.RecordsAfter(revision); ok {
		records.Peer, records.Fetched = p.node.id, true
		return records
	}
	s, err := p.replica.ServeSnapshot()
	if err != nil {
		return nil
	}
	assembler := configstore.NewAssembler()
	for _, c := range s.Chunks {
		if data, whole, err := assembler.Add(c); err == nil && whole {
			return replication.PeerSnapshot{Peer: p.node.id, Data: data}
		}
	}
	return nil
}

func (p *configPart) relay(e replication.RelayRecords) {
	for _, peer := range p.node.world.nodes {
		if peer == p.node {
			continue
		}
		p.node.world.deliver(p.node, peer, func() {
			peer.part.config.step(replication.PeerRecords{
				Peer: p.node.id, Generation: e.Generation, Records: e.Records, Revision: e.Revision,
			})
		})
	}
}

func (p *configPart) tick(peers []instance.ID) {
	if p.run.broken == BreakOldSnapshot {
		p.goBack()
	}
	p.step(replication.Tick{Peers: peers})
}

// goBack is the breakage of an instance that restores an older snapshot.
func (p *configPart) goBack() {
	switch age := p.node.world.now.Sub(p.node.world.start); {
	case p.old == nil && age > 10*time.Second:
		p.old = p.serve(0)
	case p.old != nil && age > 20*time.Second:
		p.replica = newReplica(p.node)
		p.step(p.old)
	}
}

func (p *configPart) heartbeat() {
	revision := p.replica.Revision()
	for _, peer := range p.node.world.nodes {
		if peer != p.node {
			p.node.world.deliver(p.node, peer, func() {
				peer.part.config.step(replication.PeerRevision{Peer: p.node.id, Revision: revision})
			})
		}
	}
}

// change submits a change to one of a few objects, so that changes race.
func (p *configPart) change(id string) {
	w := p.node.world
	key := configstore.Key(fmt.Sprintf("tier/%d", w.random.IntN(4)))
	c := configstore.ChangeSet{ID: id, Author: string(p.node.id), Writes: []configstore.Write{{Key: key, Value: []byte(id)}}}
	o, _ := p.replica.View().Get(key)
	c.Requires = []configstore.Precondition{{Key: key, Revision: o.Revision}}
	w.note("%s: submits change %s of %s at %s", p.node.lifeName(), id, key, o.Revision)
	p.waiting[id] = c
	p.step(replication.Submit{Change: c})
}
