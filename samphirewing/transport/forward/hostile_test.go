package forward

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// endlessServer sends a prefix to each connection, then the same bytes until the
// peer closes the connection.
func endlessServer(t *testing.T, prefix, repeated string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				chunk := []byte(strings.Repeat(repeated, 1024))
				if _, err := conn.Write([]byte(prefix)); err != nil {
					return
				}
				for {
					if _, err := conn.Write(chunk); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// An endpoint in trouble may send header bytes without end. They must neither
// fill the memory nor hold the request until its deadline.
func TestEndlessHeadIsRejectedAtOnce(t *testing.T) {
	for name, server := range map[string][2]string{
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
		"one header line":  {"HTTP/1.1 200 OK\r\nX-Filler: ", "abcdefgh"},
		"status line":      {"HTTP/1.1 200 ", "OK OK OK"},
		"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: a\r\n\r\n"},
		"no protocol":      {"", "abcdefgh"},
		"stale answers":    {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"folded line ends": {"HTTP/1.1 200 OK\r\nX-A: b\r\n", " c\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const maxTime, maxHeapGrowthBytes = 2 * time.Second, 16 << 20
			address := endlessServer(t, server[0], server[1])
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), 2*maxTime)
			defer cancel()
			started := time.Now()
			_, err := newTestClient(t).Send(ctx, address, testRequest("1"))
			elapsed := time.Since(started)
			runtime.ReadMemStats(&after)
			assert.Assert(t, errors.Is(err, ErrIndeterminate), "%v", err)
			assert.Assert(t, elapsed < maxTime, "held for %v", elapsed)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxHeapGrowthBytes, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
		})
	}
}

// On a reused connection, an answer that does not name its request may be a late
// copy of an earlier one.
func TestUnnamedResponseOnReusedConnectionIsIndeterminate(t *testing.T) {
	unnamed := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"
	address, _ := scriptedServer(t, responseText("1", "x"), unnamed+responseText("2", "y"))
	c := newTestClient(t)
	assert.Equal(t, sendRequest(t, c, address, "1"), "x")
	_, err := c.Send(context.Background(), address, testRequest("2"))
	assert.Assert(t, errors.Is(err, ErrIndeterminate), "%v", err)
}

// A large head within the limit, and a body larger than it, are sound.
func TestLargeHeadAndBodyAreAccepted(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nX-Large: " + strings.Repeat("a", maxResponseHeadBytes/2) + "\r\n"
	body := strings.Repeat("b", 4*maxResponseHeadBytes)
	address, _ := scriptedServer(t, head+"Connection: close\r\n\r\n"+body)
	assert.Equal(t, sendRequest(t, newTestClient(t), address, "1"), body)
}

// Guards against a status that net/http refuses to write, and for which it panics,
// being passed on.
func TestStatusOutsideAllClassesIsIndeterminate(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "0", "20", "2000", "+20", "-20", "+200", "0x1", "", "two", "101"} {
		address, _ := scriptedServer(t, "HTTP/1.1 "+status+" Odd\r\nId: 1\r\nContent-Length: 1\r\n\r\nx")
		_, err := newTestClient(t).Send(context.Background(), address, testRequest("1"))
		assert.Assert(t, errors.Is(err, ErrIndeterminate), "%s: %v", status, err)
	}
}
