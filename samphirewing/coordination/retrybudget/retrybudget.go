// Package retrybudget bounds the work spent on placing requests again whose
// grant came back unsent, to a share of all grants.
package retrybudget

import "time"

// Settings of a Budget.
type Settings struct {
	// PerGrant is how many retries each grant earns.
	PerGrant float64
	// PerSecond is how many retries are earned without any grant.
	PerSecond float64
	// Max is how many can be saved up.
	Max float64
}

// DefaultSettings allow one retry for each five grants, and two a second.
var DefaultSettings = Settings{PerGrant: 0.2, PerSecond: 2, Max: 50}

// Budget counts the retries that may still be made.
// Invariant: 0 <= left <= Most.
type Budget struct {
	settings Settings
	left     float64
	last     time.Time
}

// New returns a full budget.
func New(s Settings) Budget { return Budget{settings: s, left: s.Max} }

// RecordGrant earns the share of one grant.
func (b *Budget) RecordGrant() { b.left = min(b.left+b.settings.PerGrant, b.settings.Max) }

// SetMax changes how many retries can be saved up; what is over is lost, and
// a raise gives none at once.
func (b *Budget) SetMax(most float64) {
	b.settings.Max = most
	b.left = min(b.left, most)
}

// Take spends one retry; it returns false when none is left.
func (b *Budget) Take(now time.Time) bool {
	if !b.last.IsZero() && now.After(b.last) {
		b.left = min(b.left+b.settings.PerSecond*now.Sub(b.last).Seconds(), b.settings.Max)
	}
	b.last = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
