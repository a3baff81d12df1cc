package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Load is this daemon's work on one endpoint.
type Load struct {
	Endpoint     structs.EndpointName
	Running      int
	PrefillUnits float64
	Tokens       structs.Tokens
}

// PoolReport is what a daemon tells of the requests for one pool.
type PoolReport struct {
	Pool structs.PoolName
	// SlotsPerSecond is how many places become free for the daemon.
	SlotsPerSecond float64
	Ranks          []RankReport
}

// RankReport is the requests of one rank.
type RankReport struct {
	Rank    structs.Rank
	Waiting int
	// PlacedPerSecond is how many were placed lately.
	PlacedPerSecond float64
}

// places returns whether the daemon has placed anything lately.
func (r PoolReport) places() bool {
	for _, rank := range r.Ranks {
		if rank.PlacedPerSecond > 0 {
			return true
		}
	}
	return false
}

// Report is what a daemon tells its peers of its work. It replaces the report
// before it.
type Report struct {
	// Loads holds no idle endpoints.
	Loads []Load
	Pools []PoolReport
}

// Report returns this daemon's work. Places that ended before it are seen free
// by every daemon after it.
func (s *Scheduler) Report(now time.Time) Report {
	var report Report
	for name, p := range s.pools {
		if len(p.endpoints) > 0 {
			report.Pools = append(report.Pools, p.report(now, name))
		}
		for name, e := range p.endpoints {
			e.turns.freed = 0
			if len(e.grants) > 0 {
				report.Loads = append(report.Loads, Load{Endpoint: name, Running: len(e.grants), PrefillUnits: e.readUnits, Tokens: e.tokens})
			}
		}
	}
	return report
}

func (p *pool) report(now time.Time, name structs.PoolName) PoolReport {
	report := PoolReport{Pool: name}
	if p.stayMs > 0 {
		report.SlotsPerSecond = p.placesPerSecond(now)
	}
	for rank, n := range p.waiting.ranks {
		rate := p.placed.rate(now, rank)
		if rate <= minReportedRate {
			rate = 0
		}
		report.Ranks = append(report.Ranks, RankReport{Rank: rank, Waiting: n, PlacedPerSecond: rate})
	}
	for rank := range p.placed.ranks {
		if p.waiting.ranks[rank] > 0 {
			continue
		}
		if rate := p.placed.rate(now, rank); rate > minReportedRate {
			report.Ranks = append(report.Ranks, RankReport{Rank: rank, PlacedPerSecond: rate})
		}
	}
	return report
}

// minReportedRate is the least rate worth a report, a second.
const minReportedRate = 0.1

// SetPeerReport replaces what a peer reported of its work.
func (s *Scheduler) SetPeerReport(now time.Time, peer string, report Report) {
	s.forget(peer)
	s.heard[peer] = now
	for _, r := range report.Pools {
		s.pool(r.Pool).peers[peer] = r
	}
	for _, l := range report.Loads {
		p := s.homes[l.Endpoint]
		if p == nil || p.endpoints[l.Endpoint] == nil {
			continue
		}
		p.endpoints[l.Endpoint].setRemote(peer, RemoteLoad{Running: l.Running, ReadUnits: l.PrefillUnits, Tokens: l.Tokens, At: now})
	}
}

func (s *Scheduler) forget(peer string) {
	delete(s.heard, peer)
	for _, p := range s.pools {
		delete(p.peers, peer)
		for _, e := range p.endpoints {
			e.dropRemote(peer)
		}
	}
}

// forgetSilent drops what peers reported that are no longer heard.
func (s *Scheduler) forgetSilent(now time.Time) {
	for peer, at := range s.heard {
		if now.Sub(at) > remoteLifetime {
			s.forget(peer)
		}
	}
}

// othersRate is how many places become free for a rank at the peers: all that
// do, without those that more urgent requests take.
func (p *pool) othersRate(rank structs.Rank) float64 {
	sum := 0.0
	for _, peer := range p.peers {
		sum += peer.SlotsPerSecond
		for _, r := range peer.Ranks {
			if r.Rank < rank {
				sum -= r.PlacedPerSecond
			}
		}
	}
	return sum
}
