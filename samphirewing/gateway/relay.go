package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/memorybudget"
	"github.com/samphirewing/samphirewing/protocol/sse"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/transport/forward"
)

const (
	// maxBufferedAnswerBytes is the size of the largest answer that is read
	// completely before any of it is forwarded, so that a truncated one can be
	// replaced.
	maxBufferedAnswerBytes = 256 << 10
	// maxEventBytes bounds an incomplete event, since an endpoint may send bytes
	// without end.
	maxEventBytes = 1 << 20
	// readBufferBytes is the size of one read of an answer.
	readBufferBytes = 8 << 10
)

// streamState records how much of a stream the caller has received.
type streamState struct {
	started bool
	// sequence holds the ID of the last complete event forwarded.
	sequence sse.Sequence
	// owesEvent is set while an event has begun and not arrived. A stream is not whole
	// without it, whatever an endpoint says.
	owesEvent bool
	// endUnconfirmed is set while the last event forwarded may be the last of the
	// stream: the attempt that brought it ended after it, and whether that was the end
	// is not known. The rest of the stream may then be empty.
	endUnconfirmed bool
	// bytes is the size of the events that the current attempt has delivered.
	bytes int
}

// relayAnswer forwards an answer that is not a stream.
func (x *exchange) relayAnswer(ctx context.Context, grant *dispatch.Grant, answer *forward.Response) (outcome string, retry bool) {
	prefix, err := x.gateway.readPrefix(answer.Body)
	if err != nil {
		return x.handleLostAnswer(ctx, grant, err)
	}
	defer prefix.release()
	if !x.gateway.options.Dialect.Genuine(answer) && answer.Status < http.StatusMultipleChoices {
		return x.handleLostAnswer(ctx, grant, errors.New("the answer lacks the endpoint's signature"))
	}
	if prefix.complete && !x.endConfirmed(ctx, grant, answer) {
		return x.handleLostAnswer(ctx, grant, errEndUnconfirmed)
	}
	failed := answer.Status >= http.StatusInternalServerError
	if failed && x.route.RetrySafety == routing.Idempotent && x.prepareRetry(grant) {
		x.emitAttemptFailed(grant, "failed", errors.Errorf("status %d", answer.Status))
		x.gateway.finishGrant(grant, dispatch.Failed)
		return "", true
	}
	return x.forwardAnswer(ctx, grant, answer, prefix)
}

// forwardAnswer sends an answer to the caller. prefix is the part of the body
// that has been read.
func (x *exchange) forwardAnswer(ctx context.Context, grant *dispatch.Grant, answer *forward.Response, prefix *answerPrefix) (outcome string, retry bool) {
	x.stream.started = true
	length := answer.Length
	if length < 0 && prefix.complete {
		length = int64(len(prefix.data))
	}
	x.sink.Begin(answer.Status, answer.Header, length)
	x.countAnswerBytes(len(prefix.data))
	err := x.sink.Write(prefix.data)
	if err == nil && !prefix.complete {
		err = x.copyRest(answer)
		if err == nil && !x.endConfirmed(ctx, grant, answer) {
			err = errEndUnconfirmed
		}
	}
	if err != nil {
		x.gateway.finishGrant(grant, failureResult(ctx))
		return x.abortAnswer(err.Error()), false
	}
	x.sink.End()
	result := dispatch.Failed
	if answer.Status < http.StatusInternalServerError {
		result = dispatch.Succeeded
		x.recordProven()
	}
	x.gateway.finishGrant(grant, result)
	return outcomeAnswered, false
}

func failureResult(ctx context.Context) dispatch.Result {
	if ctx.Err() != nil {
		return dispatch.Abandoned
	}
	return dispatch.Failed
}

func (x *exchange) copyRest(answer *forward.Response) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			x.countAnswerBytes(n)
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

// relayStream forwards complete events as they arrive. A stream that breaks is
// resumed on another endpoint if the route allows it.
func (x *exchange) relayStream(ctx context.Context, grant *dispatch.Grant, answer *forward.Response, progress *progressGuard) (outcome string, retry bool) {
	if !x.gateway.options.Dialect.Genuine(answer) {
		return x.handleLostAnswer(ctx, grant, errors.New("the answer lacks the endpoint's signature"))
	}
	splitter := sse.Splitter{}
	buffer := make([]byte, readBufferBytes)
	firstSeen := false
	pace := streamPace{meter: grant.Meter()}
	defer pace.end()
	x.stream.bytes = 0
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if !firstSeen {
				firstSeen, x.progress = true, progressPartial
				x.recordFirstEvent(grant)
			}
			complete, sequenceErr := x.stream.sequence.Add(splitter.Add(buffer[:n]))
			x.stream.bytes += len(complete)
			if len(complete) > 0 {
				x.progress = progressEvents
				x.stream.owesEvent, x.stream.endUnconfirmed = false, false
				progress.reset()
				x.recordProgress()
				pace.record(complete)
			}
			pace.pause()
			writeErr := x.forwardEvents(grant, answer, complete)
			pace.resume()
			if writeErr != nil {
				x.gateway.finishGrant(grant, dispatch.Abandoned)
				if errors.Is(writeErr, memorybudget.ErrUnread) {
					return x.abortAnswer(writeErr.Error()), false
				}
				x.sink.Abort()
				return outcomeCallerLeft, false
			}
			if sequenceErr != nil {
				return x.handleLostAnswer(ctx, grant, sequenceErr)
			}
		}
		x.stream.owesEvent = x.stream.owesEvent || splitter.Pending() > 0
		if splitter.Pending() > maxEventBytes {
			return x.handleLostAnswer(ctx, grant, errors.Errorf("an event is over %d bytes", maxEventBytes))
		}
		if err == io.EOF {
			return x.finishStream(ctx, grant, answer, splitter.Pending())
		}
		if err != nil {
			return x.handleLostAnswer(ctx, grant, err)
		}
	}
}

func (x *exchange) recordFirstEvent(grant *dispatch.Grant) {
	x.gateway.recordFirstEvent(grant)
	if x.firstEventAfter == 0 {
		x.firstEventAfter = time.Since(x.request.Arrived)
		x.gateway.metrics.firstEvent.Update(x.firstEventAfter)
	}
}

// forwardEvents forwards complete events, preceded by the answer's head if
// these are the first.
func (x *exchange) forwardEvents(grant *dispatch.Grant, answer *forward.Response, complete []byte) error {
	if len(complete) == 0 {
		return nil
	}
	x.countAnswerBytes(len(complete))
	if !x.stream.started {
		x.stream.started = true
		x.recordStreamBegan(grant)
		x.sink.Begin(answer.Status, answer.Header, -1)
	}
	return x.sink.Write(complete)
}

func (x *exchange) finishStream(ctx context.Context, grant *dispatch.Grant, answer *forward.Response, pending int) (outcome string, retry bool) {
	if pending > 0 {
		return x.handleLostAnswer(ctx, grant, errors.New("the stream ended inside an event"))
	}
	if x.stream.owesEvent {
		return x.handleLostAnswer(ctx, grant, errors.New("the rest of the stream lacks an event that had begun"))
	}
	if answer.EndsWithConnection && x.progress == progressHead && !x.stream.endUnconfirmed {
		return x.handleLostAnswer(ctx, grant, errors.New("the connection ended before an event"))
	}
	if !x.endConfirmed(ctx, grant, answer) {
		x.stream.endUnconfirmed = x.stream.started
		return x.handleLostAnswer(ctx, grant, errEndUnconfirmed)
	}
	if !x.stream.started {
		x.stream.started = true
		x.sink.Begin(answer.Status, answer.Header, 0)
	}
	x.sink.End()
	x.recordProven()
	x.gateway.recordPace(grant, x.stream.bytes)
	x.gateway.finishGrant(grant, dispatch.Succeeded)
	return outcomeAnswered, false
}
