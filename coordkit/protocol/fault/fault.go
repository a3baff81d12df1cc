// Package fault joins the kind of an error, which names the remedy, with its
// cause.
package fault

import (
	"fmt"

	"github.com/juju/errors"
)

// New returns an error whose message is the kind's followed by the cause's.
// errors.Is finds both. A nil cause gives the kind alone.
func New(kind errors.ConstError, cause error) error {
	if cause == nil {
		return kind
	}
	return fmt.Errorf("%w: %w", kind, cause)
}

// Newf is New with a formatted cause.
func Newf(kind errors.ConstError, format string, args ...any) error {
	return New(kind, errors.Errorf(format, args...))
}
