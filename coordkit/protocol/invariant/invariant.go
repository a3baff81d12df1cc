// Package invariant checks conditions that must hold in every run.
//
// A violation panics under test, so that a run stops at the first one. In
// production it is counted and reported to an observer, so that a fault in one
// request does not end a process that serves thousands.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Name identifies an invariant in events, metrics and traces.
type Name string

// Violation describes one observed violation.
type Violation struct {
	Name   Name
	Detail string
}

// Error makes a Violation usable as an error and as a panic value.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s broken: %s; report this with the trace of the run", v.Name, v.Detail)
}

var (
	violations atomic.Int64
	observer   atomic.Pointer[func(Violation)]
)

// Observe sets the function that receives violations in production. It replaces
// any earlier one and is safe for concurrent use.
func Observe(f func(Violation)) { observer.Store(&f) }

// Violations returns how many violations this process has counted.
func Violations() int64 { return violations.Load() }

// Check reports a Violation of the named invariant when ok is false. It returns
// ok, so that the caller can skip the step that relies on the condition.
func Check(ok bool, name Name, format string, args ...any) bool {
	if ok {
		return true
	}
	report(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	return false
}

func report(v Violation) {
	violations.Add(1)
	if testing.Testing() {
		panic(v)
	}
	if f := observer.Load(); f != nil {
		(*f)(v)
	}
}
