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

// stream sends one answer as server-sent events. It belongs to one goroutine.
type stream struct {
	api     *api
	w       http.ResponseWriter
	control *http.ResponseController
	answer  Answer
	form    answerForm
	encoder *completions.Encoder
	// after is the sequence number of the last chunk that was sent.
	after uint64
	// started is set once the status line has gone out.
	started bool
	// buffer holds the events of one write.
	buffer []byte
}

// streamAnswer sends the chunks after a sequence number. An answer that ends
// without a chunk gets its own HTTP status, unless a keep-alive went out first.
func (a *api) streamAnswer(w http.ResponseWriter, r *http.Request, answer Answer, form answerForm, after uint64) {
	s := &stream{
		api:     a,
		w:       w,
		control: http.NewResponseController(w),
		answer:  answer,
		form:    form,
		encoder: completions.NewEncoder(form.style, answer.ID(), form.model, form.created),
		after:   after,
	}
	s.run(r.Context())
}

func (s *stream) run(ctx context.Context) {
	for {
		chunks, ended, err := s.next(ctx)
		if ctx.Err() != nil {
			s.api.callerLeft(s.answer)
			return
		}
		if err != nil {
			s.buffer = sse.AppendComment(s.buffer, "keep-alive")
		}
		if !s.appendChunks(chunks) {
			s.finish(brokenResult())
			return
		}
		if ended {
			s.finish(s.answer.Result())
			return
		}
		if s.flush() != nil {
			s.api.callerLeft(s.answer)
			return
		}
	}
}

// next waits for chunks, at most for the keep-alive interval.
func (s *stream) next(ctx context.Context) ([]Chunk, bool, error) {
	wait, cancel := context.WithTimeout(ctx, s.api.options.KeepAlive)
	defer cancel()
	return s.answer.Next(wait, s.after)
}

func (s *stream) appendChunks(chunks []Chunk) bool {
	for _, c := range chunks {
		if !s.api.inSequence(s.answer, s.after, c) {
			return false
		}
		data := s.encoder.AppendText(nil, c.Text, s.after == 0)
		s.buffer = sse.AppendEvent(s.buffer, sse.Event{ID: c.Sequence, Data: data})
		s.after = c.Sequence
	}
	return true
}

func (s *stream) finish(r Result) {
	switch {
	case r.Outcome == structs.OutcomeDone:
		s.appendEnd(r)
	case !s.started && len(s.buffer) == 0:
		s.api.writeOutcome(s.w, s.answer.ID(), r)
		return
	default:
		s.appendError(r)
	}
	if s.flush() != nil {
		s.api.callerLeft(s.answer)
	}
}

func (s *stream) appendEnd(r Result) {
	s.appendData(s.encoder.AppendFinish(nil, r.FinishReason))
	if s.form.includeUsage {
		usage := completions.NewUsage(r.PromptTokens, r.CachedTokens, r.OutputTokens)
		s.appendData(s.encoder.AppendUsage(nil, usage))
	}
	s.appendData([]byte(completions.DoneMarker))
}

func (s *stream) appendData(data []byte) {
	s.buffer = sse.AppendEvent(s.buffer, sse.Event{Data: data})
}

func (s *stream) appendError(r Result) {
	data, err := json.Marshal(outcomeBody(s.answer.ID(), r))
	if err != nil {
		panic(err)
	}
	s.buffer = sse.AppendEvent(s.buffer, sse.Event{Name: completions.ErrorEvent, Data: data})
}

// flush sends the buffered events in one write.
func (s *stream) flush() error {
	if !s.started {
		h := s.w.Header()
		h.Set("Content-Type", sse.ContentType)
		h.Set("Cache-Control", "no-store")
		s.started = true
	}
	s.api.armWrite(s.w)
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

// inSequence asserts that a chunk follows the one before it.
func (a *api) inSequence(answer Answer, after uint64, c Chunk) bool {
	ok := invariant.Check(c.Sequence == after+1, AnswerSequence,
		"request %s: chunk %d after %d", answer.ID(), c.Sequence, after)
	if !ok {
		a.options.Events.Emit(eventSequenceBroken, events.F("request", answer.ID()))
	}
	return ok
}

func (a *api) callerLeft(answer Answer) {
	a.options.Events.Emit(eventCallerLeft, events.F("request", answer.ID()))
}

// brokenResult ends an answer whose chunks did not follow each other.
func brokenResult() Result {
	return Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonFrameMismatch}
}
