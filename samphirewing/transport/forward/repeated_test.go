package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against a refusal that an endpoint writes once more on a kept connection being
// taken for the answer to the next request, whatever its status and body, whether it
// comes before or while that request is written, and whether the refusal itself was
// read to its end, which is what lets the pool keep the connection.
func TestRepeatedRefusalIsNotTheNextAnswer(t *testing.T) {
	const ownAnswer = "own"
	for _, status := range []int{400, 408, 421, 429, 500, 503} {
		for _, body := range []string{"", "full"} {
			for _, id := range []string{"Id: 1\r\n", ""} {
				for _, early := range []bool{true, false} {
					t.Run(fmt.Sprintf("%d/body %q/id %q/early %v", status, body, id, early), func(t *testing.T) {
						named := fmt.Sprintf("HTTP/1.1 %d Refused\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
						repeated := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
						responses := []string{named, repeated + responseText("2", ownAnswer)}
						if early {
							responses = []string{named + repeated, responseText("2", ownAnswer)}
						}
						address, requests := scriptedServer(t, responses...)
						c := newTestClient(t)
						first, err := c.Send(context.Background(), address, testRequest("1"))
						assert.NilError(t, err)
						assert.Equal(t, first.Status, status)
						_, err = io.ReadAll(first.Body)
						assert.NilError(t, err)
						assert.NilError(t, first.Body.Close())
						if early {
							// The copy arrives after the connection has been kept.
							time.Sleep(5 * time.Millisecond)
						}
						second, err := c.Send(context.Background(), address, testRequest("2"))
						if err != nil {
							assert.Assert(t, errors.Is(err, ErrIndeterminate), "%v", err)
							assert.Assert(t, !early && id == "", "a copy that names its request is skipped: %v", err)
							assert.Equal(t, len(requests), 2)
							return
						}
						defer second.Body.Close()
						text, err := io.ReadAll(second.Body)
						assert.NilError(t, err)
						assert.Equal(t, second.Status, http.StatusOK)
						assert.Equal(t, string(text), ownAnswer)
					})
				}
			}
		}
	}
}

// cutServer sends the beginning of a response to each request and ends the connection,
// with a reset if reset is set.
func cutServer(t *testing.T, response string, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// The client writes its small requests at once.
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, response)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer that stops within its head, its chunks or its trailer being
// taken for a whole one, at any byte, with and without a reset.
func TestAnswerCutAnywhereIsIncomplete(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
		chunks  = "4\r\nid: \r\n1f;ext=1\r\n1\ndata: 0123456789abcdefghijkl\n\r\n0\r\n"
	)
	for name, whole := range map[string]string{
		"length":                   head + "Content-Length: 4\r\n\r\nbody",
		"length, after an interim": interim + head + "Content-Length: 4\r\n\r\nbody",
		"chunks":                   head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"chunks, with a trailer":   head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" + chunks + "Sum: 1\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %v", name, reset), func(t *testing.T) {
				for cut := range len(whole) {
					answer, err := newTestClient(t).Send(context.Background(), cutServer(t, whole[:cut], reset), testRequest("1"))
					if err == nil {
						_, err = io.ReadAll(answer.Body)
						_ = answer.Body.Close()
					}
					assert.Assert(t, errors.Is(err, ErrIndeterminate), "cut after %q: %v", whole[:cut], err)
				}
				if !reset {
					assert.Assert(t, len(sendRequest(t, newTestClient(t), cutServer(t, whole, false), "1")) > 0)
				}
			})
		}
	}
}
