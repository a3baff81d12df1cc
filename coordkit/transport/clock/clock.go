// Package clock separates code that needs the time from the machine's clock.
package clock

import "time"

// Clock tells the time. Implementations return times whose differences follow
// a monotonic clock, so that a step of the wall clock moves no deadline.
type Clock interface {
	Now() time.Time
}

// System is the machine's clock.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }
