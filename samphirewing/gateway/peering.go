package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/mesh"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/coordination/memorybudget"
	"github.com/samphirewing/samphirewing/coordination/peers"
)

// The message kinds of the exchange. Releases that reported to all peers used
// kind 1500.
const (
	kindReport mesh.Kind = 1501 + iota
	kindGroup
	kindTotal
	kindRecords
	kindListing
	kindCompressedRecords
	kindStreams
)

var (
	meshKinds        = map[aggregation.Kind]mesh.Kind{aggregation.KindReport: kindReport, aggregation.KindGroup: kindGroup, aggregation.KindTotal: kindTotal}
	aggregationKinds = map[mesh.Kind]aggregation.Kind{kindReport: aggregation.KindReport, kindGroup: aggregation.KindGroup, kindTotal: aggregation.KindTotal}
)

const (
	// peerPingInterval and peerSilenceLimit detect an unresponsive connection.
	peerPingInterval = 300 * time.Millisecond
	peerSilenceLimit = 900 * time.Millisecond
	// peerIdleLimit is how long a connection to a daemon that is neither the
	// parent, a child nor another root is kept.
	peerIdleLimit   = 3 * time.Second
	peerDialTimeout = 500 * time.Millisecond
	peerRedialMax   = time.Second
	// peerQueueBytes bounds the messages queued for a slow peer. Dropping them
	// is harmless, since later messages replace them. It has room for a listing of
	// each topic.
	peerQueueBytes = 1 << 20
)

// Peering exchanges load and quota reports with the other daemons.
type Peering struct {
	gateway *Gateway
	self    instance.ID
	mesh    *mesh.Mesh
	ready   func() bool
	leaving func() bool

	mu    sync.Mutex
	table *peers.Table
	node  *aggregation.Node
	// parent is the daemon last logged as the parent.
	parent instance.ID
	// responsive holds the peers that were last logged as responsive.
	responsive map[instance.ID]bool
	// answered holds when listings were last sent.
	answered map[listingRequest]time.Time
	// wake ends the wait for the next tick.
	wake chan struct{}
}

// PeeringOptions configures a Peering.
type PeeringOptions struct {
	Self instance.Process
	// Record is what this daemon publishes about itself.
	Record        peers.Record
	ListenAddress string
	Ready         func() bool
	Leaving       func() bool
}

// StartPeering listens for peers. The caller must run Run in a goroutine.
func StartPeering(g *Gateway, o PeeringOptions) (*Peering, error) {
	g.setRolloutMember(o.Self)
	p := &Peering{gateway: g, self: o.Self.ID, ready: o.Ready, leaving: o.Leaving, table: peers.New(o.Self.ID), responsive: map[instance.ID]bool{}, answered: map[listingRequest]time.Time{}, wake: make(chan struct{}, 1)}
	p.node = aggregation.New(aggregation.Options{Self: o.Self, Record: o.Record, Table: p.table})
	m, err := mesh.Start(mesh.Options{
		Self: o.Self, ListenAddress: o.ListenAddress, Events: g.options.Events, QueueBytes: peerQueueBytes,
		PingInterval: peerPingInterval, SilenceLimit: peerSilenceLimit, IdleLimit: peerIdleLimit, DialTimeout: peerDialTimeout, RedialMax: peerRedialMax,
	}, func(r mesh.Registrar) {
		for kind := range aggregationKinds {
			r.OnMessage(kind, p.receive)
		}
		r.OnMessage(kindRecords, p.receiveRecords)
		r.OnMessage(kindCompressedRecords, p.receiveRecords)
		r.OnMessage(kindListing, p.receiveListing)
		r.OnMessage(kindStreams, p.receiveStreams)
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.mesh = m
	return p, nil
}

// Address returns the address at which peers can reach this daemon.
func (p *Peering) Address() string { return p.mesh.Addr().String() }

// ApplyPeers applies published records of daemons and withdrawals of records, which
// concern different daemons. The mesh is told once, since it compares all addresses.
func (p *Peering) ApplyPeers(records []peers.Record, withdrawn []instance.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		p.table.Put(now, r)
	}
	for _, id := range withdrawn {
		p.table.Remove(now, id)
	}
	p.updateMeshPeersLocked(now)
}

// RetainPeers treats the daemons that are neither listed nor responsive as
// withdrawn.
func (p *Peering) RetainPeers(listed map[instance.ID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Retain(time.Now(), listed)
	p.updateMeshPeersLocked(time.Now())
}

func (p *Peering) updateMeshPeersLocked(now time.Time) {
	var meshPeers []mesh.Peer
	for id, address := range p.table.Addresses(now) {
		meshPeers = append(meshPeers, mesh.Peer{ID: id, Address: address})
	}
	p.mesh.SetPeers(meshPeers)
}

// Callers returns the records of the peers that accept callers.
func (p *Peering) Callers() []peers.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.CallerRecords(time.Now())
}

// Run exchanges summaries with the peers until ctx ends, then closes the mesh.
func (p *Peering) Run(ctx context.Context) {
	timer := time.NewTimer(aggregation.MinInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := p.mesh.Close(); err != nil {
				p.gateway.options.Events.Emit(EventPeeringFault, events.F("error", err))
			}
			return
		case <-timer.C:
			timer.Reset(p.tick())
		case <-p.wake:
			timer.Reset(p.tick())
		}
	}
}

// tick sends this daemon's messages and returns the time until the next tick.
func (p *Peering) tick() time.Duration {
	interval := aggregation.MinInterval
	p.gateway.Guard("tick", func() {
		now := time.Now()
		p.updateFeeds(now)
		messages, update := p.prepareMessages(now)
		interval = p.interval()
		p.gateway.applySummary(now, interval, update)
		p.reportStreams(now)
		for _, m := range messages {
			// A peer that can't be reached gets the next message; the mesh logs when
			// its sessions end.
			_ = p.mesh.Send(m.To, mesh.Message{Kind: meshKinds[m.Kind], Body: m.Body})
		}
	})
	return interval
}

// prepareMessages returns the messages to send, and the state of the other
// daemons if this one is a root.
func (p *Peering) prepareMessages(now time.Time) ([]aggregation.Outgoing, aggregation.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	responsive, unresponsive := p.table.Counts(now)
	p.logUnresponsiveLocked(now)
	own := p.gateway.ownSummary(now, responsive, unresponsive)
	own.Flags = peers.State{Ready: p.ready(), Leaving: p.leaving()}
	own.StoreEpoch, own.Positions = p.gateway.positions()
	own.WantedTopics = p.gateway.wantedTopics()
	own.Evidence = p.gateway.poison.outgoing(now)
	members := p.membersLocked(now)
	own.Limits = p.gateway.outgoingLimits(now, p.self, p.table.Serving(now))
	p.gateway.poison.setMembers(p.self, members)
	p.gateway.assignMemory(now, p.self, members)
	own.RolloutsUp, own.RolloutsDown = p.gateway.tickRollouts(now, p.rolloutFleetLocked(now, members, unresponsive))
	messages, others := p.node.Tick(now, own)
	p.logParentLocked()
	p.gateway.metrics.recordAggregation(p.node, now)
	if _, root := p.node.Parent(); !root {
		return messages, aggregation.Update{}
	}
	return messages, aggregation.Update{View: &others, Fleet: p.node.FleetEstimates(), Organisations: p.node.OtherOrganisations()}
}

// membersLocked returns the other daemons that can be reached.
func (p *Peering) membersLocked(now time.Time) []instance.ID {
	var members []instance.ID
	for _, r := range p.table.Reachable(now) {
		members = append(members, r.Instance)
	}
	return members
}

func (p *Peering) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Interval()
}

func (p *Peering) logUnresponsiveLocked(now time.Time) {
	for id := range p.responsive {
		if !p.table.Responsive(now, id) {
			delete(p.responsive, id)
			p.gateway.options.Events.Emit(EventPeerUnresponsive, events.F("instance", string(id)))
		}
	}
}

func (p *Peering) logParentLocked() {
	parent, root := p.node.Parent()
	if parent == p.parent {
		return
	}
	children, roots := p.node.Neighbours()
	p.gateway.options.Events.Emit(EventParentChanged, events.F("parent", string(parent)), events.F("previous", string(p.parent)),
		events.F("root", root), events.F("children", children), events.F("roots", roots))
	p.parent = parent
}

// receive applies a peer's message.
func (p *Peering) receive(from instance.Process, m mesh.Message) {
	p.gateway.Guard("peer message", func() {
		p.gateway.options.Memory.Count(memorybudget.Exchange, int64(len(m.Body)))
		defer p.gateway.options.Memory.Release(memorybudget.Exchange, int64(len(m.Body)))
		now := time.Now()
		update, err := p.applyMessage(now, from, m)
		if err != nil {
			p.gateway.options.Events.Emit(EventPeeringFault, events.F("instance", string(from.ID)), events.F("error", err))
			return
		}
		p.gateway.applySummary(now, p.interval(), update)
		p.sendListings(now, from.ID, update.WantedTopics)
		if update.Forward {
			select {
			case p.wake <- struct{}{}:
			default:
			}
		}
	})
}

func (p *Peering) applyMessage(now time.Time, from instance.Process, m mesh.Message) (aggregation.Update, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update, err := p.node.Receive(now, from, aggregationKinds[m.Kind], m.Body)
	for _, peer := range update.Appeared {
		p.responsive[peer.ID] = true
		p.gateway.options.Events.Emit(EventPeerResponsive, events.F("instance", string(peer.ID)), events.F("incarnation", peer.Incarnation.String()))
	}
	return update, err
}
