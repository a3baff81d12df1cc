// Package window limits the work in flight on an endpoint, in tokens, and
// adapts the limit to the observed times to first token and between tokens.
//
// Engines have no priorities: requests queued inside an engine run in order of
// arrival. A window just large enough to keep the engine busy leaves the
// waiting to the queue, where tiers apply.
package window

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Settings are the bounds and targets of a window.
type Settings struct {
	Min     structs.Tokens
	Initial structs.Tokens
	Max     structs.Tokens
	// FirstTokenSlack is the time, in addition to 1.5 times the expected time,
	// that a first token may take before the window shrinks.
	FirstTokenSlack time.Duration
	// StepLimit is the maximum acceptable time between tokens.
	StepLimit time.Duration
}

// DefaultSettings suit engines with a few dozen concurrent requests.
var DefaultSettings = Settings{
	Min:             1 << 10,
	Initial:         12 << 10,
	Max:             1 << 20,
	FirstTokenSlack: 500 * time.Millisecond,
	StepLimit:       100 * time.Millisecond,
}

const (
	// growthShare is the share of an observed request's tokens by which the
	// window grows.
	growthShare = 0.25
	// shrinkFactor is the factor by which the window shrinks.
	shrinkFactor = 0.85
	// minUsedShare is the share of the window that must be in use for it to
	// grow.
	minUsedShare = 0.8
	// minShrinkInterval is the minimum time between two reductions, so that a
	// burst of late tokens counts once.
	minShrinkInterval = time.Second
)

// Window is the limit of one endpoint.
// Invariant: Min <= size <= Max.
type Window struct {
	settings   Settings
	size       structs.Tokens
	lastShrink time.Time
}

// New returns a window of the initial size.
func New(s Settings) Window { return Window{settings: s, size: s.Initial} }

// Size returns the limit in tokens.
func (w *Window) Size() structs.Tokens { return w.size }

// SetMax changes the upper bound, for example to the token capacity that the
// endpoint reports.
func (w *Window) SetMax(limit structs.Tokens) {
	w.settings.Max = max(limit, w.settings.Min)
	w.size = min(w.size, w.settings.Max)
}

// Bounds returns the minimum and maximum of Size.
func (w *Window) Bounds() (lower, upper structs.Tokens) { return w.settings.Min, w.settings.Max }

// ObserveFirstToken adapts the window to a time to first token; expected
// includes the prefill work ahead of the request.
func (w *Window) ObserveFirstToken(now time.Time, expected, elapsed time.Duration, inFlight, request structs.Tokens) {
	if elapsed > expected*3/2+w.settings.FirstTokenSlack {
		w.shrink(now)
		return
	}
	w.grow(inFlight, request)
}

// ObserveStep adapts the window to the mean time between the tokens of an
// answer.
func (w *Window) ObserveStep(now time.Time, step time.Duration, inFlight, request structs.Tokens) {
	if step > w.settings.StepLimit {
		w.shrink(now)
		return
	}
	w.grow(inFlight, request)
}

// ObserveQueued shrinks the window because a current load report shows
// requests queued inside the engine.
func (w *Window) ObserveQueued(now time.Time) { w.shrink(now) }

func (w *Window) grow(inFlight, request structs.Tokens) {
	if float64(inFlight) < minUsedShare*float64(w.size) {
		return
	}
	increase := structs.Tokens(growthShare * float64(request))
	w.size = min(w.size+max(increase, 1), w.settings.Max)
}

func (w *Window) shrink(now time.Time) {
	if now.Sub(w.lastShrink) < minShrinkInterval {
		return
	}
	w.lastShrink = now
	w.size = max(structs.Tokens(shrinkFactor*float64(w.size)), w.settings.Min)
}
