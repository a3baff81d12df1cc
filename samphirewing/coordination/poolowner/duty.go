package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// dutyMeter is the share of an endpoint's time that goes into prompts.
// Invariant: 0 <= share <= dutyMost.
type dutyMeter struct {
	share     float64
	at        time.Time
	prefilled structs.Tokens
}

const (
	// dutySmoothing is the weight of the newest interval.
	dutySmoothing = 0.3
	// dutyMost bounds the share, so that a step never seems endless.
	dutyMost = 0.75
)

// observe takes in the prompt work done up to now.
func (d *dutyMeter) observe(now time.Time, prefilled structs.Tokens, rate float64) {
	if !d.at.IsZero() && now.After(d.at) {
		share := float64(prefilled-d.prefilled) / rate / now.Sub(d.at).Seconds()
		d.share += dutySmoothing * (min(share, dutyMost) - d.share)
	}
	d.at = now
	d.prefilled = prefilled
}

// stretch returns how long decoding takes beside the prompts.
func (d *dutyMeter) stretch(decoding time.Duration) time.Duration {
	return time.Duration(float64(decoding) / (1 - d.share))
}

// step is the expected time between tokens on an endpoint when so many
// requests run, with the prompts that interrupt them.
func (e *endpoint) step(running int) time.Duration {
	return e.duty.stretch(e.speed.Step(running))
}
