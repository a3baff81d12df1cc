// Package window limits how much work an endpoint holds, by tokens in flight
// that adapt to the first-token and inter-token times seen.
//
// Engines know no priorities: whatever waits inside one waits in order of
// arrival. A window just large enough to keep the engine busy leaves the
// waiting to the queue, where tiers count.
package window

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Settings are the bounds and goals of a window.
type Settings struct {
	Least   structs.Tokens
	Initial structs.Tokens
	Max     structs.Tokens
	// FirstTokenSlack is how much longer than its expected prefill a first
	// token may take before the window shrinks.
	FirstTokenSlack time.Duration
	// StepLimit is the longest time between tokens that is accepted.
	StepLimit time.Duration
}

// DefaultSettings suit engines of a few dozen concurrent requests.
var DefaultSettings = Settings{
	Least:           1 << 10,
	Initial:         12 << 10,
	Max:             1 << 20,
	FirstTokenSlack: 500 * time.Millisecond,
	StepLimit:       100 * time.Millisecond,
}

const (
	// growth is the share of an observed request that the window grows by.
	growth = 0.25
	// shrink is the factor of a cut.
	shrink = 0.85
	// usedShare is the share of the window that must be in use for it to
	// grow.
	usedShare = 0.8
	// cutInterval is the least time between two cuts, so that one crowded
	// moment counts once.
	cutInterval = time.Second
)

// Window is the limit of one endpoint.
// Invariant: Least <= size <= Most.
type Window struct {
	settings Settings
	size     structs.Tokens
	lastCut  time.Time
}

// New returns a window of the initial size.
func New(s Settings) Window { return Window{settings: s, size: s.Initial} }

// Size returns the limit in tokens.
func (w *Window) Size() structs.Tokens { return w.size }

// SetMax lowers or raises the upper bound, as when the endpoint tells how
// many tokens it can hold.
func (w *Window) SetMax(most structs.Tokens) {
	w.settings.Max = max(most, w.settings.Least)
	w.size = min(w.size, w.settings.Max)
}

// Bounds returns the least and the most that Size can be.
func (w *Window) Bounds() (least, most structs.Tokens) { return w.settings.Least, w.settings.Max }

// ObserveFirstToken adapts to a first token that came after took, when its prefill
// and what was ahead of it were expected to take that long.
func (w *Window) ObserveFirstToken(now time.Time, expected, took time.Duration, inFlight, request structs.Tokens) {
	if took > expected*3/2+w.settings.FirstTokenSlack {
		w.cut(now)
		return
	}
	w.grow(inFlight, request)
}

// ObserveStep adapts to the mean time between the tokens of an answer.
func (w *Window) ObserveStep(now time.Time, step time.Duration, inFlight, request structs.Tokens) {
	if step > w.settings.StepLimit {
		w.cut(now)
		return
	}
	w.grow(inFlight, request)
}

// ObserveQueued adapts to a fresh report that work waits inside the engine.
func (w *Window) ObserveQueued(now time.Time) { w.cut(now) }

func (w *Window) grow(inFlight, request structs.Tokens) {
	if float64(inFlight) < usedShare*float64(w.size) {
		return
	}
	step := structs.Tokens(growth * float64(request))
	w.size = min(w.size+max(step, 1), w.settings.Max)
}

func (w *Window) cut(now time.Time) {
	if now.Sub(w.lastCut) < cutInterval {
		return
	}
	w.lastCut = now
	w.size = max(structs.Tokens(shrink*float64(w.size)), w.settings.Least)
}
