// Package fairshare computes max-min fair shares of a pool's capacity for the
// organisations within a rank, in units of endpoint time.
//
// It handles the load in which one organisation sends several times its usual
// number of requests, or all send more than the endpoints can serve, and the
// organisation that sends most would otherwise take most of the capacity. It only
// orders requests that have to wait; while slots are free, nobody is held back.
//
// Each daemon charges what its own requests cost and adds what the summaries of the
// other daemons report. Without summaries, it divides what it sees itself.
package fairshare

import (
	"cmp"
	"math"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// UseWindow is the time constant with which use is forgotten. An organisation
	// that was idle is preferred until it has used as much as the others did within
	// this time, which bounds the catch-up. It covers several residence times of a
	// stream, and is short compared with the bursts of 6 to 11 s that are divided.
	UseWindow = 2 * time.Second
	// PeerTTL is how long the use reported by other daemons counts. The daemons of a
	// large deployment report every second.
	PeerTTL = 2500 * time.Millisecond
	// overTolerance and overDeviations are how far the demand of an organisation must
	// exceed the fair level before it counts as over its share: by a part of the
	// level, and by more than the random arrival of requests of different costs
	// explains. Organisations that are within their share are served in the order of
	// arrival, which misses fewer targets than any other.
	overTolerance  = 0.25
	overDeviations = 3
	// costWeight is the weight of a request in the moving averages of costs.
	costWeight = 0.02
	// rebaseWindows is the number of use windows after which uses are rescaled. Up
	// to it, the scale factor stays far below the largest floating-point number.
	rebaseWindows = 40
	// minUse is the use, in milliseconds, below which an account is forgotten.
	minUse = 0.01
	// maxLevelPasses bounds the passes over all accounts when the level is computed;
	// each pass but the last finds at least one more organisation below the level.
	maxLevelPasses = 12
)

// Key identifies an organisation, as a hash of its name. Organisations with equal
// keys share an account.
type Key uint32

// KeyOf returns the key of a name, its FNV-1a hash.
func KeyOf(name structs.OrganisationName) Key {
	const offset, prime = 2166136261, 16777619
	h := uint32(offset)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * prime
	}
	return Key(h)
}

// Cost is endpoint time in milliseconds.
type Cost float64

// Account is the use and the demand of one organisation.
type Account struct {
	key Key
	// own and peers are the uses, scaled by the ledger's factor at the time of each
	// charge, so that their order does not change with time.
	own, peers float64
	// waiting is the cost of this daemon's waiting requests, peersWaiting that of
	// the other daemons'.
	waiting, peersWaiting Cost
	over                  bool
}

// Compare orders organisations: those within their share first, then by use. It returns
// zero if the order of arrival decides.
func (a *Account) Compare(b *Account) int {
	switch {
	case a.over != b.over && b.over:
		return -1
	case a.over != b.over:
		return 1
	case !a.over:
		return 0
	}
	return cmp.Compare(a.Use(), b.Use())
}

// Over reports whether the organisation demanded more than its share when shares were
// last computed. It is false for all if none is within its share.
func (a *Account) Over() bool { return a.over }

// Use returns a measure of the recent use over all daemons. It is comparable with
// those of other accounts of the ledger at any time.
func (a *Account) Use() float64 { return a.own + a.peers }

// Waiting returns the cost of this daemon's waiting requests.
func (a *Account) Waiting() Cost { return a.waiting }

// AddWaiting adds to the cost of this daemon's waiting requests, or subtracts from
// it.
func (a *Account) AddWaiting(c Cost) { a.waiting = max(0, a.waiting+c) }

// Ledger holds the accounts of the organisations within one rank of one pool.
type Ledger struct {
	accounts map[Key]*Account
	// origin is when the scale factor was one.
	origin  time.Time
	peersAt time.Time
	// peersRest is what the other daemons' report does not attribute to an
	// organisation.
	peersRest Entry
	level     Cost
	updatedAt time.Time
	// cost and costSquare are moving averages over placed requests.
	cost, costSquare float64
	// peersOver is the share of the other daemons' waiting cost that belongs to
	// organisations over their share.
	peersOver float64
}

// New returns a ledger without accounts.
func New() *Ledger { return &Ledger{accounts: map[Key]*Account{}} }

// Len returns the number of organisations with recent use or waiting requests.
func (l *Ledger) Len() int { return len(l.accounts) }

// Account returns an organisation's account and creates it if needed.
func (l *Ledger) Account(key Key) *Account {
	a := l.accounts[key]
	if a == nil {
		a = &Account{key: key}
		l.accounts[key] = a
	}
	return a
}

func (l *Ledger) scale(now time.Time) float64 {
	if l.origin.IsZero() {
		l.origin = now
	}
	windows := now.Sub(l.origin).Seconds() / UseWindow.Seconds()
	if windows > rebaseWindows {
		factor := math.Exp(-windows)
		for _, a := range l.accounts {
			a.own *= factor
			a.peers *= factor
		}
		l.origin, windows = now, 0
	}
	return math.Exp(windows)
}

// Charge records that a request of this daemon was placed at a cost.
func (l *Ledger) Charge(now time.Time, a *Account, c Cost) {
	l.Correct(now, a, c)
	if l.cost == 0 {
		l.cost, l.costSquare = float64(c), float64(c*c)
		return
	}
	l.cost += costWeight * (float64(c) - l.cost)
	l.costSquare += costWeight * (float64(c*c) - l.costSquare)
}

// Correct changes an earlier charge.
func (l *Ledger) Correct(now time.Time, a *Account, change Cost) {
	a.own = max(0, a.own+float64(change)*l.scale(now))
}

// limit returns the demand above which an organisation counts as over its share. The
// costs of requests that arrive at random within the use window have a variance of the
// level times the ratio of the mean square to the mean cost.
func (l *Ledger) limit() Cost {
	deviation := 0.0
	if l.cost > 0 {
		deviation = math.Sqrt(float64(l.level) * l.costSquare / l.cost)
	}
	return l.level + max(overTolerance*l.level, Cost(overDeviations*deviation))
}

// demand returns the recent use of an organisation and the cost of its waiting
// requests.
func (a *Account) demand(scale float64) Cost {
	return Cost(a.Use()/scale) + a.waiting + a.peersWaiting
}

// Demand returns the recent use of an organisation and the cost of its waiting
// requests, over all daemons, in multiples of the fair level. It is zero before the
// level is known.
func (l *Ledger) Demand(now time.Time, a *Account) float64 {
	if l.level <= 0 {
		return 0
	}
	return float64(a.demand(l.scale(now)) / l.level)
}

// PeersOver returns the share of the waiting requests of other daemons that belong to
// organisations over their share.
func (l *Ledger) PeersOver() float64 { return l.peersOver }

// UpdatedAt returns when shares were last computed.
func (l *Ledger) UpdatedAt() time.Time { return l.updatedAt }

// Update computes the shares. The capacity to divide is what all organisations have
// used recently; the level is what each of them gets if it asks for at least as much.
// It may change the order of accounts.
func (l *Ledger) Update(now time.Time) {
	l.updatedAt = now
	scale := l.scale(now)
	if now.Sub(l.peersAt) > PeerTTL {
		l.clearPeers()
	}
	capacity := Cost(0)
	for key, a := range l.accounts {
		if a.own/scale < minUse && a.peers/scale < minUse && a.waiting == 0 && a.peersWaiting == 0 {
			delete(l.accounts, key)
			continue
		}
		capacity += Cost(a.Use() / scale)
	}
	l.level = l.fairLevel(scale, capacity)
	l.markOver(scale)
}

// fairLevel returns the level at which the demands, each cut to the level, add up to
// the capacity.
func (l *Ledger) fairLevel(scale float64, capacity Cost) Cost {
	if len(l.accounts) == 0 {
		return 0
	}
	level := capacity / Cost(len(l.accounts))
	for range maxLevelPasses {
		rest, above := capacity, 0
		for _, a := range l.accounts {
			if d := a.demand(scale); d <= level {
				rest -= d
			} else {
				above++
			}
		}
		if above == 0 {
			break
		}
		next := rest / Cost(above)
		if next <= level*(1+1e-9) {
			break
		}
		level = next
	}
	return level
}

func (l *Ledger) markOver(scale float64) {
	within := 0
	overWaiting, peersWaiting := Cost(0), l.peersRest.Waiting
	limit := l.limit()
	for _, a := range l.accounts {
		// An organisation that is over its share stays so until it is down to the level,
		// so that it does not change sides with every request.
		d := a.demand(scale)
		a.over = d > limit || a.over && d > l.level
		if !a.over {
			within++
		} else {
			overWaiting += a.peersWaiting
		}
		peersWaiting += a.peersWaiting
	}
	l.peersOver = 0
	if within == 0 {
		for _, a := range l.accounts {
			a.over = false
		}
		return
	}
	if peersWaiting > 0 {
		l.peersOver = float64(overWaiting / peersWaiting)
	}
}
