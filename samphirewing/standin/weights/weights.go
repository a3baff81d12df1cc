// Package weights is a stand-in for the platform's weight store. It reports the
// store's transfer rate and the sizes of its models.
package weights

import (
	"net/http"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/platformclient/platformwire"
)

// Options configures the store.
type Options struct {
	// Listen is the listen address; a free loopback port by default.
	Listen string
	Rate   edge.WeightRate
}

// Faults are the fault switches. The zero value is a healthy store.
type Faults struct {
	// Down answers all requests with 503.
	Down bool `json:"down,omitempty"`
	// RefuseConnects makes the operating system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent.
	SwallowNew bool `json:"swallow_new,omitempty"`
}

// ConnectionFaults returns the switches that all stand-ins share.
func (f Faults) ConnectionFaults() netfault.ConnectionFaults {
	return netfault.ConnectionFaults{RefuseConnects: f.RefuseConnects, SwallowNew: f.SwallowNew}
}

// Server is a running store. It is safe for concurrent use.
type Server struct {
	*netfault.StandIn[Faults]
	rate edge.WeightRate
}

// Start starts a store on Options.Listen.
func Start(o Options) (*Server, error) {
	s := &Server{StandIn: netfault.NewStandIn[Faults](), rate: o.Rate}
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+platformwire.PathWeights, s.handleRate)
	if err := s.Serve(o.Listen, routes); err != nil {
		return nil, err
	}
	return s, nil
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
