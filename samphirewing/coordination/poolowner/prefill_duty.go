package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// prefillDuty is a moving average of the share of an endpoint's time that is
// spent on prefill.
// Invariant: 0 <= share <= maxPrefillDuty.
type prefillDuty struct {
	share      float64
	observedAt time.Time
	// prefilled is the endpoint's prefill total at observedAt.
	prefilled structs.Tokens
}

const (
	// prefillDutySmoothing is the weight of the newest interval.
	prefillDutySmoothing = 0.3
	// maxPrefillDuty bounds the share, so that step times stay finite.
	maxPrefillDuty = 0.75
)

// observe updates the share with the prefill total at the given time.
func (d *prefillDuty) observe(now time.Time, prefilled structs.Tokens, rate float64) {
	if !d.observedAt.IsZero() && now.After(d.observedAt) {
		share := float64(prefilled-d.prefilled) / rate / now.Sub(d.observedAt).Seconds()
		d.share += prefillDutySmoothing * (min(share, maxPrefillDuty) - d.share)
	}
	d.observedAt = now
	d.prefilled = prefilled
}

// wallTime returns how long decoding takes when prefill interrupts it.
func (d *prefillDuty) wallTime(decoding time.Duration) time.Duration {
	return time.Duration(float64(decoding) / (1 - d.share))
}

// stepTime is the expected time between tokens on an endpoint with the given
// number of running requests, including interruptions by prefill.
func (e *endpoint) stepTime(running int) time.Duration {
	return e.prefillDuty.wallTime(e.speed.Step(running))
}
