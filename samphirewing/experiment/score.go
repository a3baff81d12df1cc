package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Tiers is the number of tiers (ranks) in the workloads.
const Tiers = 3

// scoreboard accumulates the results of a simulation.
type scoreboard struct {
	scenario *Scenario
	// offeredByRank and goodByRank count model requests and good answers.
	offeredByRank [Tiers]int
	goodByRank    [Tiers]int
	// serviceOffered and serviceGood count the calls of plain services.
	serviceOffered, serviceGood int
	// prefilled is the total prefill, failed the part spent on answers that were
	// not complete and within their deadline, and redundant the part of the good
	// answers' prefill that another healthy engine had cached.
	prefilled structs.Tokens
	failed    structs.Tokens
	redundant structs.Tokens
	// latencySum is the sum of the times from arrival to the end of good answers
	// by rank.
	latencySum [Tiers]time.Duration
}

func newScoreboard(s *Scenario) *scoreboard { return &scoreboard{scenario: s} }

// isMeasured reports whether the request arrived in the measured period.
func (b *scoreboard) isMeasured(a *arrival) bool { return a.arrivedAt >= b.scenario.MeasuredFrom }

func (b *scoreboard) recordOffered(a *arrival) {
	switch {
	case !b.isMeasured(a):
	case a.class.kind == structs.WorkService:
		b.serviceOffered++
	default:
		b.offeredByRank[a.rank]++
	}
}

func (b *scoreboard) recordEnd(r *entryRequest, now time.Duration) {
	a := r.arrival
	if !b.isMeasured(a) {
		return
	}
	good := r.job != nil && r.job.output >= a.output && now <= a.arrivedAt+a.deadline
	if a.class.kind == structs.WorkService {
		if good {
			b.serviceGood++
		}
		return
	}
	if good {
		b.goodByRank[a.rank]++
		b.latencySum[a.rank] += now - a.arrivedAt
	}
	if r.job == nil {
		return
	}
	b.prefilled += r.job.prefilled
	if !good {
		b.failed += r.job.prefilled
		return
	}
	b.redundant += min(r.job.redundant, r.job.prefilled)
}
