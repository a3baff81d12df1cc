package dispatch

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// shareInterval is the interval at which shares are computed while requests
	// wait. It is short compared with the use window.
	shareInterval = 100 * time.Millisecond
	// contentionTTL is how long after the last request that had to wait or was
	// refused a daemon reports use by organisation.
	contentionTTL = 3 * time.Second
	// defaultMsPerToken is the assumed time per token of output before the first
	// observation.
	defaultMsPerToken = 5.0
)

// requestCost returns the endpoint time that a request is expected to take: the time
// of its prefill, which occupies the whole endpoint, and that of its slot, as a part
// of the endpoint's slots.
func (p *pool) requestCost(r *Request) fairshare.Cost {
	if p.engine == nil {
		return fairshare.Cost(firstPositive(p.callMs, defaultCallMs))
	}
	base, perUnit := p.prefill.fit()
	prefill := perUnit * prefillUnits(r.Prompt)
	slot := base + prefill + float64(r.Output)*firstPositive(p.msPerToken, defaultMsPerToken)
	return fairshare.Cost(prefill + slot/float64(max(p.engine.Slots, 1)))
}

// charge charges a grant to its organisation.
func (p *pool) charge(now time.Time, g *Grant) {
	g.cost = p.requestCost(g.Request)
	rq := p.waiting.rank(g.Request.Rank)
	rq.ledger.Charge(now, rq.ledger.Account(g.Request.key), g.cost)
	rq.useChanged(g.Request.key)
}

// correctCharge replaces the expected by the actual cost of a grant that ends.
func (p *pool) correctCharge(now time.Time, g *Grant) {
	elapsed := durationToMs(now.Sub(g.grantedAt))
	actual := elapsed
	if p.engine != nil {
		actual /= float64(max(p.engine.Slots, 1))
		if g.started {
			_, perUnit := p.prefill.fit()
			actual += perUnit * g.prefillUnits
		}
	}
	rq := p.waiting.rank(g.Request.Rank)
	rq.ledger.Correct(now, rq.ledger.Account(g.Request.key), fairshare.Cost(actual)-g.cost)
	rq.useChanged(g.Request.key)
}

// useChanged restores the order after the use of an organisation has changed.
func (rq *rankQueue) useChanged(key fairshare.Key) {
	if o := rq.organisations[key]; o != nil && o.onTime > 0 {
		rq.next.Fix(o.position)
	}
}

// observeOutput learns from a stream that has ended.
func (p *pool) observeOutput(now time.Time, g *Grant) {
	if p.engine != nil && g.started && g.Request.Output > 0 {
		updateAverage(&p.msPerToken, durationToMs(now.Sub(g.firstEventAt))/float64(g.Request.Output))
	}
}

// enqueue queues a request.
func (p *pool) enqueue(now time.Time, r *Request) {
	p.waiting.add(r, p.requestCost(r))
	p.waiting.rank(r.Rank).contendedAt = now
}

// updateShares recomputes the shares of the ranks with queued requests.
func (p *pool) updateShares(now time.Time) {
	for _, rq := range p.waiting.ranks {
		if rq.length() > 0 {
			rq.updateShares(now, shareInterval)
		}
	}
}

func (rq *rankQueue) updateShares(now time.Time, interval time.Duration) {
	if now.Sub(rq.ledger.UpdatedAt()) >= interval {
		rq.ledger.Update(now)
		rq.reorder()
	}
}

// isOver reports whether a request's organisation is over its share.
func (rq *rankQueue) isOver(r *Request) bool {
	return rq.ledger.Account(r.key).Over()
}

// ahead returns how many requests of all daemons are expected to be placed before a
// new one of the same rank. Those of organisations over their share don't count for
// an organisation within its share.
func (p *pool) ahead(r *Request) float64 {
	_, equal := p.peersWaiting(r.Rank)
	rq := p.waiting.rank(r.Rank)
	if r.queued.returning && !rq.isOver(r) {
		if rq.returning == 0 {
			return 0
		}
		return float64(rq.returning) * (1 + float64(equal)/float64(rq.onTime))
	}
	if rq.within == rq.onTime && rq.ledger.PeersOver() == 0 || rq.isOver(r) {
		return float64(equal + rq.onTime)
	}
	return float64(equal)*(1-rq.ledger.PeersOver()) + float64(rq.within)
}

// competition returns how many requests of the other daemons take free slots before a
// request and with the same right, and how many of this daemon's queued requests
// compete for them. Organisations within their share go before those that are over.
func (p *pool) competition(r *Request) (first, same float64, queued int) {
	urgent, equal := p.peersWaiting(r.Rank)
	rq := p.waiting.rank(r.Rank)
	first, same, queued = float64(urgent), float64(equal), rq.length()
	over := rq.ledger.PeersOver()
	if over == 0 {
		return first, same, queued
	}
	if rq.isOver(r) {
		return first + same*(1-over), same * over, queued
	}
	return first, same * (1 - over), rq.within
}

// Shares is the use of endpoints by organisation that a daemon reports.
type Shares map[fairshare.Group]fairshare.Entries

// Shares returns what this daemon's requests have used recently and what waits, for
// the ranks in which requests of any daemon have to wait.
func (s *Scheduler) Shares(now time.Time) Shares {
	all := Shares{}
	for name, p := range s.pools {
		for _, rq := range p.waiting.ranks {
			rq.updateShares(now, fairshare.UseWindow)
			if rq.length() > 0 {
				rq.contendedAt = now
			}
			if rq.contendedAt.IsZero() || now.Sub(rq.contendedAt) > contentionTTL {
				continue
			}
			if own := rq.ledger.Own(now); len(own.Largest) > 0 {
				all[fairshare.Group{Pool: name, Rank: rq.rank}] = own
			}
		}
	}
	return all
}

// SetPeerShares replaces what all other daemons together report.
func (s *Scheduler) SetPeerShares(now time.Time, shares Shares) {
	for name, p := range s.pools {
		for _, rq := range p.waiting.ranks {
			rq.setPeers(now, shares[fairshare.Group{Pool: name, Rank: rq.rank}])
		}
	}
	for group, entries := range shares {
		if p := s.pools[group.Pool]; p != nil && !p.waiting.has(group.Rank) {
			p.waiting.rank(group.Rank).setPeers(now, entries)
		}
	}
}

func (rq *rankQueue) setPeers(now time.Time, entries fairshare.Entries) {
	rq.ledger.SetPeers(now, entries)
	waiting := entries.Rest.Waiting
	for _, e := range entries.Largest {
		waiting += e.Waiting
	}
	if waiting > 0 {
		rq.contendedAt = now
	}
	rq.updateShares(now, 0)
}

func (q *waitingQueue) has(rank structs.Rank) bool {
	for _, rq := range q.ranks {
		if rq.rank == rank {
			return true
		}
	}
	return false
}

// OverShare identifies an organisation that is over its share in a group.
type OverShare struct {
	Group fairshare.Group
	Key   fairshare.Key
}

// OverShare returns the organisations with queued requests of this daemon that are over
// their share.
func (s *Scheduler) OverShare() []OverShare {
	var all []OverShare
	for name, p := range s.pools {
		for _, rq := range p.waiting.ranks {
			for key, o := range rq.organisations {
				if o.over && o.onTime+o.late > 0 {
					all = append(all, OverShare{fairshare.Group{Pool: name, Rank: rq.rank}, key})
				}
			}
		}
	}
	return all
}
