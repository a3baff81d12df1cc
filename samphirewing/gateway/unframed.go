package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/transport/forward"
)

const (
	// endpointCheckTimeout bounds the connection attempt that tells a crashed endpoint
	// from a broken connection.
	endpointCheckTimeout = 100 * time.Millisecond
	// aliveAfter is how long a new connection stays open if its endpoint is alive, and
	// aliveCheckTimeout bounds the attempts to find that out.
	aliveAfter        = 30 * time.Millisecond
	aliveCheckTimeout = 400 * time.Millisecond
)

var errEndedWithEndpoint = errors.New("the connection ended, and the endpoint with it")

// endedWithEndpoint reports whether an answer that has neither a length nor chunks may
// have been cut, since its endpoint is gone. The system closes the connections of a
// process that is killed as if the answer had ended, one after the other: its listener
// may accept connections for a while, which are then reset. So only a connection that
// stays open shows that the endpoint is alive. An endpoint that leaves may exit once it
// has answered.
func (x *exchange) endedWithEndpoint(ctx context.Context, grant *dispatch.Grant, answer *forward.Response) bool {
	if !answer.EndsWithConnection {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, aliveCheckTimeout)
	defer cancel()
	for {
		// The connection that has ended has to be replaced in any case.
		err := x.gateway.options.Client.KeepConnection(ctx, grant.Endpoint.Address, aliveAfter)
		if !errors.Is(err, forward.ErrEnded) || ctx.Err() != nil {
			return errors.Is(err, syscall.ECONNREFUSED) && x.gateway.isUsable(grant)
		}
	}
}

// isUsable reports whether the endpoint of a grant is listed in the same start, and has
// not said that it leaves.
func (g *Gateway) isUsable(grant *dispatch.Grant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, usable := g.endpointsByKey[startKey(grant.Endpoint)]
	return usable
}
