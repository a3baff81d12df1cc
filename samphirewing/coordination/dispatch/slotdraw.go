package dispatch

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Every daemon learns of a free slot from the next report. While requests are
// queued at several daemons, all of them would take it, and the endpoint would
// queue or reject the excess. Each daemon therefore takes such a slot with a
// probability at which one daemon takes it on average, and leaves slots for
// the more urgent requests of its peers. A daemon refills slots that its own
// requests released immediately, before its peers learn of them.

// defaultDrawInterval is the draw interval before the report interval is set.
const defaultDrawInterval = 50 * time.Millisecond

// slotDraw is one daemon's random draw for the free slots of an endpoint.
type slotDraw struct {
	// value is in [0, 1) and is valid until expires; taken is the number of
	// slots taken with it.
	value   float64
	taken   int
	expires time.Time
	// ownFreed is the number of slots that this daemon released since its last
	// report and no peer knows of.
	ownFreed int
}

// SetFleet sets the number of daemons and the interval at which they report to each
// other.
func (s *Scheduler) SetFleet(daemons int, reportInterval time.Duration) {
	s.daemons, s.drawInterval = daemons, reportInterval
	for _, p := range s.pools {
		p.daemons, p.reportInterval = daemons, reportInterval
	}
}

// peersWaiting returns how many requests more urgent than a rank, and of that
// rank, are queued at the peers. It ignores peers that place nothing, such as
// those partitioned from the endpoints, since they will take no slot.
func (p *pool) peersWaiting(rank structs.Rank) (urgent, equal int) {
	for _, peer := range p.peerReports {
		if !peer.IsPlacing() {
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

// share is the fraction of the free slots that this daemon's requests of a
// rank may take.
type share float64

// slotShare returns the share for a request. While more requests are placed
// elsewhere than slots are free, before this daemon hears of them, they compete
// for the free slots like waiting ones.
func (p *pool) slotShare(r *Request) share {
	urgent, competing, queued := p.competition(r)
	if concurrent := p.concurrentPlacements(); concurrent+1 > float64(p.lastFreeSlots) {
		competing = math.Max(competing, concurrent)
	}
	if urgent == 0 && competing == 0 {
		return 1
	}
	own := float64(1 + queued)
	remaining := 1.0
	if p.lastFreeSlots > 0 {
		remaining = math.Max(0, 1-urgent/float64(p.lastFreeSlots))
	}
	return share(remaining * own / (own + competing))
}

// mayTake reports whether this daemon may take one of an endpoint's free
// slots.
func (s *Scheduler) mayTake(now time.Time, e *endpoint, free int, fraction share) bool {
	d := &e.slotDraw
	if fraction == 1 || d.ownFreed > 0 {
		return true
	}
	if !now.Before(d.expires) {
		d.value, d.taken, d.expires = s.random(), 0, now.Add(s.drawInterval)
	}
	expected := float64(free+d.taken) * float64(fraction)
	allowed := math.Floor(expected)
	if d.value < expected-allowed {
		allowed++
	}
	return d.taken < int(allowed)
}

// recordTaken counts one free slot as taken.
func (d *slotDraw) recordTaken() {
	if d.ownFreed > 0 {
		d.ownFreed--
		return
	}
	d.taken++
}
