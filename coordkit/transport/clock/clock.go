// Package clock abstracts the system clock.
package clock

import "time"

// Clock returns the current time. The difference of two returned times must
// follow a monotonic clock, so that a step of the wall clock moves no deadline.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }
