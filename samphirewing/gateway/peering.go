package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/mesh"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/peers"
	"github.com/samphirewing/samphirewing/coordination/quota"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// kindReport is a daemon's report to its peers.
const kindReport mesh.Kind = 1500

const (
	// reportInterval is how often peers are told of this daemon's work: short
	// against the 300 ms that requests should take, long against a message.
	reportInterval = 50 * time.Millisecond
	// reportsPerSecond bounds the reports that a daemon sends in all, so that
	// its cost stays flat as daemons are added.
	reportsPerSecond = 200
	// peerPing and peerSilence notice a connection that has gone silent.
	peerPing    = 300 * time.Millisecond
	peerSilence = 900 * time.Millisecond
	peerDial    = 500 * time.Millisecond
	peerRedial  = time.Second
	// peerQueueBytes bounds the reports that wait for a slow peer; later ones
	// replace them anyway.
	peerQueueBytes = 64 << 10
)

// Peering tells the other daemons of this one's work and takes theirs in.
type Peering struct {
	gateway *Gateway
	mesh    *mesh.Mesh
	ready   func() bool
	leaving func() bool

	mu       sync.Mutex
	table    *peers.Table
	sequence uint64
	// silent holds the peers that were logged as silent.
	heard map[instance.ID]bool
}

// PeeringOptions set a Peering up.
type PeeringOptions struct {
	Self          instance.Process
	ListenAddress string
	Ready         func() bool
	Leaving       func() bool
}

// StartPeering listens for peers. Run must be called beside it.
func StartPeering(g *Gateway, o PeeringOptions) (*Peering, error) {
	p := &Peering{gateway: g, ready: o.Ready, leaving: o.Leaving, table: peers.New(o.Self.ID), heard: map[instance.ID]bool{}}
	m, err := mesh.Start(mesh.Options{
		Self: o.Self, ListenAddress: o.ListenAddress, Events: g.options.Events, QueueBytes: peerQueueBytes,
		PingInterval: peerPing, SilenceLimit: peerSilence, DialTimeout: peerDial, RedialMax: peerRedial,
	}, func(r mesh.Registrar) { r.OnMessage(kindReport, p.receive) })
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.mesh = m
	return p, nil
}

// Address returns where peers can dial this daemon.
func (p *Peering) Address() string { return p.mesh.Addr().String() }

// SetPeer takes in a daemon's published record.
func (p *Peering) SetPeer(r peers.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Put(time.Now(), r)
	p.dialLocked(time.Now())
}

// RemovePeer takes in that a daemon withdrew its record.
func (p *Peering) RemovePeer(id instance.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Remove(time.Now(), id)
	p.dialLocked(time.Now())
}

// RetainPeers forgets the daemons that are neither named nor heard.
func (p *Peering) RetainPeers(named map[instance.ID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Retain(time.Now(), named)
	p.dialLocked(time.Now())
}

func (p *Peering) dialLocked(now time.Time) {
	var known []mesh.Peer
	for id, address := range p.table.Addresses(now) {
		known = append(known, mesh.Peer{ID: id, Address: address})
	}
	p.mesh.SetPeers(known)
}

// CallerAddresses returns the addresses of the peers that take callers.
func (p *Peering) CallerAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.CallerAddresses(time.Now())
}

// Run reports to the peers until ctx ends.
func (p *Peering) Run(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := p.mesh.Close(); err != nil {
				p.gateway.options.Events.Emit(EventPeeringFault, events.F("error", err))
			}
			return
		case <-timer.C:
			timer.Reset(interval(p.report()))
		}
	}
}

// interval returns the time between two reports to so many peers.
func interval(count int) time.Duration {
	return max(reportInterval, time.Duration(count)*time.Second/reportsPerSecond)
}

// report sends one report to each peer and returns their number.
func (p *Peering) report() int {
	now := time.Now()
	p.mu.Lock()
	recipients := p.table.Recipients(now)
	heard, silent := p.table.Counts(now)
	p.noteSilentLocked(now)
	p.sequence++
	message := &peerpb.Report{Sequence: p.sequence, Ready: p.ready(), Leaving: p.leaving()}
	p.mu.Unlock()
	p.gateway.describe(now, heard, silent, message)
	body, err := proto.Marshal(message)
	if err != nil {
		p.gateway.options.Events.Emit(EventPeeringFault, events.F("error", err))
		return len(recipients)
	}
	for _, id := range recipients {
		// A peer that can't be reached is told with the next report; the mesh
		// logs when its sessions end.
		_ = p.mesh.Send(id, mesh.Message{Kind: kindReport, Body: body})
	}
	return len(recipients)
}

func (p *Peering) noteSilentLocked(now time.Time) {
	for id := range p.heard {
		if !p.table.Responsive(now, id) {
			delete(p.heard, id)
			p.gateway.options.Events.Emit(EventPeerSilent, events.F("instance", string(id)))
		}
	}
}

// receive takes in a peer's report.
func (p *Peering) receive(from instance.Process, m mesh.Message) {
	var report peerpb.Report
	if err := proto.Unmarshal(m.Body, &report); err != nil {
		p.gateway.options.Events.Emit(EventPeeringFault, events.F("instance", string(from.ID)), events.F("error", err))
		return
	}
	now := time.Now()
	p.mu.Lock()
	returned := p.table.Observe(now, from, peers.State{Ready: report.Ready, Leaving: report.Leaving})
	if returned {
		p.heard[from.ID] = true
		p.gateway.options.Events.Emit(EventPeerHeard, events.F("instance", string(from.ID)), events.F("incarnation", from.Incarnation.String()))
	}
	p.mu.Unlock()
	p.gateway.observe(now, from, returned, &report)
}

// describe fills in what this daemon reports of its work.
func (g *Gateway) describe(now time.Time, heard, silent int, message *peerpb.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.SetPeers(now, heard, silent)
	g.setInstancesLocked(heard + silent + 1)
	g.scheduler.SetReportInterval(interval(heard))
	encodeWork(g.scheduler.Report(now), message)
	uses, synced := g.quotas.Usage(now)
	message.Synced = synced
	for _, u := range uses {
		message.Uses = append(message.Uses, &peerpb.Use{Organisation: string(u.Organisation), Tokens: u.Tokens, Level: u.Level})
	}
}

// observe takes in what a peer reports of its work.
func (g *Gateway) observe(now time.Time, from instance.Process, returned bool, report *peerpb.Report) {
	uses := make([]quota.Use, 0, len(report.Uses))
	for _, u := range report.Uses {
		uses = append(uses, quota.Use{Organisation: structs.OrganisationName(u.Organisation), Tokens: u.Tokens, Level: u.Level})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetPeerReport(now, string(from.ID), decodeWork(report, g.endpointNames))
	g.quotas.Observe(now, quota.Report{Peer: from.String(), Reconnected: returned, Synced: report.Synced, Uses: uses})
	if len(g.waiters) > 0 {
		g.advanceLocked(now)
	}
}

// tokenStep is the step in which tokens are reported: a prompt is a thousand and
// more.
const tokenStep = 16

// endpointHash stands for an endpoint's name in reports.
func endpointHash(name structs.EndpointName) uint32 { return hash(string(name)) }

func encodeWork(work dispatch.Report, message *peerpb.Report) {
	loads := &peerpb.Loads{}
	for _, l := range work.Loads {
		loads.Endpoints = append(loads.Endpoints, endpointHash(l.Endpoint))
		loads.Running = append(loads.Running, uint32(l.Running))
		loads.ReadUnits = append(loads.ReadUnits, uint32(math.Round(l.PrefillUnits)))
		loads.Tokens = append(loads.Tokens, uint32((l.Tokens+tokenStep-1)/tokenStep))
	}
	message.Loads = loads
	for _, p := range work.Pools {
		pool := &peerpb.Pool{Pool: string(p.Pool), PlacesPerSecond: p.SlotsPerSecond}
		for _, r := range p.Ranks {
			pool.Ranks = append(pool.Ranks, &peerpb.Rank{Rank: int32(r.Rank), Waiting: uint32(r.Waiting), PlacedPerSecond: r.PlacedPerSecond})
		}
		message.Pools = append(message.Pools, pool)
	}
}

// decodeWork reads a report; names finds the endpoints that this daemon knows.
func decodeWork(message *peerpb.Report, names map[uint32]structs.EndpointName) dispatch.Report {
	var work dispatch.Report
	loads := message.GetLoads()
	known := min(len(loads.GetEndpoints()), len(loads.GetRunning()), len(loads.GetReadUnits()), len(loads.GetTokens()))
	for i := range known {
		if name, found := names[loads.Endpoints[i]]; found {
			work.Loads = append(work.Loads, dispatch.Load{
				Endpoint: name, Running: int(loads.Running[i]), PrefillUnits: float64(loads.ReadUnits[i]), Tokens: structs.Tokens(loads.Tokens[i]) * tokenStep,
			})
		}
	}
	for _, p := range message.Pools {
		pool := dispatch.PoolReport{Pool: structs.PoolName(p.Pool), SlotsPerSecond: p.PlacesPerSecond}
		for _, r := range p.Ranks {
			pool.Ranks = append(pool.Ranks, dispatch.RankReport{Rank: structs.Rank(r.Rank), Waiting: int(r.Waiting), PlacedPerSecond: r.PlacedPerSecond})
		}
		work.Pools = append(work.Pools, pool)
	}
	return work
}
