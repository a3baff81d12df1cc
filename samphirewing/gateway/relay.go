package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/protocol/sse"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/transport/forward"
)

const (
	// wholeBytes is the largest answer that is read whole before any of it is
	// passed on, so that a broken one can be replaced.
	wholeBytes = 256 << 10
	// relayBytes is the size of one read of a stream.
	relayBytes = 8 << 10
)

// streamState is how far a caller has received a stream.
type streamState struct {
	begun bool
	// lastEvent is the ID of the last whole event passed on.
	lastEvent string
}

// relayWhole passes an answer on that is no stream.
func (x *exchange) relayWhole(ctx context.Context, grant *dispatch.Grant, answer *forward.Response) (outcome string, again bool) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	if err != nil {
		return x.broken(ctx, grant, err)
	}
	if !x.gateway.options.Dialect.Genuine(answer) && answer.Status < http.StatusMultipleChoices {
		return x.broken(ctx, grant, errors.New("the answer lacks the endpoint's signature"))
	}
	failed := answer.Status >= http.StatusInternalServerError
	if failed && x.route.Repeat == routing.Idempotent && x.mayGoOn(grant) {
		x.emitAttemptFailed(grant, "failed", errors.Errorf("status %d", answer.Status))
		x.gateway.ended(grant, dispatch.Failed)
		return "", true
	}
	return x.passOn(ctx, grant, answer, body)
}

// passOn sends an answer whose beginning has been read to the caller.
func (x *exchange) passOn(ctx context.Context, grant *dispatch.Grant, answer *forward.Response, begin []byte) (outcome string, again bool) {
	x.stream.begun = true
	length := answer.Length
	if length < 0 && len(begin) < wholeBytes {
		length = int64(len(begin))
	}
	x.sink.Begin(answer.Status, answer.Header, length)
	err := x.sink.Write(begin)
	if err == nil && len(begin) == wholeBytes {
		err = x.copyRest(answer)
	}
	if err != nil {
		x.gateway.ended(grant, resultOf(ctx))
		return x.breakOff(err.Error()), false
	}
	x.sink.End()
	result := dispatch.Succeeded
	if answer.Status >= http.StatusInternalServerError {
		result = dispatch.Failed
	}
	x.gateway.ended(grant, result)
	return outcomeAnswered, false
}

func resultOf(ctx context.Context) dispatch.Result {
	if ctx.Err() != nil {
		return dispatch.Abandoned
	}
	return dispatch.Failed
}

func (x *exchange) copyRest(answer *forward.Response) error {
	buffer := make([]byte, relayBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if writeErr := x.sink.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayStream passes whole events on as they come. A stream that breaks off
// is continued on another endpoint where the route allows it.
func (x *exchange) relayStream(ctx context.Context, grant *dispatch.Grant, answer *forward.Response) (outcome string, again bool) {
	if !x.gateway.options.Dialect.Genuine(answer) {
		return x.broken(ctx, grant, errors.New("the answer lacks the endpoint's signature"))
	}
	splitter := sse.Splitter{}
	buffer := make([]byte, relayBytes)
	seen := false
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if !seen {
				seen = true
				x.noteFirstEvent(grant)
			}
			if writeErr := x.passEvents(answer, splitter.Add(buffer[:n])); writeErr != nil {
				x.gateway.ended(grant, dispatch.Abandoned)
				x.sink.Break()
				return outcomeCallerLeft, false
			}
			if id := splitter.LastID(); id != "" {
				x.stream.lastEvent = id
			}
		}
		if err == io.EOF {
			return x.streamEnded(ctx, grant, answer, splitter.Pending())
		}
		if err != nil {
			return x.broken(ctx, grant, err)
		}
	}
}

func (x *exchange) noteFirstEvent(grant *dispatch.Grant) {
	x.gateway.firstEvent(grant)
	if x.firstAfter == 0 {
		x.firstAfter = time.Since(x.request.Arrived)
		x.gateway.meters.first.Update(x.firstAfter)
	}
}

// passEvents sends whole events on, after the head that came with the first.
func (x *exchange) passEvents(answer *forward.Response, whole []byte) error {
	if len(whole) == 0 {
		return nil
	}
	if !x.stream.begun {
		x.stream.begun = true
		x.sink.Begin(answer.Status, answer.Header, -1)
	}
	return x.sink.Write(whole)
}

func (x *exchange) streamEnded(ctx context.Context, grant *dispatch.Grant, answer *forward.Response, pending int) (outcome string, again bool) {
	if pending > 0 {
		return x.broken(ctx, grant, errors.New("the stream ended inside an event"))
	}
	if !x.stream.begun {
		x.stream.begun = true
		x.sink.Begin(answer.Status, answer.Header, 0)
	}
	x.sink.End()
	x.gateway.ended(grant, dispatch.Succeeded)
	return outcomeAnswered, false
}
