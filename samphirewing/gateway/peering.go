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

// kindReport is the message kind of a daemon's report to its peers.
const kindReport mesh.Kind = 1500

const (
	// reportInterval is the minimum time between reports to the peers: short
	// compared with the 300 ms latency objective of requests, long compared
	// with the transfer of a message.
	reportInterval = 50 * time.Millisecond
	// reportsPerSecond bounds the reports that a daemon sends to all peers
	// together, so that its cost stays constant as daemons are added.
	reportsPerSecond = 200
	// peerPingInterval and peerSilenceLimit detect an unresponsive connection.
	peerPingInterval = 300 * time.Millisecond
	peerSilenceLimit = 900 * time.Millisecond
	peerDialTimeout  = 500 * time.Millisecond
	peerRedialMax    = time.Second
	// peerQueueBytes bounds the reports queued for a slow peer. Dropping them
	// is harmless, since later reports replace them.
	peerQueueBytes = 64 << 10
)

// Peering exchanges load and quota reports with the other daemons.
type Peering struct {
	gateway *Gateway
	mesh    *mesh.Mesh
	ready   func() bool
	leaving func() bool

	mu       sync.Mutex
	table    *peers.Table
	sequence uint64
	// responsive holds the peers that were last logged as responsive.
	responsive map[instance.ID]bool
}

// PeeringOptions configures a Peering.
type PeeringOptions struct {
	Self          instance.Process
	ListenAddress string
	Ready         func() bool
	Leaving       func() bool
}

// StartPeering listens for peers. The caller must run Run in a goroutine.
func StartPeering(g *Gateway, o PeeringOptions) (*Peering, error) {
	p := &Peering{gateway: g, ready: o.Ready, leaving: o.Leaving, table: peers.New(o.Self.ID), responsive: map[instance.ID]bool{}}
	m, err := mesh.Start(mesh.Options{
		Self: o.Self, ListenAddress: o.ListenAddress, Events: g.options.Events, QueueBytes: peerQueueBytes,
		PingInterval: peerPingInterval, SilenceLimit: peerSilenceLimit, DialTimeout: peerDialTimeout, RedialMax: peerRedialMax,
	}, func(r mesh.Registrar) { r.OnMessage(kindReport, p.receiveReport) })
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.mesh = m
	return p, nil
}

// Address returns the address at which peers can reach this daemon.
func (p *Peering) Address() string { return p.mesh.Addr().String() }

// SetPeer applies a daemon's published record.
func (p *Peering) SetPeer(r peers.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Put(time.Now(), r)
	p.updateMeshPeersLocked(time.Now())
}

// RemovePeer applies the withdrawal of a daemon's record.
func (p *Peering) RemovePeer(id instance.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Remove(time.Now(), id)
	p.updateMeshPeersLocked(time.Now())
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

// CallerAddresses returns the addresses of the peers that accept callers.
func (p *Peering) CallerAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.CallerAddresses(time.Now())
}

// Run sends reports to the peers until ctx ends, then closes the mesh.
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
			timer.Reset(reportIntervalFor(p.sendReports()))
		}
	}
}

// reportIntervalFor returns the time between two reports to count peers.
func reportIntervalFor(count int) time.Duration {
	return max(reportInterval, time.Duration(count)*time.Second/reportsPerSecond)
}

// sendReports sends one report to each peer and returns the number of peers.
func (p *Peering) sendReports() int {
	now := time.Now()
	p.mu.Lock()
	recipients := p.table.Recipients(now)
	responsive, unresponsive := p.table.Counts(now)
	p.logUnresponsiveLocked(now)
	p.sequence++
	message := &peerpb.Report{Sequence: p.sequence, Ready: p.ready(), Leaving: p.leaving()}
	p.mu.Unlock()
	p.gateway.fillReport(now, responsive, unresponsive, message)
	body, err := proto.Marshal(message)
	if err != nil {
		p.gateway.options.Events.Emit(EventPeeringFault, events.F("error", err))
		return len(recipients)
	}
	for _, id := range recipients {
		// A peer that can't be reached gets the next report; the mesh logs when
		// its sessions end.
		_ = p.mesh.Send(id, mesh.Message{Kind: kindReport, Body: body})
	}
	return len(recipients)
}

func (p *Peering) logUnresponsiveLocked(now time.Time) {
	for id := range p.responsive {
		if !p.table.Responsive(now, id) {
			delete(p.responsive, id)
			p.gateway.options.Events.Emit(EventPeerUnresponsive, events.F("instance", string(id)))
		}
	}
}

// receiveReport applies a peer's report.
func (p *Peering) receiveReport(from instance.Process, m mesh.Message) {
	var report peerpb.Report
	if err := proto.Unmarshal(m.Body, &report); err != nil {
		p.gateway.options.Events.Emit(EventPeeringFault, events.F("instance", string(from.ID)), events.F("error", err))
		return
	}
	now := time.Now()
	p.mu.Lock()
	rejoined := p.table.Observe(now, from, peers.State{Ready: report.Ready, Leaving: report.Leaving})
	if rejoined {
		p.responsive[from.ID] = true
		p.gateway.options.Events.Emit(EventPeerResponsive, events.F("instance", string(from.ID)), events.F("incarnation", from.Incarnation.String()))
	}
	p.mu.Unlock()
	p.gateway.applyReport(now, from, rejoined, &report)
}

// fillReport adds this daemon's load and quota use to a report.
func (g *Gateway) fillReport(now time.Time, responsive, unresponsive int, message *peerpb.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.SetPeers(now, responsive, unresponsive)
	g.setInstancesLocked(responsive + unresponsive + 1)
	g.scheduler.SetReportInterval(reportIntervalFor(responsive))
	encodeReport(g.scheduler.Report(now), message)
	uses, synced := g.quotas.Usage(now)
	message.Synced = synced
	for _, u := range uses {
		message.Uses = append(message.Uses, &peerpb.Use{Organisation: string(u.Organisation), Tokens: u.Tokens, Level: u.Level})
	}
}

// applyReport applies a peer's load and quota use. rejoined is true for the
// first report after a peer was unresponsive or restarted.
func (g *Gateway) applyReport(now time.Time, from instance.Process, rejoined bool, report *peerpb.Report) {
	uses := make([]quota.Use, 0, len(report.Uses))
	for _, u := range report.Uses {
		uses = append(uses, quota.Use{Organisation: structs.OrganisationName(u.Organisation), Tokens: u.Tokens, Level: u.Level})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetPeerReport(now, string(from.ID), decodeReport(report, g.endpointNames))
	g.quotas.Observe(now, quota.Report{Peer: from.String(), Reconnected: rejoined, Synced: report.Synced, Uses: uses})
	if len(g.waiters) > 0 {
		g.advanceLocked(now)
	}
}

// tokenStep is the granularity of reported token counts. It is small compared
// with a prompt, which has a thousand tokens and more.
const tokenStep = 16

// endpointHash identifies an endpoint in reports, in place of its name.
func endpointHash(name structs.EndpointName) uint32 { return hash(string(name)) }

func encodeReport(report dispatch.Report, message *peerpb.Report) {
	loads := &peerpb.Loads{}
	for _, l := range report.Loads {
		loads.Endpoints = append(loads.Endpoints, endpointHash(l.Endpoint))
		loads.Running = append(loads.Running, uint32(l.Running))
		loads.ReadUnits = append(loads.ReadUnits, uint32(math.Round(l.PrefillUnits)))
		loads.Tokens = append(loads.Tokens, uint32((l.Tokens+tokenStep-1)/tokenStep))
	}
	message.Loads = loads
	for _, p := range report.Pools {
		pool := &peerpb.Pool{Pool: string(p.Pool), PlacesPerSecond: p.SlotsPerSecond}
		for _, r := range p.Ranks {
			pool.Ranks = append(pool.Ranks, &peerpb.Rank{Rank: int32(r.Rank), Waiting: uint32(r.Waiting), PlacedPerSecond: r.PlacedPerSecond})
		}
		message.Pools = append(message.Pools, pool)
	}
}

// decodeReport decodes a report. names maps hashes to the endpoints known to
// this daemon; others are skipped.
func decodeReport(message *peerpb.Report, names map[uint32]structs.EndpointName) dispatch.Report {
	var report dispatch.Report
	loads := message.GetLoads()
	count := min(len(loads.GetEndpoints()), len(loads.GetRunning()), len(loads.GetReadUnits()), len(loads.GetTokens()))
	for i := range count {
		if name, found := names[loads.Endpoints[i]]; found {
			report.Loads = append(report.Loads, dispatch.Load{
				Endpoint: name, Running: int(loads.Running[i]), PrefillUnits: float64(loads.ReadUnits[i]), Tokens: structs.Tokens(loads.Tokens[i]) * tokenStep,
			})
		}
	}
	for _, p := range message.Pools {
		pool := dispatch.PoolReport{Pool: structs.PoolName(p.Pool), SlotsPerSecond: p.PlacesPerSecond}
		for _, r := range p.Ranks {
			pool.Ranks = append(pool.Ranks, dispatch.RankReport{Rank: structs.Rank(r.Rank), Waiting: int(r.Waiting), PlacedPerSecond: r.PlacedPerSecond})
		}
		report.Pools = append(report.Pools, pool)
	}
	return report
}
