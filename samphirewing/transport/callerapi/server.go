package callerapi

import (
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samphirewing/coordkit/events"
)

// ServerOptions bounds what one listener takes. Zero fields take the defaults.
type ServerOptions struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// MaxStreams bounds the requests of one HTTP/2 connection.
	MaxStreams int
	Events     events.Sink
}

// NewServer returns a server with all limits and timeouts set. Bodies and
// writes are bounded by the handler, since answers may stream for long.
func NewServer(h http.Handler, o ServerOptions) *http.Server {
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    orDefault(o.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ReadHeaderTimeout: orDefault(o.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:       orDefault(o.IdleTimeout, DefaultIdleTimeout),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: orDefault(o.MaxStreams, DefaultMaxStreams)},
		ErrorLog:          log.New(faultWriter{sink: o.Events}, "", 0),
	}
}

// faultWriter turns the lines that net/http logs into events.
type faultWriter struct{ sink events.Sink }

// Write emits one event for each line.
func (f faultWriter) Write(line []byte) (int, error) {
	first, _, _ := strings.Cut(string(line), "\n")
	f.sink.Emit(eventServerFault, events.F("detail", first))
	return len(line), nil
}

// LimitConnections returns a listener that holds at most limit connections
// open; more wait in the kernel's queue until one closes.
func LimitConnections(l net.Listener, limit int) net.Listener {
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
