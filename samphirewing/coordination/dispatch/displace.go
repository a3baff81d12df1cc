package dispatch

import (
	"time"
)

const (
	// displaceAdvantage is how many times as far over its share an organisation must be
	// for its waiting request to be refused in favour of another one's that is over its
	// share as well. It keeps organisations in the same situation from displacing each
	// other.
	displaceAdvantage = 1.5
	// maxOverListed bounds the organisations among which the one furthest over its
	// share is searched.
	maxOverListed = 8
	// maxTriedSkipped bounds the search for a request that was sent nowhere yet.
	maxTriedSkipped = 8
)

// admit queues a request, or returns the refusal that it gets. If not all requests that
// wait can be in time, a waiting request of the organisation furthest over its share is
// refused instead; Advance returns that refusal.
func (s *Scheduler) admit(now time.Time, p *pool, r *Request) *Refusal {
	if r.Binding.Bound {
		// It waits for the slots of its version, of which the forecast knows nothing.
		p.enqueue(now, r)
		return nil
	}
	rq := p.waiting.rank(r.Rank)
	late := now.Add(p.expectedWait(now, r)).After(r.latestAdmission())
	victim := s.displaceable(now, p, rq, r, late)
	if late && victim == nil {
		rq.contendedAt = now
		return s.refuse(now, p, r, ReasonOverload)
	}
	p.enqueue(now, r)
	if victim != nil {
		p.waiting.remove(victim)
		s.displaced = append(s.displaced, s.refuse(now, p, victim, ReasonOverShare))
	}
	return nil
}

// displaceable returns the waiting request to refuse in favour of r, or nil if none is.
// late is set if r would be refused otherwise. Without r, the requests that wait are
// assumed to be in time.
func (s *Scheduler) displaceable(now time.Time, p *pool, rq *rankQueue, r *Request, late bool) *Request {
	if len(rq.over) == 0 || late && !rq.isOver(r) {
		// In the latter case those ahead are within their share as well.
		return nil
	}
	worst, most := (*organisationQueue)(nil), 0.0
	for _, o := range rq.over {
		if o.onTime == 0 {
			continue
		}
		if demand := rq.ledger.Demand(now, o.account); worst == nil || demand > most {
			worst, most = o, demand
		}
	}
	if worst == nil || worst.account == rq.ledger.Account(r.key) {
		return nil
	}
	if rq.isOver(r) && (!late || most < displaceAdvantage*rq.ledger.Demand(now, rq.ledger.Account(r.key))) {
		return nil
	}
	victim := worst.newestUntried()
	if victim == nil || !now.Add(p.waitBehindAll(now, rq)).After(victim.latestStart()) {
		return nil
	}
	return victim
}

// newestUntried returns the newest of the requests that were sent nowhere yet, or nil. Of
// others it can't be said that they did not run.
func (o *organisationQueue) newestUntried() *Request {
	r := o.last
	for i := 0; i < maxTriedSkipped && r != nil && len(r.Tried) > 0; i++ {
		r = r.queued.previous
	}
	if r == nil || len(r.Tried) > 0 {
		return nil
	}
	return r
}

// waitBehindAll returns the expected wait of a request behind all of its rank.
func (p *pool) waitBehindAll(now time.Time, rq *rankQueue) time.Duration {
	_, equal := p.peersWaiting(rq.rank)
	return p.waitBehind(now, rq.rank, float64(1+equal+rq.onTime))
}

// listOver lists the organisations over their share with requests that can be in time.
func (rq *rankQueue) listOver() {
	rq.over = rq.over[:0]
	for _, o := range rq.organisations {
		if !o.over || o.onTime == 0 {
			continue
		}
		if len(rq.over) < maxOverListed {
			rq.over = append(rq.over, o)
			continue
		}
		least := 0
		for i := range rq.over {
			if rq.over[i].account.Use() < rq.over[least].account.Use() {
				least = i
			}
		}
		if o.account.Use() > rq.over[least].account.Use() {
			rq.over[least] = o
		}
	}
}
