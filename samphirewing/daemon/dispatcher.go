package daemon

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	// resumeAttempts is how often a broken stream is taken up again on the
	// same endpoint.
	resumeAttempts = 3
	resumeBackoff  = 100 * time.Millisecond
	// progressEvery bounds the progress reports of one running request.
	progressEvery = 500 * time.Millisecond
	// cancelTimeout bounds the cancel order to an engine.
	cancelTimeout = 2 * time.Second
)

// dispatcher sends granted requests to endpoints, each once.
type dispatcher struct {
	clock     clock.Clock
	endpoints *endpoints
	bookings  bookings
	service   func(structs.Target) (repeatable bool)
	tracer    trace.Tracer
	// firstToken is told the time from acceptance to the first token.
	firstToken func(structs.TierName, time.Duration)
}

// bookings guards calls that may not be repeated.
type bookings interface {
	// begin asks for the permission to send the call of a key. A nil permit
	// comes with what ends the request unsent.
	begin(ctx context.Context, b booking) (permit, *settledBooking)
}

// settledBooking ends a request whose call is not sent by this attempt.
type settledBooking struct {
	declined entry.Declined
	// summary is what the attempt that holds the key recorded, or nil.
	summary []byte
}

// booking is one call that may not be repeated.
type booking struct {
	organisation structs.OrganisationName
	service      structs.Target
	key          string
	issued       time.Time
	sendBy       time.Time
}

// permit allows one call to be sent.
type permit interface {
	// maySend tells, right before the call, whether its time is left.
	maySend(now time.Time) bool
	// end records how the call ended, with a summary of its answer.
	end(outcome structs.Outcome, summary []byte)
}

// run carries out one dispatch and returns its only answer: NotSent, Declined
// or Ended.
func (d *dispatcher) run(ctx context.Context, ef entry.Dispatch, a *answer, step func(entry.Event)) entry.Event {
	hop := telemetry.HopEngine
	if a.submission.Kind == structs.WorkService {
		hop = telemetry.HopService
	}
	ctx, span := telemetry.StartHop(telemetry.WithTraceParent(ctx, a.submission.TraceParent), d.tracer, hop)
	var end entry.Event
	if a.submission.Kind == structs.WorkService {
		end = d.callService(ctx, ef, a)
	} else {
		end = d.generate(ctx, ef, a, step)
	}
	telemetry.EndHop(span, eventError(end))
	return end
}

// generation follows one answer stream of a model request.
type generation struct {
	dispatch     entry.Dispatch
	answer       *answer
	step         func(entry.Event)
	clock        clock.Clock
	engine       edge.Engine
	attempt      edge.Attempt
	started      time.Time
	firstToken   func(structs.TierName, time.Duration)
	firstAfter   time.Duration
	lastProgress time.Time
	sequence     uint64
	output       structs.Tokens
}

func (d *dispatcher) generate(ctx context.Context, ef entry.Dispatch, a *answer, step func(entry.Event)) entry.Event {
	engine, ok := d.endpoints.engine(ef.Endpoint)
	if !ok {
		return entry.NotSent{Request: ef.Request, Attempt: ef.Attempt, Reason: structs.ReasonNoEndpoint}
	}
	g := &generation{
		dispatch: ef, answer: a, step: step, clock: d.clock, engine: engine,
		attempt: edge.Attempt{Request: ef.Request, Number: ef.Attempt},
		started: d.clock.Now(), firstToken: d.firstToken,
	}
	stream, err := engine.Generate(ctx, edge.Generation{
		Attempt:     g.attempt,
		Model:       string(a.submission.Target),
		Prompt:      a.submission.Prompt,
		MaxTokens:   a.submission.MaxTokens,
		Seed:        a.submission.Seed,
		Temperature: a.submission.Temperature,
		Stop:        a.submission.Stop,
		TraceParent: telemetry.TraceParent(ctx),
	})
	if errors.Is(err, edge.ErrNotSent) {
		return entry.NotSent{Request: ef.Request, Attempt: ef.Attempt, Reason: structs.ReasonConnectFailed}
	}
	if err != nil {
		err = g.resume(ctx, err)
	} else {
		err = g.follow(stream)
		err = g.resume(ctx, err)
	}
	return g.end(ctx, err)
}

// follow copies frames to the answer. It returns nil after the last one.
func (g *generation) follow(stream edge.FrameStream) error {
	defer stream.Close()
	for {
		frame, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := g.take(frame); err != nil {
			return err
		}
		if frame.Last {
			return nil
		}
	}
}

func (g *generation) take(f edge.Frame) error {
	if f.Sequence != g.sequence+1 {
		return errors.Annotatef(edge.ErrFrameMismatch, "frame %d after %d", f.Sequence, g.sequence)
	}
	g.sequence = f.Sequence
	g.output += f.Tokens
	if f.Text != "" {
		g.answer.add(f.Text, f.Tokens)
	}
	if f.Last {
		g.answer.record(func(r *callerapi.Result) {
			r.FinishReason = f.FinishReason
			r.PromptTokens = f.PromptTokens
			r.CachedTokens = f.CachedTokens
			r.OutputTokens = f.OutputTokens
		})
	}
	g.report()
	return nil
}

// report passes the first token on at once and later progress at a bounded
// rate.
func (g *generation) report() {
	now := g.clock.Now()
	first := time.Duration(0)
	switch {
	case g.firstAfter == 0:
		g.firstAfter = now.Sub(g.started)
		first = g.firstAfter
		g.firstToken(g.answer.submission.Tier, now.Sub(g.answer.accepted))
	case now.Sub(g.lastProgress) < progressEvery:
		return
	}
	g.lastProgress = now
	g.step(entry.Progressed{
		Request: g.dispatch.Request, Attempt: g.dispatch.Attempt,
		FirstTokenAfter: first, Output: g.output,
	})
}

// resume takes a broken stream up again on the same endpoint from the last
// sequence number.
func (g *generation) resume(ctx context.Context, err error) error {
	for attempt := 0; errors.Is(err, edge.ErrIndeterminate) && attempt < resumeAttempts; attempt++ {
		if !sleep(ctx, resumeBackoff<<attempt) {
			return err
		}
		stream, resumeErr := g.engine.Resume(ctx, g.attempt, g.sequence)
		if resumeErr != nil {
			continue
		}
		err = g.follow(stream)
	}
	return err
}

func (g *generation) end(ctx context.Context, err error) entry.Event {
	outcome, reason := outcomeOf(err, structs.ReasonEngineError, structs.ReasonStreamBroken)
	if err != nil {
		g.cancel()
	}
	if ctx.Err() != nil && err != nil {
		outcome = structs.OutcomeFailed
	}
	result := g.answer.Result()
	return entry.Finished{
		Request: g.dispatch.Request, Attempt: g.dispatch.Attempt,
		Outcome: outcome, Reason: reason, Detail: detailOf(err),
		FirstTokenAfter: g.firstAfter, Whole: g.clock.Now().Sub(g.started),
		PromptTokens: result.PromptTokens, CachedTokens: result.CachedTokens, OutputTokens: g.output,
	}
}

// cancel stops the attempt at the engine, so that it does not go on for
// nobody.
func (g *generation) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = g.engine.Cancel(ctx, g.attempt)
}

// outcomeOf returns what an endpoint's error means; failed and lost are the
// reasons for its own failure and for an answer that was lost.
func outcomeOf(err error, failed, lost structs.Reason) (structs.Outcome, structs.Reason) {
	switch {
	case err == nil:
		return structs.OutcomeDone, structs.ReasonNone
	case errors.Is(err, edge.ErrRejected):
		return structs.OutcomeFailed, structs.ReasonEndpointRejected
	case errors.Is(err, edge.ErrFailed):
		return structs.OutcomeFailed, failed
	case errors.Is(err, edge.ErrFrameMismatch):
		return structs.OutcomeUnknown, structs.ReasonFrameMismatch
	default:
		return structs.OutcomeUnknown, lost
	}
}

func detailOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
