// Package httplimit bounds what an HTTP listener takes: headers, bodies,
// connections, streams and the time that each may need.
package httplimit

import (
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Options bounds one server.
type Options struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// MaxStreams bounds the requests of one HTTP/2 connection.
	MaxStreams int
	// ErrorLog gets each line that net/http logs; nil drops them.
	ErrorLog func(detail string)
}

// NewServer returns a server with the limits set. Bodies and writes are
// bounded by its handlers, since answers may stream for long.
func NewServer(h http.Handler, o Options) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: o.MaxStreams},
		ErrorLog:          log.New(faultWriter(o.ErrorLog), "", 0),
	}
}

// faultWriter gets the lines that net/http logs.
type faultWriter func(detail string)

// Write passes the first line on.
func (f faultWriter) Write(text []byte) (int, error) {
	first, _, _ := strings.Cut(string(text), "\n")
	if f != nil {
		f(first)
	}
	return len(text), nil
}

// LimitListener returns a listener that holds at most limit connections open;
// more wait in the kernel's queue until one closes.
func LimitListener(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots  chan struct{}
	once   sync.Once
	closed chan struct{}
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

// Close closes the listener and ends a waiting Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
