// Package stopping decides what becomes of requests while their daemon stops.
//
// The load that it handles: callers keep a daemon's address for seconds after it has
// left the directory, and requests wait for a slot behind others that run for longer
// than the daemon. A request that has been sent nowhere can be refused truthfully at
// any time, and its caller has the most of the refusal while there is time to run
// elsewhere. One that ends before the exit must not be turned away, since its caller
// would wait from the start again.
package stopping

import "time"

const (
	// exitMargin is how long before the end of its grace a stopping daemon is to exit,
	// exitMarginMin how long before it exits although callers have not taken all answers.
	exitMargin    = 400 * time.Millisecond
	exitMarginMin = 200 * time.Millisecond
	// AnswerMargin is the time in which a request that ends by its deadline, or with the
	// daemon, is answered.
	AnswerMargin = 200 * time.Millisecond
	// durationSpread is how much longer than the mean of its pool a request is
	// expected to take at most.
	durationSpread = 1.5
	// RetryAfter is the time after which the caller of a refused request is to come
	// back: enough to look up another address.
	RetryAfter = 20 * time.Millisecond
	// retrySpacing is the time between the returns of two callers that are refused at
	// once.
	retrySpacing = time.Millisecond
)

// Schedule is the course of a stop. The zero value is that of a daemon that goes on.
type Schedule struct {
	// RefuseAfter is when requests that may outlast the daemon are no longer accepted.
	RefuseAfter time.Time
	// AddressUntil is until when callers may have the daemon's address.
	AddressUntil time.Time
	// ExitAt is when the process exits, Latest when it does so although callers have not
	// taken all answers.
	ExitAt, Latest time.Time
}

// New returns the schedule of a stop that begins now and whose process is killed after
// the grace. All requests are accepted for a time, and callers keep the address for
// another.
func New(now time.Time, grace, accept, address time.Duration) Schedule {
	return Schedule{
		RefuseAfter: now.Add(accept), AddressUntil: now.Add(address), ExitAt: now.Add(grace - exitMargin), Latest: now.Add(grace - exitMarginMin),
	}
}

// Begun reports whether the daemon stops.
func (s Schedule) Begun() bool { return !s.ExitAt.IsZero() }

// RefusesNew reports whether a request that has just been read is refused, since the
// process may exit before it is answered.
func (s Schedule) RefusesNew(now, deadline time.Time) bool {
	return s.outlastedBy(deadline) && now.After(s.RefuseAfter)
}

// RefusesUnsent reports whether a request that has been sent nowhere is refused. The
// mean duration of its pool's requests is zero if unknown. The second half of the time
// between RefuseAfter and ExitAt is left to requests that run longer than the mean.
func (s Schedule) RefusesUnsent(now, deadline time.Time, mean time.Duration) bool {
	if !s.outlastedBy(deadline) {
		return false
	}
	latest := s.RefuseAfter.Add(s.ExitAt.Sub(s.RefuseAfter) / 2)
	expected := s.EndAt().Add(-time.Duration(durationSpread * float64(mean)))
	return now.After(latest) || now.After(expected)
}

// EndAt returns when requests that are still in progress are ended.
func (s Schedule) EndAt() time.Time { return s.ExitAt.Add(-AnswerMargin) }

// RetryAfterOf returns when the n-th caller, from 0, of those that are refused at once
// is to come back. They return in that order, and not all at the same moment.
func RetryAfterOf(n int) time.Duration { return RetryAfter + time.Duration(n)*retrySpacing }

// outlastedBy reports whether a request may end after the process exits.
func (s Schedule) outlastedBy(deadline time.Time) bool {
	return s.Begun() && deadline.After(s.EndAt())
}
