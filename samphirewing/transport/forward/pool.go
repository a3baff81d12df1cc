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

// idleShare is the part of an endpoint's announced idle time after which a
// connection is no longer reused, so that a request doesn't meet its close.
const idleShare = 0.7

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	fresh   bool
	// expires is when an idle connection is no longer reused.
	expires time.Time
	once    sync.Once
}

// close ends all reads and writes; the endpoint sees it.
func (c *connection) close() {
	c.once.Do(func() { c.Conn.Close() })
}

// userTimeout returns a dial hook that bounds how long sent bytes may stay
// unconfirmed.
func userTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// silent returns whether an idle connection has neither ended nor received
// bytes that no request asked for.
func (c *connection) silent() bool {
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// pool keeps idle connections by address, the latest used last.
type pool struct {
	maxIdle int
	dialled atomic.Int64

	mu   sync.Mutex
	idle map[string][]*connection
}

func (p *pool) take(address string, now time.Time) *connection {
	for {
		conn := p.pop(address)
		if conn == nil {
			return nil
		}
		if now.Before(conn.expires) && conn.silent() {
			conn.fresh = false
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

func (p *pool) retain(addresses map[string]bool) {
	p.mu.Lock()
	var dropped []*connection
	for address, list := range p.idle {
		if !addresses[address] {
			dropped = append(dropped, list...)
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range dropped {
		conn.close()
	}
}

func (p *pool) closeAll() { p.retain(nil) }

// body is an answer's body. At its end the connection goes back to the pool
// if it can carry another request.
type body struct {
	client   *Client
	conn     *connection
	response *http.Response
	written  chan error
	stop     func() bool
	ended    bool
	closed   bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == io.EOF {
		b.ended = true
		return n, err
	}
	if err != nil {
		err = errors.WithType(errors.Annotate(err, "read answer body"), ErrBroken)
	}
	return n, err
}

func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	cancelled := !b.stop()
	if !b.ended || cancelled || !b.reusable() {
		b.conn.close()
		return nil
	}
	b.conn.expires = time.Now().Add(b.idleLimit())
	b.client.pool.put(b.conn)
	return nil
}

func (b *body) reusable() bool {
	if b.response.Close || b.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

func (b *body) idleLimit() time.Duration {
	limit := b.client.options.IdleTimeout
	for _, part := range strings.Split(b.response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			limit = min(limit, time.Duration(float64(seconds)*idleShare*float64(time.Second)))
		}
	}
	return limit
}
