// Package quota holds organisations to their quota over all daemons.
//
// Each daemon keeps a token bucket for the whole system: it takes its own use
// out at once and its peers' use when they report it. A daemon that does not
// hear a peer leaves that peer's share untouched, so that daemons that can't
// talk to each other don't exceed the quota together.
package quota

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Limit is one organisation's quota.
type Limit struct {
	Organisation structs.OrganisationName
	// Rate is in tokens a second and Burst in tokens, over all daemons.
	Rate  float64
	Burst float64
}

// Settings of a Book.
type Settings struct {
	// Headroom is the share by which the quota may be exceeded in a window.
	Headroom float64
}

// minWait is the least time that a caller over its quota is told to wait.
const minWait = 100 * time.Millisecond

// Book holds the quotas of all organisations. It is not safe for concurrent
// use.
type Book struct {
	settings Settings
	fresh    bool
	accounts map[structs.OrganisationName]*account
	// heard and silent count the other daemons that report and those that are
	// known but don't.
	heard, silent int
}

// account is one organisation's bucket.
// Invariant: level <= Burst.
type account struct {
	limit Limit
	level float64
	at    time.Time
	// used is what this daemon has admitted since its start.
	used float64
	// reported is what each peer had used when it last reported.
	reported map[string]float64
}

// New returns an empty book. fresh buckets start full; others start empty,
// because an earlier life of this daemon may have used its share.
func New(s Settings, fresh bool) *Book {
	return &Book{settings: s, fresh: fresh, accounts: map[structs.OrganisationName]*account{}}
}

// SetLimits replaces the quotas. A lowered quota takes hold at once.
func (b *Book) SetLimits(now time.Time, limits []Limit) {
	named := map[structs.OrganisationName]bool{}
	for _, l := range limits {
		named[l.Organisation] = true
		a := b.accounts[l.Organisation]
		if a == nil {
			a = &account{limit: l, at: now, reported: map[string]float64{}}
			if b.fresh {
				a.level = l.Burst
			}
			b.accounts[l.Organisation] = a
			continue
		}
		a.refill(now, b.share())
		a.limit = l
		a.level = min(a.level, l.Burst)
	}
	for name := range b.accounts {
		if !named[name] {
			delete(b.accounts, name)
		}
	}
}

// SetPeers says how many other daemons report and how many are silent.
func (b *Book) SetPeers(now time.Time, heard, silent int) {
	if heard == b.heard && silent == b.silent {
		return
	}
	for _, a := range b.accounts {
		a.refill(now, b.share())
	}
	b.heard, b.silent = heard, silent
}

// share is the part of every quota that this daemon and those it hears have.
func (b *Book) share() float64 {
	return float64(b.heard+1) / float64(b.heard+b.silent+1)
}

func (a *account) refill(now time.Time, share float64) {
	if now.After(a.at) {
		a.level = min(a.level+share*a.limit.Rate*now.Sub(a.at).Seconds(), a.limit.Burst)
		a.at = now
	}
}

// Take admits a request of so many tokens, or says when to come back.
func (b *Book) Take(now time.Time, organisation structs.OrganisationName, tokens structs.Tokens) (ok bool, wait time.Duration) {
	a := b.accounts[organisation]
	if a == nil {
		return true, 0
	}
	share := b.share()
	a.refill(now, share)
	// Daemons that share a bucket see each other's use a report late, so the
	// last part of the bucket is divided among them.
	if a.level <= 0 {
		missing := (float64(tokens) - a.level) / max(share*a.limit.Rate, 1)
		return false, max(time.Duration(missing*float64(time.Second)), minWait)
	}
	a.level -= float64(tokens)
	a.used += float64(tokens)
	return true, 0
}

// Return gives back what a request took that never ran.
func (b *Book) Return(organisation structs.OrganisationName, tokens structs.Tokens) {
	if a := b.accounts[organisation]; a != nil {
		a.level = min(a.level+float64(tokens), a.limit.Burst)
		a.used -= float64(tokens)
	}
}

// Use is what a daemon has admitted of an organisation since its start.
type Use struct {
	Organisation structs.OrganisationName
	Tokens       float64
}

// Used returns this daemon's own use.
func (b *Book) Used() []Use {
	var all []Use
	for name, a := range b.accounts {
		if a.used > 0 {
			all = append(all, Use{Organisation: name, Tokens: a.used})
		}
	}
	return all
}

// Observe takes in a peer's use. peer names the peer in its present life.
func (b *Book) Observe(now time.Time, peer string, uses []Use) {
	share := b.share()
	for _, u := range uses {
		a := b.accounts[u.Organisation]
		if a == nil {
			continue
		}
		a.refill(now, share)
		before, known := a.reported[peer]
		a.reported[peer] = u.Tokens
		if !known && !b.fresh {
			// Use from before this daemon's start has long been refilled.
			continue
		}
		a.level -= u.Tokens - before
	}
}
