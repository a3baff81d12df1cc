package gateway

import (
	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// peerOf returns the start of an endpoint that a resumable stream is for. An endpoint may
// start anew at its address and under its name, with another software version, before the
// registry says so, and what it says may reach this daemon late. An endpoint that does
// not tell its start is only trusted while the registry is known to be current, and on
// connections that are older than that time: they lead to the start of then.
func (g *Gateway) peerOf(e endpointset.Endpoint) *forward.Peer {
	dialect := g.options.Dialect
	peer := &forward.Peer{
		Key:      uint64(startKey(e)),
		Probe:    dialect.EncodeProbe(e),
		Identify: func(answer *forward.Response) forward.Identity { return dialect.Identify(e, answer) },
	}
	if g.options.RegistryKnown != nil {
		knownAt, current := g.options.RegistryKnown()
		peer.KnownAt, peer.Required = knownAt, !current
	}
	return peer
}

// recordReplaced takes a start of an endpoint out of use, since another process listens at
// its address.
func (g *Gateway) recordReplaced(e endpointset.Endpoint) {
	g.takeOutOfUse(e, EventEndpointReplaced, events.F("address", e.Address))
}
