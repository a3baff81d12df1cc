package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// A place that becomes free is seen by every daemon with its next view. While
// requests wait at several daemons, all of them would take it, and the endpoint
// would queue what they sent, or reject it. So each daemon takes such places
// with a chance that leaves one taker a place on average, and leaves what the
// more urgent requests of the others will take. Places that its own requests
// leave it fills at once, before the others see them.

// defaultTurnInterval is the time between two draws before the reports'
// interval is known.
const defaultTurnInterval = 50 * time.Millisecond

// turns is one daemon's draw for the free places of an endpoint.
type turns struct {
	// draw is in [0, 1) and holds until ends; taken is how many places were
	// taken by it.
	draw  float64
	taken int
	ends  time.Time
	// freed is how many of this daemon's own places have ended since its last
	// report, so that no other daemon knows of them.
	freed int
}

// SetReportInterval takes in how often daemons report to each other.
func (s *Scheduler) SetReportInterval(d time.Duration) { s.turnInterval = d }

// othersWaiting is how many requests wait at the peers that are more urgent
// than a rank, and of that rank. Peers that place nothing, as they are cut off
// from the endpoints, will take no place.
func (p *pool) othersWaiting(rank structs.Rank) (urgent, equal int) {
	for _, peer := range p.peers {
		if !peer.places() {
			continue
		}
		for _, w := range peer.Ranks {
			switch {
			case w.Rank < rank:
				urgent += w.Waiting
			case w.Rank == rank:
				equal += w.Waiting
			}
		}
	}
	return urgent, equal
}

// share is the part of the free places that this daemon's requests of a rank
// may take.
type share float64

// shareOf works the share of a request's rank out.
func (p *pool) shareOf(r *Request) share {
	urgent, equal := p.othersWaiting(r.Rank)
	if urgent+equal == 0 {
		return 1
	}
	mine := 1 + p.waiting.ranks[r.Rank]
	left := 1.0
	if p.free > 0 {
		left = math.Max(0, 1-float64(urgent)/float64(p.free))
	}
	return share(left * float64(mine) / float64(mine+equal))
}

// mayTake returns whether this daemon may take one of an endpoint's free
// places.
func (s *Scheduler) mayTake(now time.Time, e *endpoint, free int, part share) bool {
	t := &e.turns
	if part == 1 || t.freed > 0 {
		return true
	}
	if !now.Before(t.ends) {
		t.draw, t.taken, t.ends = s.random(), 0, now.Add(s.turnInterval)
	}
	places := float64(free+t.taken) * float64(part)
	whole := math.Floor(places)
	if t.draw < places-whole {
		whole++
	}
	return t.taken < int(whole)
}

// took notes that one of the free places was taken.
func (t *turns) took() {
	if t.freed > 0 {
		t.freed--
		return
	}
	t.taken++
}
