package httplimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
)

func serve(t *testing.T, l Limits, h func(g *Guard, w http.ResponseWriter, r *http.Request)) (*Guard, string) {
	g := NewGuard(l, nil, nil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h(g, w, r) })}
	g.Install(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	// Serve returns when the server is closed.
	go func() { _ = server.Serve(g.CallerListener(listener)) }()
	t.Cleanup(func() { server.Close() })
	return g, listener.Addr().String()
}

func inUse(g *Guard) (total int64) {
	for c := memorybudget.Bulk; c <= memorybudget.Exchange; c++ {
		total += g.account.Used(c)
	}
	return total
}

// Guards against a body of the largest size being refused or changed when nothing else
// uses the memory of the smallest daemon.
func TestLargestBodyIsReadCompletely(t *testing.T) {
	const size = 4 << 20
	g, address := serve(t, Limits{MemoryBytes: 160 << 20, MaxBodyBytes: size}, func(g *Guard, w http.ResponseWriter, r *http.Request) {
		body, err := g.ReadBody(w, r, size)
		defer body.Release()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(body.Data)
	})
	sent := make([]byte, size)
	for i := range sent {
		// The period of 251 tells the segments apart.
		sent[i] = byte(i % 251)
	}
	for name, body := range map[string]io.Reader{"announced": bytes.NewReader(sent), "chunked": io.MultiReader(bytes.NewReader(sent))} {
		response, err := http.Post("http://"+address, "text/plain", body)
		assert.NilError(t, err, name)
		received, err := io.ReadAll(response.Body)
		response.Body.Close()
		assert.NilError(t, err, name)
		assert.Assert(t, response.StatusCode == http.StatusOK && bytes.Equal(received, sent), "%s: status %d, %d bytes", name, response.StatusCode, len(received))
	}
	http.DefaultClient.CloseIdleConnections()
	for deadline := time.Now().Add(5 * time.Second); inUse(g) != 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes stay reserved", inUse(g))
	}
}

// Guards against a response that was not read in time looking complete, and against
// its writer waiting for the caller.
func TestUnreadResponseIsNotComplete(t *testing.T) {
	wrote := make(chan error, 1)
	g, address := serve(t, Limits{MemoryBytes: 160 << 20, UnreadTimeout: time.Second}, func(g *Guard, w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		response := g.NewResponse(w, r, false)
		var err error
		for piece := bytes.Repeat([]byte("x"), 64<<10); err == nil; {
			err = response.Write(piece)
		}
		wrote <- err
		if response.Finish() != nil {
			panic(http.ErrAbortHandler)
		}
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	select {
	case err := <-wrote:
		assert.ErrorIs(t, err, memorybudget.ErrUnread)
	case <-time.After(20 * time.Second):
		t.Fatal("the writer still waits for a caller that does not read")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil, "the response looks complete")
	for deadline := time.Now().Add(5 * time.Second); g.account.Used(memorybudget.Response) != 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "memory stays reserved")
	}
}

// Guards against the heads of requests that are never completed taking the memory that
// the heads of ordinary requests need.
func TestUnfinishedHeadsGiveWay(t *testing.T) {
	g, address := serve(t, Limits{MemoryBytes: 4 << 20, MaxConnections: 200}, func(_ *Guard, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	head := "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 60<<10)
	for range 40 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		// A refused connection may be closed while it is written to.
		_, _ = io.WriteString(conn, head)
	}
	time.Sleep(evictableAfter + 200*time.Millisecond)
	assert.Assert(t, inUse(g) > 900<<10, "%d bytes of 1 MiB are in use", inUse(g))
	request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	assert.NilError(t, err)
	request.Header.Set("X-Long", strings.Repeat("y", 50<<10))
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a slow body holding its connection, and against a response to it
// that does not say that the request was not run.
func TestSlowBodyGets408(t *testing.T) {
	_, address := serve(t, Limits{BodyTimeout: 300 * time.Millisecond}, func(g *Guard, w http.ResponseWriter, r *http.Request) {
		_, err := g.ReadBody(w, r, 100)
		w.WriteHeader(err.(*BodyError).Status)
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nx")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, response.Close)
}

// Guards the body reader against any chunking: what it returns is what was sent, at
// most the limit, and all memory is returned.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), 0)
	f.Add([]byte("1;a=b\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n"), 0)
	f.Add([]byte("ffffffffffffffff\r\n"), 0)
	f.Add([]byte(strings.Repeat("x", 9000)), 9000)
	f.Add([]byte("short"), 10)
	f.Fuzz(func(t *testing.T, sent []byte, length int) {
		const limit = 64 << 10
		head := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		if length > 0 {
			head = fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
		}
		parse := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(sent))))
			assert.NilError(t, err)
			r.RemoteAddr = "127.0.0.1:1"
			return r
		}
		want, wantErr := io.ReadAll(io.LimitReader(parse().Body, limit+1))
		g := NewGuard(Limits{MemoryBytes: 160 << 20}, nil, nil)
		body, err := g.ReadBody(httptest.NewRecorder(), parse(), limit)
		if accepted := wantErr == nil && len(want) <= limit; accepted != (err == nil) {
			t.Fatalf("accepted %v, error %v", accepted, err)
		}
		if err == nil && !bytes.Equal(body.Data, want) {
			t.Fatalf("read %d bytes, sent %d", len(body.Data), len(want))
		}
		if g.account.Used(memorybudget.Bulk)+g.account.Used(memorybudget.Ordinary) > 4*limit {
			t.Fatal("more is reserved than the body needs")
		}
		body.Release()
		if used := inUse(g); used != 0 {
			t.Fatalf("%d bytes stay reserved", used)
		}
	})
}
