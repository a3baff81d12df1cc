package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
)

const (
	// promisedShare is the share of the capacity of a rank that is promised to clients
	// that were refused. The rest is left to new requests.
	promisedShare = 0.5
	// clientRetryShare is the share of their remaining time that clients wait for a
	// repetition; they give up if they are told a longer time.
	clientRetryShare = 1.0 / 3
	// clientRetryMargin is deducted for the transfer of the refusal.
	clientRetryMargin = 20 * time.Millisecond
)

// schedules reports whether places are promised to clients of a rank. A single
// organisation is told the expected wait.
func (s *Scheduler) schedules(rq *rankQueue) bool {
	return s.settings.ScheduledRetries && rq.ledger.Len() > 1
}

// claimPlace recognises a client that comes back as promised.
func (s *Scheduler) claimPlace(now time.Time, p *pool, r *Request) {
	if !s.settings.ScheduledRetries || r.Fingerprint == 0 {
		return
	}
	rq := p.waiting.rank(r.Rank)
	sequence, ok := rq.schedule.Claim(now, r.Fingerprint)
	if !ok {
		sequence, ok = rq.overSchedule.Claim(now, r.Fingerprint)
	}
	if ok {
		r.queued.returning, r.queued.sequence = true, sequence
	}
}

// promised returns how many clients are expected to come back before a new request
// would be placed in time. Organisations over their share don't take places from those
// that are within.
func (p *pool) promised(now time.Time, r *Request) float64 {
	if r.queued.returning {
		return 0
	}
	rq, until := p.waiting.rank(r.Rank), r.latestStart()
	n := rq.schedule.Due(now, until, p.daemons)
	if rq.isOver(r) {
		n += rq.overSchedule.Due(now, until, p.daemons)
	}
	return n
}

// latestAdmission returns the latest expected start with which a request is queued. A
// client that came back is not asked to do so again, and is served late rather than
// not.
func (r *Request) latestAdmission() time.Time {
	if r.queued.returning {
		return r.StartBy
	}
	return r.latestStart()
}

// retryAfter returns the delay that a refused client is told: the time of the next place
// in the schedule, or the expected wait if there is none that it can wait for.
func (s *Scheduler) retryAfter(now time.Time, p *pool, refusal *Refusal) time.Duration {
	r := refusal.Request
	wait := boundRetryAfter(p.expectedWait(now, r))
	rq := p.waiting.rank(r.Rank)
	if !s.schedules(rq) || p.residenceMs == 0 || r.queued.returning {
		return wait
	}
	latest := maxRetryAfter
	if !r.Deadline.IsZero() {
		latest = min(latest, time.Duration(clientRetryShare*float64(r.Deadline.Sub(now)))-clientRetryMargin)
	}
	perSecond := promisedShare * max(p.slotsPerSecond(now)-p.placements.aboveRank(now, r.Rank), minDrainPerSecond/float64(max(p.daemons, 1)))
	sequence := r.queued.sequence
	if sequence == 0 {
		sequence = p.waiting.nextSequence()
	}
	schedule := rq.schedule
	if rq.isOver(r) {
		schedule = rq.overSchedule
	}
	if delay, ok := schedule.Book(now, r.Fingerprint, sequence, minRetryAfter, latest, perSecond); ok {
		refusal.Promised = true
		return delay
	}
	refusal.Unpromised = true
	return wait
}

// Promise is a time at which a client of a rank is to come back, to any daemon.
type Promise struct {
	Group fairshare.Group
	retryschedule.Promise
}

// Promises returns what this daemon has promised since the last call to organisations
// within their share.
func (s *Scheduler) Promises() (all []Promise) {
	for name, p := range s.pools {
		for _, rq := range p.waiting.ranks {
			for _, promise := range rq.schedule.Unsent() {
				all = append(all, Promise{fairshare.Group{Pool: name, Rank: rq.rank}, promise})
			}
			rq.overSchedule.Unsent()
		}
	}
	return all
}

// AddPromise records what another daemon has promised.
func (s *Scheduler) AddPromise(now time.Time, promise Promise) {
	if p := s.pools[promise.Group.Pool]; p != nil && s.settings.ScheduledRetries {
		p.waiting.rank(promise.Group.Rank).schedule.Add(now, promise.Promise, p.waiting.nextSequence())
	}
}
