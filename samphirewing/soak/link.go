package soak

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// linkChunk is the most bytes that a link passes on at a time.
	linkChunk = 16 << 10
	// linkDial bounds a link's connection to its target.
	linkDial = time.Second
)

// link is a loopback proxy that stands for the network before one address.
// Its faults are those of a network: bytes that come late, connections that
// are reset, or turn silent for good, and a direction that is held up.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	delay  time.Duration
	refuse bool
	// held[d] is open while direction d is held up, and nil otherwise.
	held  [2]chan struct{}
	conns map[*linkConn]struct{}
	done  bool
}

// The directions of a link.
const (
	towardsTarget = iota
	fromTarget
)

// linkConn is one connection through a link.
type linkConn struct {
	client, target *net.TCPConn
	// silent is set for good: what is read goes nowhere.
	silent bool
}

// newLink starts a link on a free port of the IP address.
func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &link{listener: listener, target: target, conns: map[*linkConn]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) setTarget(target string) { l.with(func() { l.target = target }) }

func (l *link) setDelay(d time.Duration) { l.with(func() { l.delay = d }) }

func (l *link) setRefuse(refuse bool) { l.with(func() { l.refuse = refuse }) }

func (l *link) with(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// hold holds a direction up, or lets it go on with what has gathered.
func (l *link) hold(direction int, on bool) {
	l.with(func() {
		switch held := l.held[direction]; {
		case on && held == nil:
			l.held[direction] = make(chan struct{})
		case !on && held != nil:
			close(held)
			l.held[direction] = nil
		}
	})
}

// silence makes the open connections silent for good; later ones work.
func (l *link) silence() {
	l.with(func() {
		for c := range l.conns {
			c.silent = true
		}
	})
}

// reset resets the open connections.
func (l *link) reset() {
	l.with(func() {
		for c := range l.conns {
			c.reset()
		}
	})
}

func (l *link) close() {
	l.hold(towardsTarget, false)
	l.hold(fromTarget, false)
	l.listener.Close()
	l.with(func() { l.done = true })
	l.reset()
}

// reset closes both sides so that their peers see a reset.
func (c *linkConn) reset() {
	for _, side := range []*net.TCPConn{c.client, c.target} {
		// A side that has ended already needs no reset.
		_ = side.SetLinger(0)
		_ = side.Close()
	}
}

func (l *link) accept() {
	for {
		accepted, err := l.listener.Accept()
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
	dialled, err := net.DialTimeout("tcp", target, linkDial)
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
	l.with(func() {
		l.conns[c] = struct{}{}
		done = l.done
	})
	if done {
		c.reset()
	}
	go l.pass(c, towardsTarget, c.target, c.client)
	go l.pass(c, fromTarget, c.client, c.target)
}

// pass carries one direction of a connection until it ends.
func (l *link) pass(c *linkConn, direction int, to, from *net.TCPConn) {
	chunk := make([]byte, linkChunk)
	for {
		n, err := from.Read(chunk)
		if l.swallow(c, direction) {
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
			l.with(func() { delete(l.conns, c) })
			_ = c.client.Close()
			_ = c.target.Close()
			return
		}
	}
}

// swallow waits out what holds a direction up, and returns whether the
// connection is silent.
func (l *link) swallow(c *linkConn, direction int) bool {
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
