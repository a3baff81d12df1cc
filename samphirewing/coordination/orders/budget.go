package orders

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const invariantBudget invariant.Name = "weight-store-loads-do-not-overlap"

// defaultModelBytes is the assumed size of models whose size the store does not
// report.
const defaultModelBytes = 20 << 30

// Budget serialises the loads from one weight store: each load reserves the
// store for the time that its bytes take at the store's rate. Only the holder
// of the store's lease has a Budget. It is not safe for concurrent use.
type Budget struct {
	rate edge.WeightRate
	// busyUntil is when the loads granted so far end. It never decreases.
	busyUntil time.Time
}

// NewBudget returns a Budget that grants nothing before notBefore, since loads
// granted by an earlier holder may still be running.
func NewBudget(rate edge.WeightRate, notBefore time.Time) *Budget {
	return &Budget{rate: rate, busyUntil: notBefore}
}

// SetRate replaces the store's rate and model sizes.
func (b *Budget) SetRate(r edge.WeightRate) { b.rate = r }

// LoadTime returns how long loading models takes at the store's rate.
func (b *Budget) LoadTime(models []string) time.Duration {
	if b.rate.BytesPerSecond <= 0 {
		return 0
	}
	var bytes int64
	for _, m := range models {
		bytes += b.modelBytes(m)
	}
	return time.Duration(float64(bytes) / float64(b.rate.BytesPerSecond) * float64(time.Second))
}

func (b *Budget) modelBytes(model string) int64 {
	for _, m := range b.rate.ModelBytes {
		if m.Model == model {
			return m.Bytes
		}
	}
	return defaultModelBytes
}

// MaxLoadTime returns how long loading the largest model takes.
func (b *Budget) MaxLoadTime() time.Duration {
	var longest time.Duration
	for _, m := range b.rate.ModelBytes {
		longest = max(longest, b.LoadTime([]string{m.Model}))
	}
	return longest
}

// Reserve grants a load, or returns when to ask again.
func (b *Budget) Reserve(now time.Time, endpoint string, models []string) LoadResult {
	load := b.LoadTime(models)
	if now.Before(b.busyUntil) {
		return LoadResult{RetryAfter: b.busyUntil.Sub(now), LoadTime: load}
	}
	invariant.Check(!now.Before(b.busyUntil), invariantBudget, "%s at %s", endpoint, now)
	b.busyUntil = now.Add(load)
	return LoadResult{Granted: true, LoadTime: load}
}
