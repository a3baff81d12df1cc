// Package breaker is a circuit breaker that keeps new requests off a failing
// endpoint: after several consecutive failures it opens for an increasing
// time, then lets single requests through until one succeeds.
package breaker

import "time"

const (
	// failuresToOpen is the number of consecutive failures that opens the
	// breaker.
	failuresToOpen = 3
	// minOpenDuration and maxOpenDuration bound how long the breaker stays
	// open.
	minOpenDuration = time.Second
	maxOpenDuration = 30 * time.Second
)

// State is the state of a Breaker.
type State string

// The states.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half_open"
)

// Breaker is the circuit breaker of one endpoint. The zero value is closed.
type Breaker struct {
	failures     int
	openDuration time.Duration
	openUntil    time.Time
	opened       bool
}

// State returns the state at a given time.
func (b *Breaker) State(now time.Time) State {
	switch {
	case !b.opened:
		return Closed
	case now.Before(b.openUntil):
		return Open
	default:
		return HalfOpen
	}
}

// ProbeAt returns when an open breaker becomes half open.
func (b *Breaker) ProbeAt() time.Time { return b.openUntil }

// RecordSuccess closes the breaker.
func (b *Breaker) RecordSuccess() { *b = Breaker{} }

// RecordFailure counts a failure and returns whether it opened the breaker.
// While the breaker is open, failures of earlier requests have no effect.
func (b *Breaker) RecordFailure(now time.Time) bool {
	if b.State(now) == Open {
		return false
	}
	b.failures++
	if b.failures < failuresToOpen && !b.opened {
		return false
	}
	b.opened = true
	b.openDuration = min(max(2*b.openDuration, minOpenDuration), maxOpenDuration)
	b.openUntil = now.Add(b.openDuration)
	return true
}
