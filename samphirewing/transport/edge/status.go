package edge

import (
	"net/http"

	"github.com/juju/errors"
)

// ErrorForStatus returns the error for an endpoint's HTTP status other than 2xx:
// ErrRejected if the work was not accepted, ErrFailed if it may have started.
func ErrorForStatus(status int) errors.ConstError {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return ErrFailed
	}
	return ErrRejected
}
