// Package netfault serves HTTP on loopback over connections that can be made
// to fail: refused, silent for good, or cut.
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
	// AnyPort lets the system choose a loopback port.
	AnyPort = "127.0.0.1:0"
)

// Server serves one HTTP handler. It is safe for concurrent use.
type Server struct {
	address string
	http    *http.Server

	mu sync.Mutex
	// listener is nil while connections are refused; release frees the port
	// then.
	listener net.Listener
	release  func()
	conns    map[*conn]struct{}
	// silentNew makes every new connection silent.
	silentNew bool
	closed    bool
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

// Close stops listening and cuts every connection.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.release != nil {
		s.release()
		s.release = nil
	}
	s.mu.Unlock()
	_ = s.http.Close()
	s.CutOpen()
}

// Refuse makes the system refuse new connections, or accept them again. Open
// connections live on.
func (s *Server) Refuse(on bool) error {
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
	s.release, err = hold(s.address)
	return err
}

// acceptLocked listens before it frees the port, so that the port is never
// without an owner.
func (s *Server) acceptLocked() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Annotatef(err, "listening on %s again", s.address)
	}
	if s.release != nil {
		s.release()
		s.release = nil
	}
	s.serveLocked(listener)
	return nil
}

// SilenceOpen makes every open connection silent for good: bytes in both
// directions are swallowed without a reset. New connections work.
func (s *Server) SilenceOpen() {
	for _, c := range s.open() {
		c.silence()
	}
}

// SilenceNew makes every later connection silent, or no longer does.
func (s *Server) SilenceNew(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentNew = on
}

// CutOpen resets every open connection.
func (s *Server) CutOpen() {
	for _, c := range s.open() {
		_ = c.Close()
	}
}

func (s *Server) open() []*conn {
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
	c := &conn{Conn: accepted, server: l.server, silent: make(chan struct{}), closed: make(chan struct{})}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	silent := l.server.silentNew
	l.server.mu.Unlock()
	if silent {
		c.silence()
	}
	return c, nil
}

// conn is one connection that can turn silent.
type conn struct {
	net.Conn
	server      *Server
	silent      chan struct{}
	silenceOnce sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read never returns data on a silent connection; it ends with the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write drops what is written to a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent one stays open towards the peer for
// silentLinger, so that the peer sees neither an end nor a reset meanwhile.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.forget(c)
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

// silentLinger is how long a silent connection stays open after its end here.
const silentLinger = time.Minute

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
