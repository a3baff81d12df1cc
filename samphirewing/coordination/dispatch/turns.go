package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// A place that becomes free is seen by every daemon with its next view. While
// requests wait at several daemons, all of them would take it, and the endpoint
// would queue what they sent, or reject it. So each daemon takes such places
// with a chance that leaves one taker a place on average; places that its own
// requests leave it fills at once, before the others see them.

// defaultTurnInterval is the time between two draws before the reports'
// interval is known.
const defaultTurnInterval = 50 * time.Millisecond

// Backlog is how many requests of a pool wait at a daemon.
type Backlog struct {
	Pool     structs.PoolName
	Requests int
}

// backlog is what one peer reported.
type backlog struct {
	requests int
	at       time.Time
}

// SetReportInterval takes in how often daemons report to each other.
func (s *Scheduler) SetReportInterval(d time.Duration) { s.turnInterval = d }

// othersWaiting is how many requests wait at the peers.
func (p *pool) othersWaiting(now time.Time) int {
	n := 0
	for _, b := range p.backlogs {
		if now.Sub(b.at) <= remoteLifetime {
			n += b.requests
		}
	}
	return n
}

// mayTake returns whether this daemon may take one of an endpoint's free
// places.
func (s *Scheduler) mayTake(now time.Time, p *pool, e *endpoint, free int) bool {
	if e.freed > 0 {
		return true
	}
	if !now.Before(e.nextTurns) {
		others := p.othersWaiting(now)
		if others == 0 {
			return true
		}
		mine := p.waiting.Len() + 1
		share := float64(free*mine) / float64(mine+others)
		whole := math.Floor(share)
		e.turns, e.nextTurns = int(whole), now.Add(s.turnInterval)
		if s.random() < share-whole {
			e.turns++
		}
	}
	return e.turns > 0
}

// tookPlace notes that one of the free places was taken.
func (e *endpoint) tookPlace() {
	switch {
	case e.freed > 0:
		e.freed--
	case e.turns > 0:
		e.turns--
	}
}
