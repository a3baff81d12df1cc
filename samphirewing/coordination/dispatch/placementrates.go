package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// placementRates is the recent rate of placements by rank. The rates of less
// urgent ranks already reflect the more urgent requests that arrive later.
type placementRates struct {
	byRank map[structs.Rank]*decayingCount
}

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// rateWindow is the time constant of the rates: long enough to cover several
// grants, short enough to follow a burst.
const rateWindow = time.Second

func (d *decayingCount) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.count *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		d.updatedAt = now
	}
}

func (p *placementRates) record(now time.Time, rank structs.Rank) {
	if p.byRank == nil {
		p.byRank = map[structs.Rank]*decayingCount{}
	}
	d := p.byRank[rank]
	if d == nil {
		d = &decayingCount{updatedAt: now}
		p.byRank[rank] = d
	}
	d.decay(now)
	d.count++
}

func (p *placementRates) rate(now time.Time, rank structs.Rank) float64 {
	return p.sum(now, func(r structs.Rank) bool { return r == rank })
}

// aboveRank returns the placement rate of the ranks more urgent than this one.
func (p *placementRates) aboveRank(now time.Time, rank structs.Rank) float64 {
	return p.sum(now, func(r structs.Rank) bool { return r < rank })
}

func (p *placementRates) total(now time.Time) float64 {
	return p.sum(now, func(structs.Rank) bool { return true })
}

func (p *placementRates) sum(now time.Time, counts func(structs.Rank) bool) float64 {
	sum := 0.0
	for r, d := range p.byRank {
		if counts(r) {
			d.decay(now)
			sum += d.count
		}
	}
	return sum / rateWindow.Seconds()
}
