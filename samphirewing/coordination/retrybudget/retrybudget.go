// Package retrybudget bounds the work spent on placing requests again whose
// grant came back unsent, to a share of all grants.
package retrybudget

import "time"

// Settings of a Budget.
type Settings struct {
	// Share is how many retries each grant earns.
	Share float64
	// PerSecond is how many retries are earned without any grant.
	PerSecond float64
	// Most is how many can be saved up.
	Most float64
}

// DefaultSettings allow one retry for each five grants, and two a second.
var DefaultSettings = Settings{Share: 0.2, PerSecond: 2, Most: 50}

// Budget counts the retries that may still be made.
// Invariant: 0 <= left <= Most.
type Budget struct {
	settings Settings
	left     float64
	last     time.Time
}

// New returns a full budget.
func New(s Settings) Budget { return Budget{settings: s, left: s.Most} }

// Granted earns the share of one grant.
func (b *Budget) Granted() { b.left = min(b.left+b.settings.Share, b.settings.Most) }

// SetMost changes how many retries can be saved up; what is over is lost, and
// a raise gives none at once.
func (b *Budget) SetMost(most float64) {
	b.settings.Most = most
	b.left = min(b.left, most)
}

// Take spends one retry; it returns false when none is left.
func (b *Budget) Take(now time.Time) bool {
	if !b.last.IsZero() && now.After(b.last) {
		b.left = min(b.left+b.settings.PerSecond*now.Sub(b.last).Seconds(), b.settings.Most)
	}
	b.last = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
