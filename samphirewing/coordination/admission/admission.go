// Package admission decides how many waiting requests a shard of a pool has
// to shed.
//
// The limit holds for the pool: a shard whose siblings hold less urgent work
// leaves the shedding to them, and keeps its own over its own part of the
// limit meanwhile.
package admission

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// ReportLifetime is how long a sibling's report counts. A sibling that has
// not reported for longer is out of reach, and its part of the limit with it.
const ReportLifetime = 3 * time.Second

// Report is what a sibling shard holds.
type Report struct {
	Shard      int
	LowestRank structs.Rank
	Waiting    int
}

// OwnLoad is what this shard holds.
type OwnLoad struct {
	LowestRank structs.Rank
	Waiting    int
}

// Shedder knows the siblings of one shard.
// Invariant: at most one report per sibling is held.
type Shedder struct {
	siblings []sibling
}

type sibling struct {
	report Report
	at     time.Time
}

// New returns a Shedder for one of so many shards.
func New(shards int) *Shedder { return &Shedder{siblings: make([]sibling, shards)} }

// Observe takes a sibling's report in.
func (s *Shedder) Observe(now time.Time, r Report) {
	if r.Shard >= 0 && r.Shard < len(s.siblings) {
		s.siblings[r.Shard] = sibling{report: r, at: now}
	}
}

// Excess returns how many requests this shard must shed from its least urgent
// tier, given the limit of one shard. It is zero while a sibling in reach
// holds less urgent work; siblings with equal work share the excess.
func (s *Shedder) Excess(now time.Time, limit int, own OwnLoad) int {
	if own.Waiting <= limit {
		return 0
	}
	total := own.Waiting
	allowed := limit
	sharers := 1
	for _, x := range s.siblings {
		if x.at.IsZero() || now.Sub(x.at) > ReportLifetime {
			continue
		}
		total += x.report.Waiting
		allowed += limit
		if x.report.Waiting == 0 {
			continue
		}
		if x.report.LowestRank > own.LowestRank {
			return 0
		}
		if x.report.LowestRank == own.LowestRank {
			sharers++
		}
	}
	if total <= allowed {
		return 0
	}
	return (total - allowed + sharers - 1) / sharers
}
