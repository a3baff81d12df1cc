package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// Whatever an endpoint sends, reading its answer must not panic, and an answer
// that names another request is never returned.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(responseText("1", "x")), true)
	f.Add([]byte(responseText("2", "stale")+responseText("1", "x")), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n\r\n"), true)
	c := New(Options{RequestIDHeader: "Id"})
	f.Fuzz(func(t *testing.T, answer []byte, fresh bool) {
		limited := &limitedReader{Reader: bytes.NewReader(answer)}
		conn := &connection{limit: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), fresh: fresh}
		response, err := c.readResponse(conn, &http.Request{Method: http.MethodPost}, "1")
		if err != nil {
			return
		}
		if got := response.Header.Get("Id"); got != "1" && (got != "" || !fresh) {
			t.Fatalf("took the answer of request %q", got)
		}
	})
}
