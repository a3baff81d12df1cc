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
	// endCheckTimeout bounds the time for which an answer is held back until its end
	// is confirmed. Callers of streams wait at least minCallerWait for an event.
	endCheckTimeout = time.Second
	// callSettleTime and streamSettleTime are how long after the end of an answer its
	// endpoint must still respond. A process may cut its answers as it exits, and respond
	// for a moment. Callers wait for a call, but have all events of a stream by then.
	callSettleTime   = 30 * time.Millisecond
	streamSettleTime = 150 * time.Millisecond
	// endCheckRetry is the delay before an endpoint that has reset a connection is
	// asked again. It may have reached its limit of connections.
	endCheckRetry = 30 * time.Millisecond
	// endpointCheckTimeout bounds the connection attempt that tells a crashed endpoint
	// from a broken connection.
	endpointCheckTimeout = 100 * time.Millisecond
)

var errEndUnconfirmed = errors.New("the connection ended, and nothing shows that its endpoint outlived the answer")

// endConfirmed reports whether an answer that has ended is known to be whole. The system
// closes the connections of a process that is killed as if its answers had ended, so the
// end of a connection proves nothing by itself, whatever became of the endpoint. An
// answer without a length and chunks is whole if its endpoint still responds some time
// after its end, and so has ended it itself.
func (x *exchange) endConfirmed(ctx context.Context, grant *dispatch.Grant, answer *forward.Response) bool {
	if !answer.EndsWithConnection {
		return true
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	settle := callSettleTime
	if x.route.Streaming {
		settle = streamSettleTime
	}
	select {
	case <-ctx.Done():
	case <-time.After(settle):
	}
	confirmed := x.outlivesAnswer(ctx, grant, answer)
	x.gateway.metrics.recordEndCheck(confirmed, time.Since(began))
	return confirmed
}

// outlivesAnswer asks the endpoint whether it is the process that has sent the answer.
func (x *exchange) outlivesAnswer(ctx context.Context, grant *dispatch.Grant, answer *forward.Response) bool {
	probe := x.gateway.options.Dialect.EncodeProbe(grant.Endpoint)
	response, err := answer.SendToSender(ctx, probe)
	if err == nil {
		return x.identify(grant, response) != forward.IdentityOther
	}
	for ctx.Err() == nil {
		// The connection that has ended has to be replaced in any case.
		response, err = x.gateway.options.Client.SendOnNewConnection(ctx, grant.Endpoint.Address, probe)
		switch {
		case err == nil:
			// Another process may listen at the address by now.
			return x.identify(grant, response) == forward.IdentitySame
		case errors.Is(err, syscall.ECONNREFUSED):
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(endCheckRetry):
		}
	}
	return false
}

func (x *exchange) identify(grant *dispatch.Grant, response *forward.Response) forward.Identity {
	defer response.Body.Close()
	return x.gateway.options.Dialect.Identify(grant.Endpoint, response)
}
