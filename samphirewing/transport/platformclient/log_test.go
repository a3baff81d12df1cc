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
	"github.com/samphirewing/samphirewing/transport/jsoncall"
)

// newTestLog returns a client of a server that answers every request with the given
// status and body.
func newTestLog(t testing.TB, status int, body string) *Log {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return NewLog(server.URL, Options{})
}

func TestInvalidBatchesAreRejected(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":       `hello`,
		"no offsets":     `{}`,
		"oldest > next":  `{"oldest":5,"next":3}`,
		"other place":    `{"oldest":1,"next":9,"records":[{"offset":4}]}`,
		"gap":            `{"oldest":1,"next":9,"records":[{"offset":3},{"offset":5}]}`,
		"beyond the end": `{"oldest":1,"next":3,"records":[{"offset":3}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newTestLog(t, http.StatusOK, body).Read(context.Background(), "s", 3, 10)
			assert.Assert(t, errors.Is(err, eventlog.ErrUnavailable), "%v", err)
		})
	}
}

func TestAppendErrorKinds(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusOK, `{"offset":7}`, nil},
		{http.StatusOK, `{"offset":0}`, eventlog.ErrIndeterminate},
		{http.StatusOK, `{"off`, eventlog.ErrIndeterminate},
		{http.StatusInternalServerError, ``, eventlog.ErrIndeterminate},
		{http.StatusServiceUnavailable, ``, eventlog.ErrUnavailable},
		{http.StatusBadRequest, ``, eventlog.ErrUnavailable},
	} {
		offset, err := newTestLog(t, c.status, c.body).Append(context.Background(), "s", []byte("x"))
		if c.want == nil {
			assert.NilError(t, err)
			assert.Equal(t, offset, eventlog.Offset(7))
			continue
		}
		assert.Assert(t, errors.Is(err, c.want), "%d %s: %v", c.status, c.body, err)
		assert.ErrorContains(t, err, c.want.Error())
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"oldest":1,"next":9,"records":[{"offset":3,"data":"eA=="},{"offset":4}]}`), int64(3))
	f.Add([]byte(`{"oldest":1,"next":1}`), int64(1))
	f.Add([]byte(`{"oldest":9223372036854775807,"next":9223372036854775807,"records":[{"offset":-1}]}`), int64(-1))
	f.Fuzz(func(t *testing.T, data []byte, from int64) {
		batch, err := decodeBatch(jsoncall.Response{Status: http.StatusOK, Body: data}, eventlog.Offset(from))
		if err != nil {
			return
		}
		assert.Assert(t, 1 <= batch.Oldest && batch.Oldest <= batch.Next)
		for i, r := range batch.Records {
			assert.Equal(t, r.Offset, eventlog.Offset(from)+eventlog.Offset(i))
			assert.Assert(t, batch.Oldest <= r.Offset && r.Offset < batch.Next)
		}
	})
}
