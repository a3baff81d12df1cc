package callerapi

import (
	"net"
	"net/http"
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/transport/httplimit"
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
	sink := o.Events
	if sink == nil {
		sink = events.Discard{}
	}
	return httplimit.NewServer(h, httplimit.Options{
		MaxHeaderBytes: orDefault(o.MaxHeaderBytes, DefaultMaxHeaderBytes),
		HeaderTimeout:  orDefault(o.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:    orDefault(o.IdleTimeout, DefaultIdleTimeout),
		MaxStreams:     orDefault(o.MaxStreams, DefaultMaxStreams),
		Fault:          func(detail string) { sink.Emit(eventServerFault, events.F("detail", detail)) },
	})
}

// LimitConnections returns a listener that holds at most limit connections
// open; more wait in the kernel's queue until one closes.
func LimitConnections(l net.Listener, limit int) net.Listener { return httplimit.Connections(l, limit) }
