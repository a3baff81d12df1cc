// Package weights is a stand-in of the platform's weight store: it tells its
// rate and the sizes of its models.
package weights

import (
	"net/http"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/platformclient/platformwire"
)

// PathFaults is the path of the fault switches.
const PathFaults = "/debug/faults"

// Options describes the store.
type Options struct {
	// Listen is the address to listen on; a free loopback port by default.
	Listen string
	Rate   edge.WeightRate
}

// Faults are the fault switches. The zero value is a healthy store.
type Faults struct {
	// Down answers 503 to everything.
	Down bool `json:"down,omitempty"`
	// RefuseConnects makes the system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent.
	SwallowNew bool `json:"swallow_new,omitempty"`
}

// Server is a running store. It is safe for concurrent use.
type Server struct {
	rate   edge.WeightRate
	net    *netfault.Server
	debug  http.Handler
	faults netfault.Switches[Faults]
}

// Start starts a store on loopback.
func Start(o Options) (*Server, error) {
	s := &Server{rate: o.Rate}
	debug := http.NewServeMux()
	debug.Handle(PathFaults, netfault.SwitchHandler(s.Faults, s.SetFaults))
	s.debug = debug
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformwire.PathWeights, s.handleRate)
	mux.Handle("/debug/", debug)
	server, err := netfault.Start(o.Listen, mux)
	if err != nil {
		return nil, err
	}
	s.net = server
	return s, nil
}

// URL returns the base URL.
func (s *Server) URL() string { return s.net.URL() }

// Close cuts all connections.
func (s *Server) Close() { s.net.Close() }

// Debug returns the handler of the debug paths.
func (s *Server) Debug() http.Handler { return s.debug }

// Faults returns the fault switches.
func (s *Server) Faults() Faults {
	f, _ := s.faults.Get()
	return f
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) error {
	s.faults.Set(f)
	s.net.SilenceNew(f.SwallowNew)
	return s.net.Refuse(f.RefuseConnects)
}

func (s *Server) handleRate(w http.ResponseWriter, _ *http.Request) {
	if s.Faults().Down {
		netfault.WriteError(w, http.StatusServiceUnavailable, "down by a fault switch")
		return
	}
	answer := platformwire.Weights{BytesPerSecond: s.rate.BytesPerSecond}
	for _, m := range s.rate.ModelBytes {
		answer.Models = append(answer.Models, platformwire.ModelSize(m))
	}
	netfault.WriteJSON(w, http.StatusOK, answer)
}
