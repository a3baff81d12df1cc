package orders

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const invariantBudget invariant.Name = "weight-store-loads-do-not-overlap"

// defaultModelBytes stands for a model whose size the store does not tell.
const defaultModelBytes = 20 << 30

// Budget paces the loads from one weight store: they follow one another, each
// for as long as its bytes take at the store's rate. It is kept by the holder
// of the store's lease and is not safe for concurrent use.
type Budget struct {
	rate edge.WeightRate
	// busyUntil is when the loads granted so far are through; it never falls.
	busyUntil time.Time
}

// NewBudget returns a Budget that grants nothing before a time: until then
// loads of an earlier keeper may run.
func NewBudget(rate edge.WeightRate, notBefore time.Time) *Budget {
	return &Budget{rate: rate, busyUntil: notBefore}
}

// SetRate replaces the store's figures.
func (b *Budget) SetRate(r edge.WeightRate) { b.rate = r }

// LoadTime returns how long models take at the store's rate.
func (b *Budget) LoadTime(models []string) time.Duration {
	if b.rate.BytesPerSecond <= 0 {
		return 0
	}
	var bytes int64
	for _, m := range models {
		bytes += b.size(m)
	}
	return time.Duration(float64(bytes) / float64(b.rate.BytesPerSecond) * float64(time.Second))
}

func (b *Budget) size(model string) int64 {
	for _, m := range b.rate.ModelBytes {
		if m.Model == model {
			return m.Bytes
		}
	}
	return defaultModelBytes
}

// LongestLoad returns how long the largest model takes.
func (b *Budget) LongestLoad() time.Duration {
	var longest time.Duration
	for _, m := range b.rate.ModelBytes {
		longest = max(longest, b.LoadTime([]string{m.Model}))
	}
	return longest
}

// Ask grants a load, or tells when to ask again.
func (b *Budget) Ask(now time.Time, endpoint string, models []string) LoadAnswered {
	load := b.LoadTime(models)
	if now.Before(b.busyUntil) {
		return LoadAnswered{RetryAfter: b.busyUntil.Sub(now), LoadTime: load}
	}
	invariant.Check(!now.Before(b.busyUntil), invariantBudget, "%s at %s", endpoint, now)
	b.busyUntil = now.Add(load)
	return LoadAnswered{Granted: true, LoadTime: load}
}
