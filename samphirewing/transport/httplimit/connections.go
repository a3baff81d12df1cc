package httplimit

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
)

const (
	// evictableAfter is how long a connection must have been without progress before
	// it may be closed in favour of a new one.
	evictableAfter = time.Second
	// unfinishedShare and idleShare are the shares of the connections that are closed
	// at once, since each search looks at all of them. Idle connections are mostly
	// those of ordinary callers, so fewer are closed.
	unfinishedShare = 1.0 / 16
	idleShare       = 1.0 / 64
	// roomPoll is the time between two searches while no connection may be closed.
	roomPoll = 50 * time.Millisecond
)

// errHeadRefused means that there is no memory for the head of a request.
const errHeadRefused = errors.ConstError("no memory for the head of a request")

// connections is a set of connections with a common limit.
type connections struct {
	guard *Guard
	limit int

	mu  sync.Mutex
	all map[*guardedConn]struct{}

	// released gets an element when a connection is closed.
	released chan struct{}
}

func (g *Guard) newConnections(limit int) *connections {
	return &connections{guard: g, limit: limit, all: map[*guardedConn]struct{}{}, released: make(chan struct{}, 1)}
}

// Listener returns a listener that has at most limit connections open. When the limit
// is reached, connections give way to new ones: first those on which a request has
// not completely arrived, then those that have been idle for longest. While none may,
// new connections wait in the kernel's queue.
func (g *Guard) Listener(l net.Listener, limit int) net.Listener {
	return &guardedListener{Listener: l, connections: g.newConnections(limit), closed: make(chan struct{})}
}

// CallerListener returns such a listener for callers. All of them have
// MaxConnections open together.
func (g *Guard) CallerListener(l net.Listener) net.Listener {
	return &guardedListener{Listener: l, connections: g.callers, closed: make(chan struct{})}
}

type guardedListener struct {
	net.Listener
	*connections

	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for a connection and for room for it.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			// net/http pauses before it accepts again.
			l.guard.emit(EventDescriptorsFull, events.F("address", l.Addr().String()), events.F("error", err))
			l.makeRoom(time.Now())
		}
		return nil, err
	}
	c := &guardedConn{Conn: conn, set: l.connections, since: time.Now()}
	for !l.add(c) {
		l.guard.emit(EventConnectionsFull, events.F("address", l.Addr().String()), events.F("limit", l.limit))
		if l.makeRoom(time.Now()) {
			continue
		}
		select {
		case <-l.released:
		case <-time.After(roomPoll):
		case <-l.closed:
			conn.Close()
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

func (l *connections) add(c *guardedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.all) >= l.limit {
		return false
	}
	l.all[c] = struct{}{}
	return true
}

func (l *connections) remove(c *guardedConn) {
	l.mu.Lock()
	delete(l.all, c)
	l.mu.Unlock()
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// makeRoom closes connections that have made no progress for a time. It returns
// whether there is room now.
func (l *connections) makeRoom(now time.Time) bool {
	if l.closeUnfinished(now) {
		return true
	}
	if l.guard.bodies.Evict(now, l.count(unfinishedShare)) > 0 {
		// The connections are closed after the refusals have been written.
		return false
	}
	if l.closeAll(l.longestWaiting(now, l.count(idleShare), connIdle)) {
		return true
	}
	l.guard.queues.Evict(now)
	return false
}

// closeUnfinished closes connections on which a head has not arrived completely for a
// time, which returns their memory. It returns false if there is none.
func (l *connections) closeUnfinished(now time.Time) bool {
	return l.closeAll(l.longestWaiting(now, l.count(unfinishedShare), connUnfinished))
}

func (l *connections) count(share float64) int { return max(1, int(share*float64(l.limit))) }

func (l *connections) closeAll(victims []*guardedConn) bool {
	for _, c := range victims {
		l.guard.metrics.evicted.Inc(1)
		c.Close()
	}
	return len(victims) > 0
}

// longestWaiting returns up to count connections in the given state, longest first.
func (l *connections) longestWaiting(now time.Time, count int, state connState) []*guardedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	type candidate struct {
		conn  *guardedConn
		since time.Time
	}
	var found []candidate
	for c := range l.all {
		s, since := c.state()
		if s != state || now.Sub(since) < evictableAfter {
			continue
		}
		// A sorted list of a few.
		i := len(found)
		for i > 0 && since.Before(found[i-1].since) {
			i--
		}
		if i >= count {
			continue
		}
		found = append(found, candidate{})
		copy(found[i+1:], found[i:])
		found[i] = candidate{c, since}
		found = found[:min(len(found), count)]
	}
	victims := make([]*guardedConn, 0, len(found))
	for _, f := range found {
		victims = append(victims, f.conn)
	}
	return victims
}

// Close closes the listener and unblocks a waiting Accept.
func (l *guardedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type connState int8

const (
	// connUnfinished: the head of a request has arrived in part, or no request has
	// arrived on the connection yet.
	connUnfinished connState = iota
	// connIdle: requests have been served, and the next has not begun.
	connIdle
	// connServing: a handler runs.
	connServing
)

// guardedConn is a connection that reserves memory for the heads of requests.
type guardedConn struct {
	net.Conn
	set *connections

	mu sync.Mutex
	// handlers is the number of running handlers; it exceeds one only with HTTP/2.
	handlers int
	served   bool
	// begun is set when bytes of the next request have arrived. head is the memory
	// reserved for them.
	begun bool
	head  int64
	// since is when the current state began.
	since  time.Time
	closed bool
}

// maxHead bounds the memory reserved for one head. net/http rejects larger ones; the
// bytes after it belong to bodies that are reserved elsewhere.
const maxHead = 68 << 10

func (c *guardedConn) state() (connState, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handlers > 0:
		return connServing, c.since
	case c.begun || !c.served:
		return connUnfinished, c.since
	}
	return connIdle, c.since
}

// Read reserves memory for what it reads of the head of a request.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.reserveHead(int64(n)) && !(c.set.closeUnfinished(time.Now()) && c.reserveHead(int64(n))) {
		c.set.guard.metrics.headsRefused.Inc(1)
		c.set.guard.emit(EventHeadRefused, events.F("remote", c.RemoteAddr().String()))
		c.Close()
		return 0, errHeadRefused
	}
	return n, err
}

func (c *guardedConn) reserveHead(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handlers > 0 || c.closed {
		return true
	}
	if !c.begun {
		c.begun, c.since = true, time.Now()
	}
	n = min(n, maxHead-c.head)
	if !c.set.guard.account.Reserve(memorybudget.Ordinary, n) {
		return false
	}
	c.head += n
	return true
}

func (c *guardedConn) releaseHeadLocked() {
	c.set.guard.account.Release(memorybudget.Ordinary, c.head)
	c.head = 0
}

func (c *guardedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers++
}

func (c *guardedConn) endRequest(now func() time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handlers--; c.handlers > 0 {
		return
	}
	c.served, c.begun, c.since = true, false, now()
	c.releaseHeadLocked()
}

// Close closes the connection.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.releaseHeadLocked()
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.set.remove(c)
	}
	return err
}

// CloseWrite closes the sending side. net/http uses it so that clients can read a
// refusal before the connection is closed.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
