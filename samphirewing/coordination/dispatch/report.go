package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Load is this daemon's load on one endpoint.
type Load struct {
	Endpoint     structs.EndpointName
	Running      int
	PrefillUnits float64
	Tokens       structs.Tokens
	// Unreachable is the number of daemons, here one at most, that can't reach the
	// endpoint.
	Unreachable int
}

// PoolReport is a daemon's state of one pool.
type PoolReport struct {
	Pool structs.PoolName
	// SlotsPerSecond is the rate at which slots become free for the daemon.
	SlotsPerSecond float64
	Ranks          []RankReport
}

// RankReport is the state of the requests of one rank.
type RankReport struct {
	Rank    structs.Rank
	Waiting int
	// PlacedPerSecond is the recent rate of placements.
	PlacedPerSecond float64
}

// IsPlacing reports whether the daemon has recently placed any request.
func (r PoolReport) IsPlacing() bool {
	for _, rank := range r.Ranks {
		if rank.PlacedPerSecond > 0 {
			return true
		}
	}
	return false
}

// Report is the state that a daemon publishes to its peers. It replaces the
// previous report.
type Report struct {
	// Loads omits idle endpoints.
	Loads []Load
	Pools []PoolReport
}

// Report returns this daemon's state. The slots released before the report are
// visible to every daemon once it is published.
func (s *Scheduler) Report(now time.Time) Report {
	var report Report
	for name, p := range s.pools {
		if len(p.endpoints) > 0 {
			report.Pools = append(report.Pools, p.report(now, name))
		}
		for name, e := range p.endpoints {
			e.slotDraw.ownFreed = 0
			unreachable := 0
			if e.probing() && now.Sub(p.lastSuccess) <= connectedTTL {
				unreachable = 1
			}
			if len(e.grants) > 0 || unreachable > 0 {
				report.Loads = append(report.Loads, Load{Endpoint: name, Running: len(e.grants), PrefillUnits: e.pendingPrefill, Tokens: e.tokens, Unreachable: unreachable})
			}
		}
	}
	return report
}

func (p *pool) report(now time.Time, name structs.PoolName) PoolReport {
	report := PoolReport{Pool: name}
	if p.residenceMs > 0 {
		report.SlotsPerSecond = p.slotsPerSecond(now)
	}
	for _, rq := range p.waiting.ranks {
		n := rq.length()
		if n == 0 {
			continue
		}
		rate := p.placements.rate(now, rq.rank)
		if rate <= minReportedPerSecond {
			rate = 0
		}
		report.Ranks = append(report.Ranks, RankReport{Rank: rq.rank, Waiting: n, PlacedPerSecond: rate})
	}
	for rank := range p.placements.byRank {
		if p.waiting.count(rank) > 0 {
			continue
		}
		if rate := p.placements.rate(now, rank); rate > minReportedPerSecond {
			report.Ranks = append(report.Ranks, RankReport{Rank: rank, PlacedPerSecond: rate})
		}
	}
	return report
}

// minReportedPerSecond is the minimum placement rate that is reported.
const minReportedPerSecond = 0.1

// SetPeerReport replaces the state reported by a peer.
func (s *Scheduler) SetPeerReport(now time.Time, peer string, report Report) {
	s.removePeer(peer)
	s.lastReportAt[peer] = now
	for _, r := range report.Pools {
		s.pool(r.Pool).peerReports[peer] = r
	}
	for _, l := range report.Loads {
		p := s.endpointPools[l.Endpoint]
		if p == nil || p.endpoints[l.Endpoint] == nil {
			continue
		}
		p.endpoints[l.Endpoint].setPeerLoad(peer, PeerLoad{Unreachable: l.Unreachable, Running: l.Running, PrefillUnits: l.PrefillUnits, Tokens: l.Tokens, ReceivedAt: now})
	}
}

func (s *Scheduler) removePeer(peer string) {
	delete(s.lastReportAt, peer)
	for _, p := range s.pools {
		delete(p.peerReports, peer)
		for _, e := range p.endpoints {
			e.removePeerLoad(peer)
		}
	}
}

// expirePeerReports removes the reports of peers from which no report has
// arrived within peerReportTTL.
func (s *Scheduler) expirePeerReports(now time.Time) {
	for peer, reportedAt := range s.lastReportAt {
		if now.Sub(reportedAt) > peerReportTTL {
			s.removePeer(peer)
		}
	}
}

// peerSlotRate returns the rate at which slots become free for a rank at the
// peers: the total rate less the placements of more urgent ranks.
func (p *pool) peerSlotRate(rank structs.Rank) float64 {
	sum := 0.0
	for _, peer := range p.peerReports {
		sum += peer.SlotsPerSecond
		for _, r := range peer.Ranks {
			if r.Rank < rank {
				sum -= r.PlacedPerSecond
			}
		}
	}
	return sum
}
