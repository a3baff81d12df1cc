package callerapi

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/protocol/sse"
	"github.com/samphirewing/samphirewing/state/structs"
)

// AnswerSequence is the invariant that a caller receives the chunks of its
// answer in order and each exactly once.
const AnswerSequence invariant.Name = "caller-answer-sequence"

const (
	// flushThresholdBytes is the buffer size at which events are written out.
	flushThresholdBytes = 16 << 10
	// maxRetainedBufferBytes is the capacity up to which a delivery keeps its
	// buffer while it waits. It limits the memory of idle streams.
	maxRetainedBufferBytes = 2 << 10
)

// delivery sends one answer to one connection. It is not safe for concurrent use.
type delivery struct {
	api     *api
	w       http.ResponseWriter
	answer  Answer
	format  responseFormat
	encoder *completions.Encoder
	// lastSequence is the sequence number of the last chunk received from answer.
	lastSequence uint64
	// headerSent is set when the status line and headers of a stream are sent.
	headerSent bool
	// buffer holds the events of the next write.
	buffer []byte
}

// newDelivery returns a delivery that starts after the given sequence number.
func (a *api) newDelivery(w http.ResponseWriter, answer Answer, format responseFormat, after uint64) *delivery {
	d := &delivery{api: a, w: w, answer: answer, format: format, lastSequence: after}
	if format.stream {
		d.encoder = completions.NewEncoder(format.style, answer.ID(), format.model, format.created)
	}
	return d
}

// stream sends the answer as server-sent events. A request that fails before its
// first chunk is answered with an HTTP error status, unless a keep-alive was sent
// before.
func (d *delivery) stream(ctx context.Context) {
	for d.step(ctx) {
	}
}

// step waits for chunks, at most for the keep-alive interval, and sends them.
// It returns false when the stream has ended.
func (d *delivery) step(ctx context.Context) bool {
	chunks, finished, err := d.next(ctx)
	if ctx.Err() != nil {
		d.api.abortDisconnected(d.answer)
	}
	if err != nil {
		d.buffer = sse.AppendComment(d.buffer, "keep-alive")
	}
	for _, c := range chunks {
		if !d.appendChunk(c) {
			return false
		}
	}
	if finished {
		d.finish(d.answer.Result())
		return false
	}
	d.flush()
	return true
}

func (d *delivery) next(ctx context.Context) ([]Chunk, bool, error) {
	wait, cancel := context.WithTimeout(ctx, d.api.options.KeepAlive)
	defer cancel()
	return d.answer.Next(wait, d.lastSequence)
}

// appendChunk adds a chunk to the buffer and flushes it when it is full. It
// returns false when the stream has ended.
func (d *delivery) appendChunk(c Chunk) bool {
	first := d.lastSequence == 0
	if !d.checkSequence(c) {
		d.finish(sequenceErrorResult())
		return false
	}
	data := d.encoder.AppendText(nil, c.Text, first)
	d.buffer = sse.AppendEvent(d.buffer, sse.Event{ID: c.Sequence, Data: data})
	if len(d.buffer) >= flushThresholdBytes {
		d.flush()
	}
	return true
}

// checkSequence checks that a chunk directly follows the previous one.
func (d *delivery) checkSequence(c Chunk) bool {
	ok := invariant.Check(c.Sequence == d.lastSequence+1, AnswerSequence,
		"request %s: chunk %d after %d", d.answer.ID(), c.Sequence, d.lastSequence)
	if !ok {
		d.api.options.Events.Emit(eventSequenceBroken, events.F("request", d.answer.ID()))
		return false
	}
	d.lastSequence = c.Sequence
	return true
}

func (d *delivery) finish(r Result) {
	switch {
	case r.Outcome == structs.OutcomeDone:
		d.appendFinish(r)
	case !d.headerSent && len(d.buffer) == 0:
		d.api.writeOutcome(d.w, d.answer.ID(), r)
		return
	default:
		d.appendError(r)
	}
	d.flush()
}

func (d *delivery) appendFinish(r Result) {
	d.appendData(d.encoder.AppendFinish(nil, r.FinishReason))
	if d.format.includeUsage {
		usage := completions.NewUsage(r.PromptTokens, r.CachedTokens, r.OutputTokens)
		d.appendData(d.encoder.AppendUsage(nil, usage))
	}
	d.appendData([]byte(completions.DoneMarker))
}

func (d *delivery) appendData(data []byte) {
	d.buffer = sse.AppendEvent(d.buffer, sse.Event{Data: data})
}

func (d *delivery) appendError(r Result) {
	data, err := json.Marshal(outcomeBody(d.answer.ID(), r))
	if err != nil {
		panic(err)
	}
	d.buffer = sse.AppendEvent(d.buffer, sse.Event{Name: completions.ErrorEvent, Data: data})
}

// flush sends the buffered events in one write.
func (d *delivery) flush() {
	if !d.headerSent {
		h := d.w.Header()
		h.Set("Content-Type", sse.ContentType)
		h.Set("Cache-Control", "no-store")
		d.headerSent = true
	}
	d.api.setWriteDeadline(d.w)
	_, err := d.w.Write(d.buffer)
	d.buffer = d.buffer[:0]
	if cap(d.buffer) > maxRetainedBufferBytes {
		d.buffer = nil
	}
	if err == nil {
		err = http.NewResponseController(d.w).Flush()
	}
	if err != nil {
		d.api.abortDisconnected(d.answer)
	}
}

// abortDisconnected ends the handler of a caller that is gone. If the caller has closed one
// half of its connection only, it must not read a success that net/http completes by itself.
func (a *api) abortDisconnected(answer Answer) {
	a.options.Events.Emit(eventCallerLeft, events.F("request", answer.ID()))
	panic(http.ErrAbortHandler)
}

// sequenceErrorResult is the result of an answer with a gap or a repetition in
// its chunks.
func sequenceErrorResult() Result {
	return Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonFrameMismatch}
}
