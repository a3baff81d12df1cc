package oneshot_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/transport/oneshot"
)

const testTimeout = 20 * time.Second

// disconnectPoint is the point of an exchange at which the server closes the
// connection.
type disconnectPoint int

const (
	disconnectAfterAccept disconnectPoint = iota
	disconnectInHeader
	disconnectAfterHeader
	disconnectInBody
	disconnectAfterBody
	disconnectInResponseHeader
	disconnectAfterResponseHeader
	disconnectInResponseBody
	noDisconnect
)

const (
	bodyBytes    = 100_000
	responseText = "confirmed"
)

// disconnectingServer closes every connection at one point and counts what it
// received.
type disconnectingServer struct {
	point    disconnectPoint
	reset    bool
	listener net.Listener
	done     sync.WaitGroup

	mu          sync.Mutex
	connections int
	bytes       int
	complete    int
}

func startDisconnectingServer(t *testing.T, point disconnectPoint, reset bool) *disconnectingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &disconnectingServer{point: point, reset: reset, listener: listener}
	s.done.Go(s.accept)
	t.Cleanup(s.stop)
	return s
}

func (s *disconnectingServer) url() string { return "http://" + s.listener.Addr().String() }

func (s *disconnectingServer) stop() {
	_ = s.listener.Close()
	s.done.Wait()
}

func (s *disconnectingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.mu.Unlock()
		s.handle(conn.(*net.TCPConn))
	}
}

func (s *disconnectingServer) handle(conn *net.TCPConn) {
	defer conn.Close()
	if s.reset {
		_ = conn.SetLinger(0)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	counting := &countingReader{server: s, from: conn}
	reader := bufio.NewReaderSize(counting, 256)
	if s.point == disconnectAfterAccept {
		return
	}
	if s.point == disconnectInHeader {
		_, _ = reader.ReadByte()
		return
	}
	request, err := http.ReadRequest(reader)
	if err != nil || s.point == disconnectAfterHeader {
		return
	}
	if s.point == disconnectInBody {
		_, _ = io.CopyN(io.Discard, request.Body, bodyBytes/2)
		return
	}
	if n, err := io.Copy(io.Discard, request.Body); err != nil || n != bodyBytes {
		return
	}
	s.mu.Lock()
	s.complete++
	s.mu.Unlock()
	_, _ = io.WriteString(conn, s.response())
}

// response returns the part of the response that is sent before the disconnect.
func (s *disconnectingServer) response() string {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(responseText)) + "\r\n\r\n"
	switch s.point {
	case disconnectAfterBody:
		return ""
	case disconnectInResponseHeader:
		return head[:20]
	case disconnectAfterResponseHeader:
		return head
	case disconnectInResponseBody:
		return head + responseText[:4]
	default:
		return head + responseText
	}
}

type countingReader struct {
	server *disconnectingServer
	from   io.Reader
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	c.server.mu.Lock()
	c.server.bytes += n
	c.server.mu.Unlock()
	return n, err
}

func send(t *testing.T, url string, options oneshot.Options) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := oneshot.New(url, options).Send(ctx, oneshot.Request{
		Method: http.MethodPost,
		Path:   "/v1/call",
		Header: http.Header{"Idempotency-Key": {"k1"}},
		Body:   []byte(strings.Repeat("x", bodyBytes)),
	})
	if err != nil {
		return "", err
	}
	data, err := response.ReadAll(1 << 20)
	return string(data), err
}

func TestRequestArrivesAtMostOnceWithDisconnects(t *testing.T) {
	for point := disconnectAfterAccept; point <= noDisconnect; point++ {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("point %d reset %v", point, reset), func(t *testing.T) {
				server := startDisconnectingServer(t, point, reset)
				answer, err := send(t, server.url(), oneshot.Options{})
				server.stop()
				assert.Equal(t, server.connections, 1)
				assert.Assert(t, server.complete <= 1)
				if point == noDisconnect && !reset {
					assert.NilError(t, err)
					assert.Equal(t, answer, responseText)
					return
				}
				if err == nil {
					// The client may still read the complete response after a reset.
					assert.Assert(t, point == noDisconnect && answer == responseText)
					return
				}
				checkErrorMatchesReceived(t, server, err)
			})
		}
	}
}

// checkErrorMatchesReceived checks that the error is ErrNotSent only if the server
// received nothing, and ErrIndeterminate otherwise.
func checkErrorMatchesReceived(t *testing.T, server *disconnectingServer, err error) {
	t.Helper()
	if errors.Is(err, oneshot.ErrNotSent) {
		assert.Equal(t, server.bytes, 0)
		return
	}
	assert.Assert(t, errors.Is(err, oneshot.ErrIndeterminate), "%v", err)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	server, err := netfault.Start("", nil)
	assert.NilError(t, err)
	defer server.Close()
	assert.NilError(t, server.SetRefuse(true))
	_, err = send(t, server.URL(), oneshot.Options{})
	assert.Assert(t, errors.Is(err, oneshot.ErrNotSent), "%v", err)
}

func TestInvalidAddressIsNotSent(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:80", "https://127.0.0.1:80", "http://127.0.0.1"} {
		_, err := send(t, url, oneshot.Options{})
		assert.Assert(t, errors.Is(err, oneshot.ErrNotSent), "%q: %v", url, err)
	}
}

func TestCancelledContextIsNotSent(t *testing.T) {
	server := startDisconnectingServer(t, noDisconnect, false)
	ctx, cancel := context.WithCancel(context.Background())
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := net.Dial("tcp", address)
		cancel()
		return conn, err
	}
	client := oneshot.New(server.url(), oneshot.Options{Dial: dial})
	_, err := client.Send(ctx, oneshot.Request{Method: http.MethodPost, Path: "/"})
	assert.Assert(t, errors.Is(err, oneshot.ErrNotSent), "%v", err)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	server.stop()
	assert.Equal(t, server.bytes, 0)
}

func TestUnresponsiveServerIsIndeterminate(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	_, err = send(t, "http://"+listener.Addr().String(), oneshot.Options{
		WriteTimeout:  100 * time.Millisecond,
		HeaderTimeout: 100 * time.Millisecond,
	})
	assert.Assert(t, errors.Is(err, oneshot.ErrIndeterminate), "%v", err)
}

func TestInvalidResponsesAreIndeterminate(t *testing.T) {
	for name, answer := range map[string]string{
		"header flood":   "HTTP/1.1 200 OK\r\nX-Filler: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"no HTTP":        "hello\r\n\r\n",
		"interim status": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"bad chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"too long":       "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 2<<20),
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, answer)
				}
			}()
			_, err = send(t, "http://"+listener.Addr().String(), oneshot.Options{})
			assert.Assert(t, errors.Is(err, oneshot.ErrIndeterminate), "%v", err)
		})
	}
}

func TestCancelEndsAnOpenResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	client := oneshot.New("http://"+listener.Addr().String(), oneshot.Options{})
	response, err := client.Send(ctx, oneshot.Request{Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	cancel()
	_, err = response.ReadAll(10)
	assert.Assert(t, errors.Is(err, oneshot.ErrIndeterminate), "%v", err)
}
