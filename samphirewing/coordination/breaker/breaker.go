// Package breaker keeps new work off an endpoint that fails: after several
// failures in a row it opens for a growing time, then lets single requests
// through until one succeeds.
package breaker

import "time"

const (
	// failuresToOpen is how many failures in a row open the breaker.
	failuresToOpen = 3
	// firstPause and longestPause bound how long it stays open.
	firstPause   = time.Second
	longestPause = 30 * time.Second
)

// State of a Breaker.
type State string

// The states.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half_open"
)

// Breaker judges one endpoint. The zero value is closed.
type Breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	opened   bool
}

// State returns the state at a time.
func (b *Breaker) State(now time.Time) State {
	switch {
	case !b.opened:
		return Closed
	case now.Before(b.until):
		return Open
	default:
		return HalfOpen
	}
}

// ProbeAt returns when an open breaker turns half open.
func (b *Breaker) ProbeAt() time.Time { return b.until }

// RecordSuccess closes the breaker.
func (b *Breaker) RecordSuccess() { *b = Breaker{} }

// RecordFailure counts a failure and returns whether it opened the breaker.
// Failures of requests that were sent before it opened change nothing.
func (b *Breaker) RecordFailure(now time.Time) bool {
	if b.State(now) == Open {
		return false
	}
	b.failures++
	if b.failures < failuresToOpen && !b.opened {
		return false
	}
	b.opened = true
	b.pause = min(max(2*b.pause, firstPause), longestPause)
	b.until = now.Add(b.pause)
	return true
}
