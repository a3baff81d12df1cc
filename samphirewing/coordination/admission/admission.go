// Package admission decides how many waiting requests a shard of a pool has to
// shed.
//
// The limit applies to the pool: a shard whose siblings have less urgent
// requests waiting leaves the shedding to them, and may exceed its own part of
// the limit in the meantime.
package admission

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// ReportLifetime is how long a sibling's report counts. An older report is
// from an unreachable sibling, whose part of the limit does not count either.
const ReportLifetime = 3 * time.Second

// Report is the waiting load of a sibling shard.
type Report struct {
	Shard      int
	LowestRank structs.Rank
	Waiting    int
}

// OwnLoad is the waiting load of this shard.
type OwnLoad struct {
	LowestRank structs.Rank
	Waiting    int
}

// Shedder computes the excess of one shard.
// Invariant: it holds at most one report per sibling.
type Shedder struct {
	siblings []sibling
}

type sibling struct {
	report     Report
	receivedAt time.Time
}

// New returns a Shedder for a shard of a pool with so many shards.
func New(shards int) *Shedder { return &Shedder{siblings: make([]sibling, shards)} }

// Observe records a sibling's report.
func (s *Shedder) Observe(now time.Time, r Report) {
	if r.Shard >= 0 && r.Shard < len(s.siblings) {
		s.siblings[r.Shard] = sibling{report: r, receivedAt: now}
	}
}

// Excess returns how many requests this shard must shed from its least urgent
// tier, given the limit per shard. It is zero while a reachable sibling has
// less urgent requests waiting; siblings with the same least urgent rank share
// the excess.
func (s *Shedder) Excess(now time.Time, limit int, own OwnLoad) int {
	if own.Waiting <= limit {
		return 0
	}
	total := own.Waiting
	allowed := limit
	sharers := 1
	for _, sib := range s.siblings {
		if sib.receivedAt.IsZero() || now.Sub(sib.receivedAt) > ReportLifetime {
			continue
		}
		total += sib.report.Waiting
		allowed += limit
		if sib.report.Waiting == 0 {
			continue
		}
		if sib.report.LowestRank > own.LowestRank {
			return 0
		}
		if sib.report.LowestRank == own.LowestRank {
			sharers++
		}
	}
	if total <= allowed {
		return 0
	}
	return (total - allowed + sharers - 1) / sharers
}
