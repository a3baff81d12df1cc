// Package invariant checks conditions that must hold in every run.
//
// A breach panics under test, so that a run stops at the first one, and is
// counted and reported to an observer in production, so that one request's
// fault does not end the process that holds thousands.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Name identifies one invariant in events, metrics and traces.
type Name string

// Violation describes one observed violation.
type Violation struct {
	Name   Name
	Detail string
}

// Error makes a Breach usable as an error and as a panic value.
func (b Violation) Error() string {
	return fmt.Sprintf("invariant %s broken: %s; report this with the trace of the run", b.Name, b.Detail)
}

var (
	breaches atomic.Int64
	observer atomic.Pointer[func(Violation)]
)

// Observe installs the function that production breaches are reported to.
// It replaces any earlier one and may be called from several goroutines.
func Observe(f func(Violation)) { observer.Store(&f) }

// Violations returns how many violations this process has counted.
func Violations() int64 { return breaches.Load() }

// Check reports a Breach of name when ok is false. It returns ok, so that the
// caller can refuse the step that would act on the broken condition.
func Check(ok bool, name Name, format string, args ...any) bool {
	if ok {
		return true
	}
	report(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	return false
}

func report(b Violation) {
	breaches.Add(1)
	if testing.Testing() {
		panic(b)
	}
	if f := observer.Load(); f != nil {
		(*f)(b)
	}
}
