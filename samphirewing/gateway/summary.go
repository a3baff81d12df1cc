package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/quota"
	"github.com/samphirewing/samphirewing/state/structs"
)

// allPeers is the name under which the scheduler holds the sum of all peers.
const allPeers = "peers"

// endpointHash identifies an endpoint in summaries, in place of its name.
func endpointHash(name structs.EndpointName) uint32 { return hash(string(name)) }

// ownSummary returns this daemon's load and quota use.
func (g *Gateway) ownSummary(now time.Time, responsive, unresponsive int) aggregation.Own {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.SetPeers(now, responsive, unresponsive)
	g.setInstancesLocked(responsive + unresponsive + 1)
	g.observeSharesLocked(now)
	uses, synced := g.quotas.Usage(now)
	own := aggregation.Own{
		State: stateFromReport(g.scheduler.Report(now)), Estimates: estimatesFromScheduler(g.scheduler.Estimates(now)),
		Organisations: g.sharesLocked(now), Promises: g.promisesLocked(),
		Synced: synced, Uses: map[uint32]uint64{}, Levels: map[uint32]float64{},
	}
	for _, u := range uses {
		key := hash(string(u.Organisation))
		own.Uses[key] += uint64(max(u.Tokens, 0))
		own.Levels[key] = u.Level
	}
	return own
}

// applySummary applies the load and the quota use of other daemons. interval
// is the time between two messages.
func (g *Gateway) applySummary(now time.Time, interval time.Duration, u aggregation.Update) {
	g.poison.merge(now, u.Evidence)
	g.mergeLimits(now, u.Limits)
	g.mergeRollouts(now, u)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetFleet(g.instances, interval)
	if u.UseDelay > 0 {
		g.quotas.SetDelay(u.UseDelay)
	}
	for _, row := range u.Uses {
		g.quotas.Observe(now, quota.Report{Peer: memberName(row.Member), Reconnected: row.Reconnected, Synced: row.Synced, Uses: g.usesLocked(row.Tokens, nil)})
	}
	if len(u.Levels) > 0 {
		g.adoptLevelsLocked(now, u)
	}
	if u.Fleet != nil {
		g.scheduler.SetFleetEstimates(estimatesFromFleet(u.Fleet, g.endpointNames))
	}
	for _, p := range u.Promises {
		g.scheduler.AddPromise(now, dispatch.Promise(p))
	}
	if u.Organisations != nil {
		g.scheduler.SetPeerShares(now, dispatch.Shares(u.Organisations))
	}
	if u.View == nil {
		return
	}
	g.scheduler.SetPeerReport(now, allPeers, reportFromState(*u.View, g.endpointNames))
	if len(g.waiters) > 0 {
		g.advanceLocked(now)
	}
}

func memberName(key aggregation.MemberKey) string { return strconv.FormatUint(uint64(key), 16) }

// adoptLevelsLocked adopts the levels of a peer. They are applied after the
// uses, which they include.
func (g *Gateway) adoptLevelsLocked(now time.Time, u aggregation.Update) {
	member := aggregation.KeyOf(u.From)
	tokens := map[uint32]uint64{}
	for _, row := range u.Uses {
		if row.Member == member {
			tokens = row.Tokens
		}
	}
	for organisation := range u.Levels {
		tokens[organisation] += 0
	}
	g.quotas.Observe(now, quota.Report{Peer: memberName(member), Synced: true, HasLevels: true, Uses: g.usesLocked(tokens, u.Levels)})
}

// usesLocked converts uses keyed by hashes. Organisations with equal hashes are
// each charged with the uses of all of them.
func (g *Gateway) usesLocked(tokens map[uint32]uint64, levels map[uint32]float64) []quota.Use {
	uses := make([]quota.Use, 0, len(tokens))
	for key, n := range tokens {
		for _, name := range g.organisationNames[key] {
			uses = append(uses, quota.Use{Organisation: name, Tokens: float64(n), Level: levels[key]})
		}
	}
	return uses
}

// stateFromReport converts this daemon's report. Requests that wait at a daemon
// that places none, such as one that is partitioned from the endpoints, take no
// slots and are left out.
func stateFromReport(report dispatch.Report) aggregation.State {
	s := aggregation.NewState()
	for _, l := range report.Loads {
		s.Loads[endpointHash(l.Endpoint)] = aggregation.Load{
			Running: int64(l.Running), PrefillUnits: int64(math.Round(l.PrefillUnits)), TokenSteps: aggregation.TokenSteps(l.Tokens),
			Unreachable: int64(l.Unreachable),
		}
	}
	for _, p := range report.Pools {
		pool := aggregation.Pool{SlotsPerSecond: p.SlotsPerSecond, Ranks: map[structs.Rank]aggregation.Rank{}}
		for _, r := range p.Ranks {
			rank := aggregation.Rank{PlacedPerSecond: r.PlacedPerSecond}
			if p.IsPlacing() {
				rank.Waiting = int64(r.Waiting)
			}
			pool.Ranks[r.Rank] = rank
		}
		s.Pools[p.Pool] = pool
	}
	return s
}

// reportFromState converts a sum. names maps hashes to the endpoints known to
// this daemon; others are skipped.
func reportFromState(s aggregation.State, names map[uint32]structs.EndpointName) dispatch.Report {
	var report dispatch.Report
	for key, l := range s.Loads {
		if name, found := names[key]; found {
			report.Loads = append(report.Loads, dispatch.Load{Endpoint: name, Running: int(l.Running), PrefillUnits: float64(l.PrefillUnits), Tokens: l.Tokens(), Unreachable: int(l.Unreachable)})
		}
	}
	for name, p := range s.Pools {
		pool := dispatch.PoolReport{Pool: name, SlotsPerSecond: p.SlotsPerSecond}
		for rank, r := range p.Ranks {
			pool.Ranks = append(pool.Ranks, dispatch.RankReport{Rank: rank, Waiting: int(r.Waiting), PlacedPerSecond: r.PlacedPerSecond})
		}
		report.Pools = append(report.Pools, pool)
	}
	return report
}

func estimatesFromScheduler(all []dispatch.Estimate) aggregation.Estimates {
	estimates := make(aggregation.Estimates, len(all))
	for _, e := range all {
		estimates[endpointHash(e.Endpoint)] = aggregation.Estimate{Samples: e.Samples, SlownessSum: e.SlownessSum, Outcomes: e.Outcomes, Failures: e.Failures}
	}
	return estimates
}

func estimatesFromFleet(all aggregation.Estimates, names map[uint32]structs.EndpointName) []dispatch.Estimate {
	estimates := make([]dispatch.Estimate, 0, len(all))
	for key, e := range all {
		if name, found := names[key]; found {
			estimates = append(estimates, dispatch.Estimate{Endpoint: name, Samples: e.Samples, SlownessSum: e.SlownessSum, Outcomes: e.Outcomes, Failures: e.Failures})
		}
	}
	return estimates
}
