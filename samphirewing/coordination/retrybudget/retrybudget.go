// Package retrybudget limits retries, the repeated placements of requests
// whose grant was returned unsent, to a share of all grants.
package retrybudget

import "time"

// Settings configures a Budget.
type Settings struct {
	// PerGrant is how many retries each grant adds to the balance.
	PerGrant float64
	// PerSecond is the rate at which retries are added without grants.
	PerSecond float64
	// Max is the maximum balance.
	Max float64
}

// DefaultSettings allow one retry per five grants, and two per second.
var DefaultSettings = Settings{PerGrant: 0.2, PerSecond: 2, Max: 50}

// Budget holds the balance of retries.
// Invariant: 0 <= balance <= Max.
type Budget struct {
	settings   Settings
	balance    float64
	refilledAt time.Time
}

// New returns a full budget.
func New(s Settings) Budget { return Budget{settings: s, balance: s.Max} }

// RecordGrant adds the retries for one grant.
func (b *Budget) RecordGrant() { b.balance = min(b.balance+b.settings.PerGrant, b.settings.Max) }

// SetMax changes the maximum balance. The excess above a lower maximum is
// lost; a higher one adds nothing immediately.
func (b *Budget) SetMax(limit float64) {
	b.settings.Max = limit
	b.balance = min(b.balance, limit)
}

// Take spends one retry. It returns false if the balance is less than one.
func (b *Budget) Take(now time.Time) bool {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.balance = min(b.balance+b.settings.PerSecond*now.Sub(b.refilledAt).Seconds(), b.settings.Max)
	}
	b.refilledAt = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
