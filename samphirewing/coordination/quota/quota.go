// Package quota enforces the quotas of organisations across all daemons.
//
// Each daemon has a token bucket per organisation for the whole deployment: it
// subtracts its own use immediately and the use of its peers when they report
// it. It leaves the share of an unresponsive peer untouched, so that
// partitioned daemons do not exceed the quota together.
package quota

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Limit is one organisation's quota.
type Limit struct {
	Organisation structs.OrganisationName
	// Rate is in tokens per second and Burst in tokens, across all daemons.
	Rate  float64
	Burst float64
}

// Settings configures a Limiter.
type Settings struct {
	// FirstStart is set on the first start of the whole deployment. Buckets
	// then start full. Otherwise they start empty, because an earlier
	// incarnation of this daemon may have used its share, until a peer reports
	// the current levels.
	FirstStart bool
	// Instances is the number of daemons assumed until peers are known.
	Instances int
}

// syncTimeout is how long a restarted daemon waits for the levels of a synced
// peer before it relies on its own; peers usually report within one or two
// seconds.
const syncTimeout = 4 * time.Second

// minWait is the minimum delay returned to a client over its quota.
const minWait = 100 * time.Millisecond

// toleratedOvershoot is how much of its rate, as the time in which it is earned, an
// organisation may exceed its quota by before daemons hear of each other's use.
const toleratedOvershoot = 450 * time.Millisecond

// Limiter holds the buckets of all organisations. It is not safe for
// concurrent use.
type Limiter struct {
	settings Settings
	buckets  map[structs.OrganisationName]*bucket
	// responsive and unresponsive count the peers that report and the known
	// peers that do not.
	responsive, unresponsive int
	// synced is set once the levels are known: adopted from a peer, or because
	// this daemon has accounted for all use since its start.
	synced  bool
	started time.Time
	// delay is the time after which all daemons know of a use.
	delay time.Duration
}

// bucket is the token bucket of one organisation.
// Invariant: level <= share x Burst.
type bucket struct {
	limit     Limit
	level     float64
	updatedAt time.Time
	// used is what this daemon has admitted since its start, unreported the part
	// of it since unreportedSince, of which others may not know yet.
	used            float64
	unreported      float64
	unreportedSince time.Time
	// peerUsage is the last reported use of each incarnation of a peer.
	peerUsage map[string]float64
}

// New returns a limiter without quotas.
func New(s Settings) *Limiter {
	return &Limiter{settings: s, buckets: map[structs.OrganisationName]*bucket{}, synced: s.FirstStart, unresponsive: max(s.Instances-1, 0)}
}

// SetLimits replaces the quotas. A lowered quota applies immediately.
func (l *Limiter) SetLimits(now time.Time, limits []Limit) {
	present := map[structs.OrganisationName]bool{}
	for _, limit := range limits {
		present[limit.Organisation] = true
		b := l.buckets[limit.Organisation]
		if b == nil {
			b = &bucket{limit: limit, updatedAt: now, peerUsage: map[string]float64{}}
			if l.settings.FirstStart {
				b.level = l.share() * limit.Burst
			}
			l.buckets[limit.Organisation] = b
			continue
		}
		b.refill(now, l.share())
		b.limit = limit
		b.level = min(b.level, l.share()*limit.Burst)
	}
	for name := range l.buckets {
		if !present[name] {
			delete(l.buckets, name)
		}
	}
}

// SetDelay sets the time after which all daemons know of a use.
func (l *Limiter) SetDelay(delay time.Duration) { l.delay = delay }

// SetPeers sets how many peers are responsive and unresponsive. When a peer
// becomes unresponsive, the remaining tokens are divided; when it is
// responsive again, its report includes its use in the meantime.
func (l *Limiter) SetPeers(now time.Time, responsive, unresponsive int) {
	if responsive == l.responsive && unresponsive == l.unresponsive {
		return
	}
	oldShare := l.share()
	for _, b := range l.buckets {
		b.refill(now, oldShare)
	}
	l.responsive, l.unresponsive = responsive, unresponsive
	newShare := l.share()
	for _, b := range l.buckets {
		if b.level > 0 {
			b.level *= newShare / oldShare
		}
	}
}

// share returns the part of every quota that belongs to this daemon and its
// responsive peers.
func (l *Limiter) share() float64 {
	return float64(l.responsive+1) / float64(l.responsive+l.unresponsive+1)
}

func (b *bucket) refill(now time.Time, share float64) {
	if now.After(b.updatedAt) {
		earned := share * b.limit.Rate * now.Sub(b.updatedAt).Seconds()
		b.level = min(b.level+earned, share*b.limit.Burst)
		b.updatedAt = now
	}
}

// Take admits a request of so many tokens, or returns how long to wait before
// the next attempt.
func (l *Limiter) Take(now time.Time, organisation structs.OrganisationName, tokens structs.Tokens) (ok bool, wait time.Duration) {
	b := l.buckets[organisation]
	if b == nil {
		return true, 0
	}
	share := l.share()
	b.refill(now, share)
	// A bucket with a positive level admits one request of any size, since a
	// large one could never fit into a small quota. The level becomes negative
	// and must be positive again before the next request.
	if b.level <= 0 {
		missing := (float64(tokens) - b.level) / max(share*b.limit.Rate, 1)
		return false, max(time.Duration(missing*float64(time.Second)), minWait)
	}
	if wait := b.waitForReports(now, l.delay, l.responsive+1); wait > 0 {
		return false, max(wait, minWait)
	}
	b.level -= float64(tokens)
	b.used += float64(tokens)
	b.unreported += float64(tokens)
	return true, 0
}

// waitForReports returns how long this daemon admits nothing because it has used
// its part of the level since the others last heard of its use. Many daemons would
// otherwise use the same tokens at once.
func (b *bucket) waitForReports(now time.Time, delay time.Duration, daemons int) time.Duration {
	elapsed := now.Sub(b.unreportedSince)
	if elapsed >= delay {
		b.unreported, b.unreportedSince = 0, now
		return 0
	}
	available := b.level + b.unreported + b.limit.Rate*toleratedOvershoot.Seconds()
	if b.unreported*float64(daemons) < available {
		return 0
	}
	return delay - elapsed
}

// Return gives back the tokens of a request that never ran.
func (l *Limiter) Return(organisation structs.OrganisationName, tokens structs.Tokens) {
	if b := l.buckets[organisation]; b != nil {
		b.level = min(b.level+float64(tokens), l.share()*b.limit.Burst)
		b.used -= float64(tokens)
		b.unreported = max(0, b.unreported-float64(tokens))
	}
}

// Use is what a daemon has admitted for an organisation since its start, and
// the remaining level that it computes.
type Use struct {
	Organisation structs.OrganisationName
	Tokens       float64
	Level        float64
}

// Usage returns this daemon's own use, and whether a daemon that has just
// started may adopt the levels.
func (l *Limiter) Usage(now time.Time) (uses []Use, synced bool) {
	if l.started.IsZero() {
		l.started = now
	}
	l.synced = l.synced || now.Sub(l.started) > syncTimeout
	for name, b := range l.buckets {
		b.refill(now, l.share())
		uses = append(uses, Use{Organisation: name, Tokens: b.used, Level: b.level})
	}
	return uses, l.synced
}

// Report is a peer's use.
type Report struct {
	// Peer identifies the current incarnation of the peer.
	Peer string
	// Reconnected is set when the peer was unresponsive before this report.
	// Its use in the meantime came out of the share that it retained.
	Reconnected bool
	// Synced is set when the peer knows the levels of its buckets.
	Synced bool
	// HasLevels is set when the uses include levels, which may be adopted if
	// the peer is synced.
	HasLevels bool
	Uses      []Use
}

// Observe applies a peer's report.
func (l *Limiter) Observe(now time.Time, r Report) {
	share := l.share()
	adopt := !l.synced && r.Synced && r.HasLevels && len(r.Uses) > 0
	for _, u := range r.Uses {
		b := l.buckets[u.Organisation]
		if b == nil {
			continue
		}
		b.refill(now, share)
		previous, known := b.peerUsage[r.Peer]
		b.peerUsage[r.Peer] = u.Tokens
		switch {
		case adopt:
			// The peer may not have counted what this daemon has admitted.
			b.level = min(u.Level-b.used, share*b.limit.Burst)
		case known && !r.Reconnected:
			b.level -= u.Tokens - previous
		case !known && (l.settings.FirstStart || !r.Synced):
			// Nothing of the peer's use since its start is counted yet.
			b.level -= u.Tokens
		}
	}
	l.synced = l.synced || adopt
}
