// Package netfault serves HTTP over connections with injectable faults:
// connections can be refused, closed, or made silent for good. A silent
// connection stays open, but its bytes are discarded in both directions.
package netfault

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 16 << 10
	// AnyPort is a loopback address with a port chosen by the system.
	AnyPort = "127.0.0.1:0"
)

// Server serves one HTTP handler. It is safe for concurrent use.
type Server struct {
	address string
	http    *http.Server

	mu sync.Mutex
	// listener is nil while connections are refused. Meanwhile the port is
	// reserved, and releasePort frees it.
	listener    net.Listener
	releasePort func()
	conns       map[*conn]struct{}
	// silenceNew makes every new connection silent.
	silenceNew bool
	closed     bool
}

// Start listens on address, or on AnyPort when it is empty, and serves the
// handler.
func Start(address string, handler http.Handler) (*Server, error) {
	if address == "" {
		address = AnyPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s; choose a free port", address)
	}
	s := &Server{
		address: listener.Addr().String(),
		conns:   make(map[*conn]struct{}),
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
	s.serve(listener)
	return s, nil
}

// Address returns the host and port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.releasePort != nil {
		s.releasePort()
		s.releasePort = nil
	}
	s.mu.Unlock()
	_ = s.http.Close()
	s.CutOpen()
}

// SetRefuse makes the system refuse new connections, or accept them again. Open
// connections aren't affected.
func (s *Server) SetRefuse(on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || on == (s.listener == nil) {
		return nil
	}
	if on {
		return s.refuseLocked()
	}
	return s.acceptLocked()
}

func (s *Server) refuseLocked() error {
	err := s.listener.Close()
	s.listener = nil
	if err != nil {
		return errors.Trace(err)
	}
	s.releasePort, err = reservePort(s.address)
	return err
}

// acceptLocked listens before it frees the reservation, so that no other
// process can get the port in between.
func (s *Server) acceptLocked() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Annotatef(err, "listening on %s again", s.address)
	}
	if s.releasePort != nil {
		s.releasePort()
		s.releasePort = nil
	}
	s.serveLocked(listener)
	return nil
}

// SilenceOpen makes every open connection silent for good, without a reset. New
// connections work.
func (s *Server) SilenceOpen() {
	for _, c := range s.openConns() {
		c.silence()
	}
}

// SetSilenceNew selects whether new connections are silent.
func (s *Server) SetSilenceNew(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenceNew = on
}

// CutOpen closes every open connection.
func (s *Server) CutOpen() {
	for _, c := range s.openConns() {
		_ = c.Close()
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) serve(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveLocked(listener)
}

func (s *Server) serveLocked(listener net.Listener) {
	s.listener = listener
	go func() { _ = s.http.Serve(&trackingListener{Listener: listener, server: s}) }()
}

// trackingListener registers the connections that it accepts.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, server: l.server, silenced: make(chan struct{}), closed: make(chan struct{})}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	silent := l.server.silenceNew
	l.server.mu.Unlock()
	if silent {
		c.silence()
	}
	return c, nil
}

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	server      *Server
	silenced    chan struct{}
	silenceOnce sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silenced) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read returns no data on a silent connection. It blocks until the connection
// fails or is closed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write discards the data on a silent connection and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. If it is silent, the socket stays open for
// silentLinger, so that the peer sees neither a FIN nor a reset meanwhile.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.untrack(c)
		if !c.isSilent() {
			return
		}
		time.AfterFunc(silentLinger, func() { _ = c.Conn.Close() })
	})
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}

// silentLinger is how long the socket of a silent connection stays open after
// Close.
const silentLinger = time.Minute

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
