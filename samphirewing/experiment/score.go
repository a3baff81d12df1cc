package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Tiers is how many tiers the workloads use.
const Tiers = 3

// scoreboard counts what a run delivered.
type scoreboard struct {
	scenario *Scenario
	// offeredBy and goodBy count by rank.
	offeredBy [Tiers]int
	goodBy    [Tiers]int
	// serviceOffered and serviceGood count the calls of plain services.
	serviceOffered, serviceGood int
	// prefilled is all prompt work done, failed the part for answers not
	// delivered whole in time, again the part that another healthy engine had.
	prefilled structs.Tokens
	failed    structs.Tokens
	again     structs.Tokens
	// waits sums the time from arrival to the end of good answers by rank.
	waits [Tiers]time.Duration
}

func newScoreboard(s *Scenario) *scoreboard { return &scoreboard{scenario: s} }

func (b *scoreboard) counts(a *arrival) bool { return a.at >= b.scenario.MeasuredFrom }

func (b *scoreboard) offered(a *arrival) {
	switch {
	case !b.counts(a):
	case a.class.kind == structs.WorkService:
		b.serviceOffered++
	default:
		b.offeredBy[a.rank]++
	}
}

func (b *scoreboard) ended(r *entryRequest, now time.Duration) {
	a := r.arrival
	if !b.counts(a) {
		return
	}
	good := r.job != nil && r.job.output >= a.output && now <= a.at+a.deadline
	if a.class.kind == structs.WorkService {
		if good {
			b.serviceGood++
		}
		return
	}
	if good {
		b.goodBy[a.rank]++
		b.waits[a.rank] += now - a.at
	}
	if r.job == nil {
		return
	}
	b.prefilled += r.job.prefilled
	if !good {
		b.failed += r.job.prefilled
		return
	}
	b.again += min(r.job.again, r.job.prefilled)
}
