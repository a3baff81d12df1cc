package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// idleTimeoutFraction is the fraction of an endpoint's Keep-Alive timeout during
// which a connection is reused. The margin avoids sending a request while the
// endpoint closes the connection.
const idleTimeoutFraction = 0.7

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

type connection struct {
	net.Conn
	address string
	// limit bounds what reader reads from Conn while a head is read.
	limit  *limitedReader
	reader *bufio.Reader
	// responseStart is the position in the received bytes at which the response
	// to the current request begins.
	responseStart int64
	// fresh is true until the connection has served a request.
	fresh bool
	// connectTime is zero once a request has been served.
	connectTime time.Duration
	// peer is the key of the process at the other end; zero if it was not asked.
	// identified is set if it has said so. openedAt is before the process accepted the
	// connection.
	peer       uint64
	identified bool
	openedAt   time.Time
	// expires is when an idle connection may no longer be reused.
	expires   time.Time
	closeOnce sync.Once
}

// errHeadTooLarge is the error of a read over the limit.
const errHeadTooLarge = errors.ConstError("the head of the answer is over the limit")

// beginResponse marks the next unread byte as the first of a response.
func (c *connection) beginResponse() { c.responseStart = c.limit.total - int64(c.reader.Buffered()) }

// responseBegun reports whether a byte has arrived since beginResponse.
func (c *connection) responseBegun() bool { return c.limit.total > c.responseStart }

// limitedReader is a reader that fails after a number of bytes while its limit is
// set. It is not safe for concurrent use.
type limitedReader struct {
	io.Reader
	limited   bool
	remaining int
	// total is the number of bytes read so far.
	total int64
}

func (l *limitedReader) begin(limit int) { l.limited, l.remaining = true, limit }

func (l *limitedReader) end() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limited {
		if l.remaining <= 0 {
			return 0, errHeadTooLarge
		}
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.Reader.Read(p)
	l.remaining -= n
	l.total += int64(n)
	return n, err
}

// close closes the connection, which ends pending reads and writes. It may be
// called several times.
func (c *connection) close() {
	c.closeOnce.Do(func() { c.Conn.Close() })
}

// setUserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT.
func setUserTimeout(timeout time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// isIdle reports whether a pooled connection is still open and has received no
// unsolicited bytes.
func (c *connection) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// pool holds idle connections by address. The most recently used one is last.
type pool struct {
	maxIdle int
	dialled atomic.Int64

	mu   sync.Mutex
	idle map[string][]*connection
}

func (p *pool) get(address string, now time.Time) *connection {
	for {
		conn := p.pop(address)
		if conn == nil {
			return nil
		}
		if now.Before(conn.expires) && conn.isIdle() {
			return conn
		}
		conn.close()
	}
}

func (p *pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

func (p *pool) put(conn *connection) {
	p.mu.Lock()
	list := p.idle[conn.address]
	var evicted *connection
	if len(list) >= p.maxIdle {
		evicted, list = list[0], list[1:]
	}
	p.idle[conn.address] = append(list, conn)
	p.mu.Unlock()
	if evicted != nil {
		evicted.close()
	}
}

func (p *pool) closeExcept(addresses map[string]bool) {
	p.mu.Lock()
	var removed []*connection
	for address, list := range p.idle {
		if !addresses[address] {
			removed = append(removed, list...)
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range removed {
		conn.close()
	}
}

func (p *pool) closeAll() { p.closeExcept(nil) }

// responseBody is the body of a Response. Close returns the connection to the pool
// if it can be reused.
type responseBody struct {
	client      *Client
	conn        *connection
	response    *http.Response
	writeResult chan error
	// endsWithConnection is set if nothing but the end of the connection ends the body.
	endsWithConnection bool
	witness            *witness
	stopCancel         func() bool
	eof                bool
	closed             bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == io.EOF && b.endsWithConnection {
		if writeErr := b.awaitWrite(); writeErr != nil {
			err = errors.Annotate(writeErr, "the connection broke while the request was written")
		}
	}
	if err == io.EOF {
		b.eof = true
		return n, err
	}
	if err != nil {
		err = errors.WithType(errors.Annotate(err, "read answer body"), ErrIndeterminate)
	}
	return n, err
}

// writeErrorDelay is how long after a connection has ended the write of the request may
// still be in progress that fails with it.
const writeErrorDelay = 50 * time.Millisecond

// awaitWrite returns the error of the write of the request, if it fails with the
// connection. The system reports a reset to one call only: after the write has failed, a
// read ends as if the peer had closed the connection properly.
func (b *responseBody) awaitWrite() error {
	timer := time.NewTimer(writeErrorDelay)
	defer timer.Stop()
	select {
	case err := <-b.writeResult:
		b.writeResult <- err
		return err
	case <-timer.C:
		return nil
	}
}

func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	if !b.end() {
		b.conn.close()
		return nil
	}
	b.conn.connectTime, b.conn.expires = 0, time.Now().Add(b.idleTimeout())
	b.client.pool.put(b.conn)
	return nil
}

// detach ends the body and leaves the connection to the caller, who must close it if it
// can't be used for another request.
func (b *responseBody) detach() (reusable bool) {
	if b.closed {
		return false
	}
	if !b.eof && b.response.ContentLength >= 0 {
		_, err := io.CopyN(io.Discard, b, maxDetachedBytes)
		b.eof = err == io.EOF
	}
	return b.end()
}

// end reports whether the connection can be used for another request.
func (b *responseBody) end() (reusable bool) {
	b.closed = true
	if b.witness != nil {
		b.witness.release()
	}
	b.conn.fresh = false
	cancelled := !b.stopCancel()
	return b.eof && !cancelled && b.connReusable()
}

// maxDetachedBytes bounds the rest of a body that is read to use its connection again.
const maxDetachedBytes = 64 << 10

func (b *responseBody) connReusable() bool {
	if b.response.Close || b.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-b.writeResult:
		return err == nil
	default:
		return false
	}
}

func (b *responseBody) idleTimeout() time.Duration {
	timeout := b.client.options.IdleTimeout
	for _, part := range strings.Split(b.response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			timeout = min(timeout, time.Duration(float64(seconds)*idleTimeoutFraction*float64(time.Second)))
		}
	}
	return timeout
}
