package platformclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/state/eventlog"
)

// answer serves one status and body for everything.
func answer(t testing.TB, status int, body string) *Log {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return NewLog(server.URL, Options{})
}

func TestReadsThatBreakThePromisesAreRefused(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":       `hello`,
		"no offsets":     `{}`,
		"oldest > next":  `{"oldest":5,"next":3}`,
		"other place":    `{"oldest":1,"next":9,"records":[{"offset":4}]}`,
		"gap":            `{"oldest":1,"next":9,"records":[{"offset":3},{"offset":5}]}`,
		"beyond the end": `{"oldest":1,"next":3,"records":[{"offset":3}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := answer(t, http.StatusOK, body).Read(context.Background(), "s", 3, 10)
			assert.Assert(t, errors.Is(err, eventlog.ErrUnavailable), "%v", err)
		})
	}
}

func TestAnswersToAppendsAreToldApart(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusOK, `{"offset":7}`, nil},
		{http.StatusOK, `{"offset":0}`, eventlog.ErrFateUnknown},
		{http.StatusOK, `{"off`, eventlog.ErrFateUnknown},
		{http.StatusInternalServerError, ``, eventlog.ErrFateUnknown},
		{http.StatusServiceUnavailable, ``, eventlog.ErrUnavailable},
		{http.StatusBadRequest, ``, eventlog.ErrUnavailable},
	} {
		offset, err := answer(t, c.status, c.body).Append(context.Background(), "s", []byte("x"))
		if c.want == nil {
			assert.NilError(t, err)
			assert.Equal(t, offset, eventlog.Offset(7))
			continue
		}
		assert.Assert(t, errors.Is(err, c.want), "%d %s: %v", c.status, c.body, err)
		assert.ErrorContains(t, err, c.want.Error())
	}
}
