// Package fault combines the kind of an error, whose text names the remedy,
// with its cause.
package fault

import (
	"fmt"

	"github.com/juju/errors"
)

// New returns an error whose message is that of kind followed by that of cause.
// errors.Is matches both. With a nil cause it returns kind.
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
