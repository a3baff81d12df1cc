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

// cutPoint is where the server cuts the connection.
type cutPoint int

const (
	cutAfterAccept cutPoint = iota
	cutInHeader
	cutAfterHeader
	cutInBody
	cutAfterBody
	cutInAnswerHeader
	cutAfterAnswerHeader
	cutInAnswerBody
	cutNowhere
)

const (
	bodyBytes  = 100_000
	answerText = "confirmed"
)

// cutServer cuts every connection at one point and counts what arrived.
type cutServer struct {
	point    cutPoint
	reset    bool
	listener net.Listener
	done     sync.WaitGroup

	mu          sync.Mutex
	connections int
	bytes       int
	whole       int
}

func startCutServer(t *testing.T, point cutPoint, reset bool) *cutServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &cutServer{point: point, reset: reset, listener: listener}
	s.done.Go(s.accept)
	t.Cleanup(s.stop)
	return s
}

func (s *cutServer) url() string { return "http://" + s.listener.Addr().String() }

func (s *cutServer) stop() {
	_ = s.listener.Close()
	s.done.Wait()
}

func (s *cutServer) accept() {
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

func (s *cutServer) handle(conn *net.TCPConn) {
	defer conn.Close()
	if s.reset {
		_ = conn.SetLinger(0)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	counted := &countingReader{server: s, from: conn}
	reader := bufio.NewReaderSize(counted, 256)
	if s.point == cutAfterAccept {
		return
	}
	if s.point == cutInHeader {
		_, _ = reader.ReadByte()
		return
	}
	request, err := http.ReadRequest(reader)
	if err != nil || s.point == cutAfterHeader {
		return
	}
	if s.point == cutInBody {
		_, _ = io.CopyN(io.Discard, request.Body, bodyBytes/2)
		return
	}
	if n, err := io.Copy(io.Discard, request.Body); err != nil || n != bodyBytes {
		return
	}
	s.mu.Lock()
	s.whole++
	s.mu.Unlock()
	_, _ = io.WriteString(conn, s.answer())
}

// answer returns as much of the answer as the cut point lets through.
func (s *cutServer) answer() string {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(answerText)) + "\r\n\r\n"
	switch s.point {
	case cutAfterBody:
		return ""
	case cutInAnswerHeader:
		return head[:20]
	case cutAfterAnswerHeader:
		return head
	case cutInAnswerBody:
		return head + answerText[:4]
	default:
		return head + answerText
	}
}

type countingReader struct {
	server *cutServer
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

func TestCutAtEachPointArrivesAtMostOnce(t *testing.T) {
	for point := cutAfterAccept; point <= cutNowhere; point++ {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("point %d reset %v", point, reset), func(t *testing.T) {
				server := startCutServer(t, point, reset)
				answer, err := send(t, server.url(), oneshot.Options{})
				server.stop()
				assert.Equal(t, server.connections, 1)
				assert.Assert(t, server.whole <= 1)
				if point == cutNowhere && !reset {
					assert.NilError(t, err)
					assert.Equal(t, answer, answerText)
					return
				}
				if err == nil {
					// A reset may still leave the whole answer readable.
					assert.Assert(t, point == cutNowhere && answer == answerText)
					return
				}
				checkKind(t, server, err)
			})
		}
	}
}

// checkKind checks that ErrNotSent is only said when nothing arrived.
func checkKind(t *testing.T, server *cutServer, err error) {
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
	assert.NilError(t, server.Refuse(true))
	_, err = send(t, server.URL(), oneshot.Options{})
	assert.Assert(t, errors.Is(err, oneshot.ErrNotSent), "%v", err)
}

func TestUnusableAddressIsNotSent(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:80", "https://127.0.0.1:80", "http://127.0.0.1"} {
		_, err := send(t, url, oneshot.Options{})
		assert.Assert(t, errors.Is(err, oneshot.ErrNotSent), "%q: %v", url, err)
	}
}

func TestEndedContextIsNotSent(t *testing.T) {
	server := startCutServer(t, cutNowhere, false)
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

func TestSilentServerBreaksTheAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	_, err = send(t, "http://"+listener.Addr().String(), oneshot.Options{
		WriteTimeout:  100 * time.Millisecond,
		HeaderTimeout: 100 * time.Millisecond,
	})
	assert.Assert(t, errors.Is(err, oneshot.ErrIndeterminate), "%v", err)
}

func TestAnswersThatBreakTheRulesAreBroken(t *testing.T) {
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

func TestContextEndsAnOpenAnswer(t *testing.T) {
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
