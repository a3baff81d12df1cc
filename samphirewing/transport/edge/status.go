package edge

import (
	"net/http"

	"github.com/juju/errors"
)

// ErrorForStatus returns what an endpoint's HTTP status other than 2xx says of the
// work: ErrRejected when it was not taken, ErrFailed when it may have begun.
func ErrorForStatus(status int) errors.ConstError {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return ErrFailed
	}
	return ErrRejected
}
