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
	// FirstStart tells that the whole system starts for the first time. Buckets then
	// start full; otherwise they start empty, because an earlier life of this
	// daemon may have used its share, until a peer says what is left.
	FirstStart bool
	// Instances is how many daemons are assumed until peers are known.
	Instances int
}

// syncAfter is how long a restarted daemon waits for a peer that knows what is
// left before its own books count: peers are heard within a second or two.
const syncAfter = 4 * time.Second

// minWait is the least time that a caller over its quota is told to wait.
const minWait = 100 * time.Millisecond

// Limiter holds the quotas of all organisations. It is not safe for concurrent
// use.
type Limiter struct {
	settings Settings
	accounts map[structs.OrganisationName]*account
	// heard and silent count the other daemons that report and those that are
	// known but don't.
	heard, silent int
	// synced is set once this daemon knows what is left: from a peer, or because
	// all use since its start went through its own books.
	synced  bool
	started time.Time
}

// account is one organisation's bucket.
// Invariant: level <= share x Burst.
type account struct {
	limit Limit
	level float64
	at    time.Time
	// used is what this daemon has admitted since its start.
	used float64
	// reported is what each life of a peer had used when it last reported.
	reported map[string]float64
}

// New returns an empty book.
func New(s Settings) *Limiter {
	return &Limiter{settings: s, accounts: map[structs.OrganisationName]*account{}, synced: s.FirstStart, silent: max(s.Instances-1, 0)}
}

// SetLimits replaces the quotas. A lowered quota takes hold at once.
func (b *Limiter) SetLimits(now time.Time, limits []Limit) {
	named := map[structs.OrganisationName]bool{}
	for _, l := range limits {
		named[l.Organisation] = true
		a := b.accounts[l.Organisation]
		if a == nil {
			a = &account{limit: l, at: now, reported: map[string]float64{}}
			if b.settings.FirstStart {
				a.level = b.share() * l.Burst
			}
			b.accounts[l.Organisation] = a
			continue
		}
		a.refill(now, b.share())
		a.limit = l
		a.level = min(a.level, b.share()*l.Burst)
	}
	for name := range b.accounts {
		if !named[name] {
			delete(b.accounts, name)
		}
	}
}

// SetPeers says how many other daemons report and how many are silent. What is
// left is divided when a peer falls silent; when one is heard again, its use
// meanwhile comes with its report.
func (b *Limiter) SetPeers(now time.Time, heard, silent int) {
	if heard == b.heard && silent == b.silent {
		return
	}
	before := b.share()
	for _, a := range b.accounts {
		a.refill(now, before)
	}
	b.heard, b.silent = heard, silent
	after := b.share()
	for _, a := range b.accounts {
		if a.level > 0 {
			a.level *= after / before
		}
	}
}

// share is the part of every quota that this daemon and those it hears have.
func (b *Limiter) share() float64 {
	return float64(b.heard+1) / float64(b.heard+b.silent+1)
}

func (a *account) refill(now time.Time, share float64) {
	if now.After(a.at) {
		earned := share * a.limit.Rate * now.Sub(a.at).Seconds()
		a.level = min(a.level+earned, share*a.limit.Burst)
		a.at = now
	}
}

// Take admits a request of so many tokens, or says when to come back.
func (b *Limiter) Take(now time.Time, organisation structs.OrganisationName, tokens structs.Tokens) (ok bool, wait time.Duration) {
	a := b.accounts[organisation]
	if a == nil {
		return true, 0
	}
	share := b.share()
	a.refill(now, share)
	// A bucket that isn't empty admits one request of any size, since a large
	// one could never fit into a small quota; the debt is repaid first.
	if a.level <= 0 {
		missing := (float64(tokens) - a.level) / max(share*a.limit.Rate, 1)
		return false, max(time.Duration(missing*float64(time.Second)), minWait)
	}
	a.level -= float64(tokens)
	a.used += float64(tokens)
	return true, 0
}

// Return gives back what a request took that never ran.
func (b *Limiter) Return(organisation structs.OrganisationName, tokens structs.Tokens) {
	if a := b.accounts[organisation]; a != nil {
		a.level = min(a.level+float64(tokens), b.share()*a.limit.Burst)
		a.used -= float64(tokens)
	}
}

// Use is what a daemon has admitted of an organisation since its start, and
// what it believes is left.
type Use struct {
	Organisation structs.OrganisationName
	Tokens       float64
	Level        float64
}

// Usage returns this daemon's own use, and whether the levels may be taken over
// by a daemon that has just started.
func (b *Limiter) Usage(now time.Time) (uses []Use, synced bool) {
	if b.started.IsZero() {
		b.started = now
	}
	b.synced = b.synced || now.Sub(b.started) > syncAfter
	for name, a := range b.accounts {
		a.refill(now, b.share())
		uses = append(uses, Use{Organisation: name, Tokens: a.used, Level: a.level})
	}
	return uses, b.synced
}

// Report is what a peer says of its use.
type Report struct {
	// Peer names the peer in its present life.
	Peer string
	// Reconnected tells that the peer was silent before this report. What it used
	// meanwhile came out of the share that was left to it.
	Reconnected bool
	// Synced tells that the levels may be taken over.
	Synced bool
	Uses   []Use
}

// Observe takes in a peer's use.
func (b *Limiter) Observe(now time.Time, r Report) {
	share := b.share()
	adopt := !b.synced && r.Synced && len(r.Uses) > 0
	for _, u := range r.Uses {
		a := b.accounts[u.Organisation]
		if a == nil {
			continue
		}
		a.refill(now, share)
		before, known := a.reported[r.Peer]
		a.reported[r.Peer] = u.Tokens
		switch {
		case adopt:
			// What this daemon has admitted so far may be in no peer's books.
			a.level = min(u.Level-a.used, share*a.limit.Burst)
		case known && !r.Reconnected:
			a.level -= u.Tokens - before
		case !known && (b.settings.FirstStart || !r.Synced):
			// All that the peer used since its start is news.
			a.level -= u.Tokens
		}
	}
	b.synced = b.synced || adopt
}
