// Package httplimit limits the headers, bodies, connections and streams of HTTP
// servers and the time that each may take.
package httplimit

import (
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Options sets the limits of a server.
type Options struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// MaxStreams bounds the concurrent requests of one HTTP/2 connection.
	MaxStreams int
	// ErrorLog is called with the first line of each message that net/http logs. If
	// it is nil, messages are discarded.
	ErrorLog func(detail string)
}

// NewServer returns a server with the given limits. The handlers set the timeouts of
// bodies and writes, since responses may stream for a long time.
func NewServer(h http.Handler, o Options) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: o.MaxStreams},
		ErrorLog:          log.New(lineWriter(o.ErrorLog), "", 0),
	}
}

// lineWriter receives the messages that net/http logs.
type lineWriter func(detail string)

// Write calls f with the first line of text.
func (f lineWriter) Write(text []byte) (int, error) {
	first, _, _ := strings.Cut(string(text), "\n")
	if f != nil {
		f(first)
	}
	return len(text), nil
}

// LimitListener returns a listener that has at most limit connections open; further
// connections wait in the kernel's queue until one is closed.
func LimitListener(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots     chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for a free slot and a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener and unblocks a waiting Accept.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
