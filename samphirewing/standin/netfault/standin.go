package netfault

import (
	"net/http"
)

// The debug paths that all stand-ins share.
const (
	PathFaults  = "/debug/faults"
	PathSilence = "/debug/silence-open"
	PathCut     = "/debug/cut-open"

	pathDebug = "/debug/"
)

// ConnectionFaults are the switches that all stand-ins share.
type ConnectionFaults struct {
	// RefuseConnects makes the operating system refuse new connections.
	RefuseConnects bool
	// SwallowNew makes new connections silent: bytes are discarded in both
	// directions.
	SwallowNew bool
}

// FaultSet is the set of fault switches of one kind of stand-in.
type FaultSet interface {
	ConnectionFaults() ConnectionFaults
}

// StandIn is the common base of the stand-ins, which embed it: a server, fault
// switches and debug paths. Its methods are safe for concurrent use.
type StandIn[F FaultSet] struct {
	server   *Server
	debug    *http.ServeMux
	switches Switches[F]
}

// NewStandIn returns a stand-in. Serve starts it.
func NewStandIn[F FaultSet]() *StandIn[F] {
	s := &StandIn[F]{debug: http.NewServeMux()}
	s.debug.Handle(PathFaults, SwitchHandler(s.Faults, s.SetFaults))
	s.debug.Handle(PathSilence, ActionHandler(s.SilenceOpen))
	s.debug.Handle(PathCut, ActionHandler(s.CutOpen))
	return s
}

// HandleDebug registers a debug path. It must be called before Serve.
func (s *StandIn[F]) HandleDebug(pattern string, h http.Handler) { s.debug.Handle(pattern, h) }

// Serve serves the routes and the debug paths on an address, or on AnyPort
// when it is empty.
func (s *StandIn[F]) Serve(address string, routes *http.ServeMux) error {
	routes.Handle(pathDebug, s.debug)
	server, err := Start(address, routes)
	s.server = server
	return err
}

// URL returns the base URL.
func (s *StandIn[F]) URL() string { return s.server.URL() }

// Close closes all connections.
func (s *StandIn[F]) Close() { s.server.Close() }

// Debug returns the handler of the debug paths. It lets a program serve the
// debug paths of several stand-ins at an address without faults.
func (s *StandIn[F]) Debug() http.Handler { return s.debug }

// Faults returns the fault switches.
func (s *StandIn[F]) Faults() F {
	f, _ := s.switches.Get()
	return f
}

// WatchFaults returns the fault switches and a channel that is closed when
// they change.
func (s *StandIn[F]) WatchFaults() (F, <-chan struct{}) { return s.switches.Get() }

// SetFaults replaces the fault switches.
func (s *StandIn[F]) SetFaults(f F) error {
	s.switches.Set(f)
	s.server.SetSilenceNew(f.ConnectionFaults().SwallowNew)
	return s.server.SetRefuse(f.ConnectionFaults().RefuseConnects)
}

// SilenceOpen makes the open connections silent for good; new ones work.
func (s *StandIn[F]) SilenceOpen() { s.server.SilenceOpen() }

// CutOpen closes the open connections.
func (s *StandIn[F]) CutOpen() { s.server.CutOpen() }
