package fault

import (
	"io"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const errLost = errors.ConstError("answer lost; read it back")

func TestErrorMatchesKindAndCause(t *testing.T) {
	err := New(errLost, errors.Annotate(io.ErrUnexpectedEOF, "stream 3"))
	assert.Error(t, err, "answer lost; read it back: stream 3: unexpected EOF")
	assert.Assert(t, errors.Is(err, errLost))
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.Assert(t, errors.Is(errors.Annotate(err, "engine e1"), errLost))
	assert.Equal(t, New(errLost, nil), error(errLost))
	assert.Error(t, Newf(errLost, "status %d", 500), "answer lost; read it back: status 500")
}
