package callerapi

import (
	"net"
	"net/http"
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

// ServerOptions sets the limits of a server. Zero fields take the defaults.
type ServerOptions struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// MaxStreams bounds the concurrent requests of one HTTP/2 connection.
	MaxStreams int
	// Guard is that of the handler; nil leaves the heads of requests unbounded in
	// number.
	Guard  *httplimit.Guard
	Events events.Sink
}

// NewServer returns a server with all limits and timeouts set. The handler sets
// the timeouts of bodies and writes, since answers may stream for a long time.
func NewServer(h http.Handler, o ServerOptions) *http.Server {
	sink := o.Events
	if sink == nil {
		sink = events.Discard{}
	}
	server := httplimit.NewServer(h, httplimit.Options{
		MaxHeaderBytes: orDefault(o.MaxHeaderBytes, DefaultMaxHeaderBytes),
		HeaderTimeout:  orDefault(o.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:    orDefault(o.IdleTimeout, DefaultIdleTimeout),
		MaxStreams:     orDefault(o.MaxStreams, DefaultMaxStreams),
		ErrorLog:       func(detail string) { sink.Emit(eventServerFault, events.F("detail", detail)) },
	})
	if o.Guard != nil {
		o.Guard.Install(server)
	}
	return server
}

// LimitConnections returns a listener that has at most n connections open;
// further connections wait in the kernel's queue until one is closed.
func LimitConnections(l net.Listener, n int) net.Listener { return httplimit.LimitListener(l, n) }
