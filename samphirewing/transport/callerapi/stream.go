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

// AnswerSequence is the invariant that a caller gets the chunks of its answer
// in order, each once.
const AnswerSequence invariant.Name = "caller-answer-sequence"

const (
	// maxWriteBytes is how much is gathered before it is written.
	maxWriteBytes = 16 << 10
	// keptBufferBytes is the largest buffer that a waiting delivery keeps.
	keptBufferBytes = 2 << 10
)

// delivery sends one answer to one connection. It belongs to one goroutine.
type delivery struct {
	api     *api
	w       http.ResponseWriter
	answer  Answer
	form    answerForm
	encoder *completions.Encoder
	// after is the sequence number of the last chunk that was taken.
	after uint64
	// started is set once the status line has gone out.
	started bool
	// buffer holds the events of one write.
	buffer []byte
}

// newDelivery returns a delivery of the chunks after a sequence number.
func (a *api) newDelivery(w http.ResponseWriter, answer Answer, form answerForm, after uint64) *delivery {
	d := &delivery{api: a, w: w, answer: answer, form: form, after: after}
	if form.stream {
		d.encoder = completions.NewEncoder(form.style, answer.ID(), form.model, form.created)
	}
	return d
}

// stream sends the answer as server-sent events. An answer that ends without a
// chunk gets its own HTTP status, unless a keep-alive went out first.
func (d *delivery) stream(ctx context.Context) {
	for d.step(ctx) {
	}
}

// step waits for chunks, at most for the keep-alive interval, and sends them.
// It returns false when nothing more is to be sent.
func (d *delivery) step(ctx context.Context) bool {
	chunks, ended, err := d.next(ctx)
	if ctx.Err() != nil {
		d.api.callerLeft(d.answer)
		return false
	}
	if err != nil {
		d.buffer = sse.AppendComment(d.buffer, "keep-alive")
	}
	for _, c := range chunks {
		if !d.send(c) {
			return false
		}
	}
	if ended {
		d.finish(d.answer.Result())
		return false
	}
	return d.flush()
}

func (d *delivery) next(ctx context.Context) ([]Chunk, bool, error) {
	wait, cancel := context.WithTimeout(ctx, d.api.options.KeepAlive)
	defer cancel()
	return d.answer.Next(wait, d.after)
}

// send adds a chunk to the next write, which it carries out when enough is
// gathered.
func (d *delivery) send(c Chunk) bool {
	first := d.after == 0
	if !d.accept(c) {
		d.finish(brokenResult())
		return false
	}
	data := d.encoder.AppendText(nil, c.Text, first)
	d.buffer = sse.AppendEvent(d.buffer, sse.Event{ID: c.Sequence, Data: data})
	return len(d.buffer) < maxWriteBytes || d.flush()
}

// accept asserts that a chunk follows the one before it.
func (d *delivery) accept(c Chunk) bool {
	ok := invariant.Check(c.Sequence == d.after+1, AnswerSequence,
		"request %s: chunk %d after %d", d.answer.ID(), c.Sequence, d.after)
	if !ok {
		d.api.options.Events.Emit(eventSequenceBroken, events.F("request", d.answer.ID()))
		return false
	}
	d.after = c.Sequence
	return true
}

func (d *delivery) finish(r Result) {
	switch {
	case r.Outcome == structs.OutcomeDone:
		d.appendEnd(r)
	case !d.started && len(d.buffer) == 0:
		d.api.writeOutcome(d.w, d.answer.ID(), r)
		return
	default:
		d.appendError(r)
	}
	d.flush()
}

func (d *delivery) appendEnd(r Result) {
	d.appendData(d.encoder.AppendFinish(nil, r.FinishReason))
	if d.form.includeUsage {
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

// flush sends the buffered events in one write. It returns false when the
// caller has left.
func (d *delivery) flush() bool {
	if !d.started {
		h := d.w.Header()
		h.Set("Content-Type", sse.ContentType)
		h.Set("Cache-Control", "no-store")
		d.started = true
	}
	d.api.armWrite(d.w)
	_, err := d.w.Write(d.buffer)
	d.buffer = d.buffer[:0]
	if cap(d.buffer) > keptBufferBytes {
		d.buffer = nil
	}
	if err == nil {
		err = http.NewResponseController(d.w).Flush()
	}
	if err != nil {
		d.api.callerLeft(d.answer)
	}
	return err == nil
}

func (a *api) callerLeft(answer Answer) {
	a.options.Events.Emit(eventCallerLeft, events.F("request", answer.ID()))
}

// brokenResult ends an answer whose chunks did not follow each other.
func brokenResult() Result {
	return Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonFrameMismatch}
}
