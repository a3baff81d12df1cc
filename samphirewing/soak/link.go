package soak

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// linkChunkBytes is the maximum size of one read and write of a link.
	linkChunkBytes = 16 << 10
	// linkDialTimeout bounds a link's connection attempt to its target.
	linkDialTimeout = time.Second
)

// link is a loopback TCP proxy that simulates the network path to one address.
// It can delay bytes, limit their rate, reset or refuse connections, silence open
// connections permanently, and stall one direction.
type link struct {
	// published is the link's address.
	published string

	mu       sync.Mutex
	listener net.Listener
	target   string
	delay    time.Duration
	refuse   bool
	// rate is the bandwidth of each direction in bytes per second; zero sets no
	// limit. freeAt is when a direction has transmitted what was sent so far.
	rate   float64
	freeAt [2]time.Time
	// held[d] is an open channel while direction d is stalled, and nil
	// otherwise.
	held   [2]chan struct{}
	conns  map[*linkConn]struct{}
	closed bool
	// transferred counts the bytes received in both directions.
	transferred int64
}

// The directions of a link.
const (
	toTarget = iota
	fromTarget
)

// linkConn is one connection through a link.
type linkConn struct {
	client, target *net.TCPConn
	// silent makes the link discard all bytes read; it is never unset.
	silent bool
}

// newLink starts a link on a free port of the IP address.
func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &link{listener: listener, published: listener.Addr().String(), target: target, conns: map[*linkConn]struct{}{}}
	go l.accept(listener)
	return l, nil
}

func (l *link) address() string { return l.published }

// setListening stops or resumes accepting connections. Without a listener, the
// system refuses them.
func (l *link) setListening(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on == (l.listener != nil) || l.closed {
		return nil
	}
	if !on {
		err := l.listener.Close()
		l.listener = nil
		return errors.Trace(err)
	}
	listener, err := net.Listen("tcp", l.published)
	if err != nil {
		return errors.Trace(err)
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

func (l *link) setTarget(target string) { l.withLock(func() { l.target = target }) }

func (l *link) setDelay(d time.Duration) { l.withLock(func() { l.delay = d }) }

func (l *link) setRate(bytesPerSecond float64) { l.withLock(func() { l.rate = bytesPerSecond }) }

func (l *link) setRefuse(refuse bool) { l.withLock(func() { l.refuse = refuse }) }

func (l *link) withLock(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// setHeld stalls a direction or resumes it; bytes buffered meanwhile are
// delivered on resumption.
func (l *link) setHeld(direction int, on bool) {
	l.withLock(func() {
		switch held := l.held[direction]; {
		case on && held == nil:
			l.held[direction] = make(chan struct{})
		case !on && held != nil:
			close(held)
			l.held[direction] = nil
		}
	})
}

// silence silences the open connections permanently; later connections work.
func (l *link) silence() {
	l.withLock(func() {
		for c := range l.conns {
			c.silent = true
		}
	})
}

func (l *link) transferredBytes() (n int64) {
	l.withLock(func() { n = l.transferred })
	return n
}

// reset resets the open connections.
func (l *link) reset() {
	l.withLock(func() {
		for c := range l.conns {
			c.reset()
		}
	})
}

func (l *link) close() {
	l.setHeld(toTarget, false)
	l.setHeld(fromTarget, false)
	l.withLock(func() {
		l.closed = true
		if l.listener != nil {
			l.listener.Close()
		}
	})
	l.reset()
}

// reset closes both sides so that their peers see a reset.
func (c *linkConn) reset() {
	for _, side := range []*net.TCPConn{c.client, c.target} {
		// Errors mean that the side is already closed.
		_ = side.SetLinger(0)
		_ = side.Close()
	}
}

func (l *link) accept(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(accepted.(*net.TCPConn))
	}
}

func (l *link) connect(client *net.TCPConn) {
	l.mu.Lock()
	target, refuse := l.target, l.refuse
	l.mu.Unlock()
	dialled, err := net.DialTimeout("tcp", target, linkDialTimeout)
	if refuse || err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		if err == nil {
			_ = dialled.Close()
		}
		return
	}
	c := &linkConn{client: client, target: dialled.(*net.TCPConn)}
	done := false
	l.withLock(func() {
		l.conns[c] = struct{}{}
		done = l.closed
	})
	if done {
		c.reset()
	}
	go l.forward(c, toTarget, c.target, c.client)
	go l.forward(c, fromTarget, c.client, c.target)
}

// forward copies one direction of a connection until it ends.
func (l *link) forward(c *linkConn, direction int, to, from *net.TCPConn) {
	chunk := make([]byte, linkChunkBytes)
	for {
		n, err := from.Read(chunk)
		l.withLock(func() { l.transferred += int64(n) })
		l.awaitBandwidth(direction, n)
		if l.awaitDelivery(c, direction) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, failed := to.Write(chunk[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			l.withLock(func() { delete(l.conns, c) })
			_ = c.client.Close()
			_ = c.target.Close()
			return
		}
	}
}

// awaitBandwidth blocks until the direction has transmitted n more bytes.
func (l *link) awaitBandwidth(direction, n int) {
	var wait time.Duration
	l.withLock(func() {
		if l.rate == 0 {
			return
		}
		now := time.Now()
		if l.freeAt[direction].Before(now) {
			l.freeAt[direction] = now
		}
		l.freeAt[direction] = l.freeAt[direction].Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
		wait = l.freeAt[direction].Sub(now)
	})
	time.Sleep(wait)
}

// awaitDelivery blocks while the direction is stalled or delayed, and returns
// whether the connection is silent.
func (l *link) awaitDelivery(c *linkConn, direction int) bool {
	l.mu.Lock()
	delay, held := l.delay, l.held[direction]
	l.mu.Unlock()
	if held != nil {
		<-held
	}
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.silent
}
