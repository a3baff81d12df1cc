package edge

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestOnlyServerErrorsMeanWorkMayHaveStarted(t *testing.T) {
	for status, want := range map[int]errors.ConstError{
		302: ErrRejected, 400: ErrRejected, 404: ErrRejected, 429: ErrRejected, 503: ErrRejected,
		500: ErrFailed, 502: ErrFailed, 504: ErrFailed,
	} {
		assert.Equal(t, ErrorForStatus(status), want, "status %d", status)
	}
}

func TestScopedKeysOfTwoOrganisationsDiffer(t *testing.T) {
	assert.Assert(t, ScopedKey("medina", "k") != ScopedKey("pikine", "k"))
	assert.Equal(t, ScopedKey("medina", ""), "")
}
