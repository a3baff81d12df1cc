package dispatch

import (
	"math"
	"time"
)

// All daemons see the same loads, which are as old as their last summaries. If
// each of them took the endpoint with the lowest score, all requests of that time
// would go to the same few endpoints. Each daemon therefore compares a random
// sample only, the smaller the more requests other daemons place in the meantime,
// so that about one of them compares the best endpoint.

const (
	// viewIntervals is the age of the view of other daemons, in report intervals.
	viewIntervals = 1.5
	// spareFraction is the fraction of the slots freed during the age of a view for
	// which requests may be queued at an engine.
	spareFraction = 0.5
	// fewDaemons is the number of daemons up to which each compares all endpoints
	// and takes free slots as it sees them.
	fewDaemons = 12
	// maxCallsQueuedPerSlot bounds the calls queued at a plain service, whose work
	// is shorter than the age of a view.
	maxCallsQueuedPerSlot = 2
	// minSample is the minimum sample size. Two random choices are enough to avoid
	// the most loaded endpoints.
	minSample = 2
)

// viewAge returns the mean age of what this daemon knows of the others' loads.
func (p *pool) viewAge() time.Duration {
	return time.Duration(viewIntervals * float64(p.reportInterval))
}

// concurrentPlacements returns how many requests of the other daemons occupy a slot
// and are not known yet.
func (p *pool) concurrentPlacements() float64 {
	return p.spread() * p.unreportedPlacements()
}

// unreportedPlacements returns how many requests all other daemons have placed that
// occupy a slot and that no report shows.
func (p *pool) unreportedPlacements() float64 {
	rate := 0.0
	for _, peer := range p.peerReports {
		for _, r := range peer.Ranks {
			rate += r.PlacedPerSecond
		}
	}
	return rate * min(p.viewAge(), p.residence()).Seconds()
}

// spread returns how far the load is spread over many daemons, from 0 to 1. Few
// daemons each know most of the load exactly, as their own.
func (p *pool) spread() float64 {
	if p.daemons <= fewDaemons {
		return 0
	}
	return 1 - fewDaemons/float64(p.daemons)
}

// spareSlots returns how many requests beyond its slots an endpoint may be given, so
// that it does not idle until the daemons that have requests waiting hear of a free
// slot. With few daemons, each has requests waiting under load and refills the slots
// that its own requests release.
func (p *pool) spareSlots(slots int) int {
	if p.spare.valid && p.spare.slots == slots {
		return p.spare.result
	}
	if p.spread() == 0 {
		return 0
	}
	limit := slots / 2
	if p.engine == nil {
		limit = maxCallsQueuedPerSlot * slots
	}
	idle := p.viewAge().Seconds() / p.residence().Seconds()
	p.spare.slots = slots
	p.spare.result = min(int(math.Round(spareFraction*p.spread()*idle*float64(slots))), limit)
	return p.spare.result
}

// spareMemo is the last result of spareSlots. It is valid during one pass over all
// endpoints.
type spareMemo struct {
	valid         bool
	slots, result int
}

// sample returns a random sample of the candidates for the given number of
// concurrent placements. It reorders the candidates.
func (s *Scheduler) sample(candidates []*endpoint, concurrent float64) []*endpoint {
	size := max(minSample, int(math.Ceil(float64(len(candidates))/(1+concurrent))))
	if size >= len(candidates) {
		return candidates
	}
	for i := range size {
		j := i + int(s.random()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:size]
}
