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
	// maxResumeAttempts bounds the attempts to resume a broken stream on the same
	// endpoint; the delay before them starts at resumeBackoff and doubles.
	maxResumeAttempts = 3
	resumeBackoff     = 100 * time.Millisecond
	// minProgressInterval bounds the rate of progress reports for one request.
	minProgressInterval = 500 * time.Millisecond
	// cancelTimeout bounds a cancel call to an engine.
	cancelTimeout = 2 * time.Second
)

// dispatcher sends granted requests to endpoints, each once.
type dispatcher struct {
	clock        clock.Clock
	endpoints    *endpointRegistry
	bookings     bookingGuard
	isRepeatable func(structs.Target) (repeatable bool)
	tracer       trace.Tracer
	// observeFirstToken receives the time from acceptance to the first token.
	observeFirstToken func(structs.TierName, time.Duration)
}

// bookingGuard guards calls that are not repeatable against a second execution.
type bookingGuard interface {
	// acquire requests the permission to send the call of a key. Exactly one
	// result is nil: without a permit, the request ends unsent with the settled
	// booking.
	acquire(ctx context.Context, b booking) (permit, *settledBooking)
}

// settledBooking is the result of a request whose call this attempt does not send.
type settledBooking struct {
	declined entry.Declined
	// summary is the summary recorded by the attempt that owns the key, or nil.
	summary []byte
}

// booking identifies one call that is not repeatable.
type booking struct {
	organisation structs.OrganisationName
	service      structs.Target
	key          string
	issued       time.Time
	sendBy       time.Time
}

// permit allows one call to be sent.
type permit interface {
	// maySend reports whether the call may still be sent; it is called
	// immediately before sending.
	maySend(now time.Time) bool
	// recordOutcome records the outcome of the call and a summary of its answer.
	recordOutcome(outcome structs.Outcome, summary []byte)
}

// run performs one dispatch and returns its result event: NotSent, Declined or
// Finished. It passes Progressed events to enqueue.
func (d *dispatcher) run(ctx context.Context, dispatch entry.Dispatch, a *answer, enqueue func(entry.Event)) entry.Event {
	hop := telemetry.HopEngine
	if a.submission.Kind == structs.WorkService {
		hop = telemetry.HopService
	}
	ctx, span := telemetry.StartHop(telemetry.WithTraceParent(ctx, a.submission.TraceParent), d.tracer, hop)
	var event entry.Event
	if a.submission.Kind == structs.WorkService {
		event = d.callService(ctx, dispatch, a)
	} else {
		event = d.generate(ctx, dispatch, a, enqueue)
	}
	telemetry.EndHop(span, eventError(event))
	return event
}

// generation reads the answer stream of one model request.
type generation struct {
	dispatch          entry.Dispatch
	answer            *answer
	enqueue           func(entry.Event)
	clock             clock.Clock
	engine            edge.Engine
	attempt           edge.Attempt
	started           time.Time
	observeFirstToken func(structs.TierName, time.Duration)
	firstTokenAfter   time.Duration
	lastProgress      time.Time
	sequence          uint64
	output            structs.Tokens
}

func (d *dispatcher) generate(ctx context.Context, dispatch entry.Dispatch, a *answer, enqueue func(entry.Event)) entry.Event {
	engine, ok := d.endpoints.engine(dispatch.Endpoint)
	if !ok {
		return entry.NotSent{Request: dispatch.Request, Attempt: dispatch.Attempt, Reason: structs.ReasonNoEndpoint}
	}
	g := &generation{
		dispatch: dispatch, answer: a, enqueue: enqueue, clock: d.clock, engine: engine,
		attempt: edge.Attempt{Request: dispatch.Request, Number: dispatch.Attempt},
		started: d.clock.Now(), observeFirstToken: d.observeFirstToken,
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
		return entry.NotSent{Request: dispatch.Request, Attempt: dispatch.Attempt, Reason: structs.ReasonConnectFailed}
	}
	if err != nil {
		err = g.resume(ctx, err)
	} else {
		err = g.copyFrames(stream)
		err = g.resume(ctx, err)
	}
	return g.endedEvent(ctx, err)
}

// copyFrames copies frames to the answer. It returns nil after the last one.
func (g *generation) copyFrames(stream edge.FrameStream) error {
	defer stream.Close()
	for {
		frame, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := g.applyFrame(frame); err != nil {
			return err
		}
		if frame.Last {
			return nil
		}
	}
}

// applyFrame checks the sequence number of a frame and appends it to the answer.
func (g *generation) applyFrame(f edge.Frame) error {
	if f.Sequence != g.sequence+1 {
		return errors.Annotatef(edge.ErrFrameMismatch, "frame %d after %d", f.Sequence, g.sequence)
	}
	g.sequence = f.Sequence
	g.output += f.Tokens
	if f.Text != "" {
		g.answer.appendChunk(f.Text, f.Tokens)
	}
	if f.Last {
		g.answer.updateResult(func(r *callerapi.Result) {
			r.FinishReason = f.FinishReason
			r.PromptTokens = f.PromptTokens
			r.CachedTokens = f.CachedTokens
			r.OutputTokens = f.OutputTokens
		})
	}
	g.reportProgress()
	return nil
}

// reportProgress reports the first token immediately and later progress at most
// once per minProgressInterval.
func (g *generation) reportProgress() {
	now := g.clock.Now()
	first := time.Duration(0)
	switch {
	case g.firstTokenAfter == 0:
		g.firstTokenAfter = now.Sub(g.started)
		first = g.firstTokenAfter
		g.observeFirstToken(g.answer.submission.Tier, now.Sub(g.answer.acceptedAt))
	case now.Sub(g.lastProgress) < minProgressInterval:
		return
	}
	g.lastProgress = now
	g.enqueue(entry.Progressed{
		Request: g.dispatch.Request, Attempt: g.dispatch.Attempt,
		FirstTokenAfter: first, Output: g.output,
	})
}

// resume resumes a broken stream on the same endpoint after the last sequence
// number received.
func (g *generation) resume(ctx context.Context, err error) error {
	for attempt := 0; errors.Is(err, edge.ErrIndeterminate) && attempt < maxResumeAttempts; attempt++ {
		if !sleep(ctx, resumeBackoff<<attempt) {
			return err
		}
		stream, resumeErr := g.engine.Resume(ctx, g.attempt, g.sequence)
		if resumeErr != nil {
			continue
		}
		err = g.copyFrames(stream)
	}
	return err
}

func (g *generation) endedEvent(ctx context.Context, err error) entry.Event {
	outcome, reason := classifyError(err, structs.ReasonEngineError, structs.ReasonStreamBroken)
	if err != nil {
		g.cancel()
	}
	if ctx.Err() != nil && err != nil {
		outcome = structs.OutcomeFailed
	}
	result := g.answer.Result()
	return entry.Finished{
		Request: g.dispatch.Request, Attempt: g.dispatch.Attempt,
		Outcome: outcome, Reason: reason, Detail: errorDetail(err),
		FirstTokenAfter: g.firstTokenAfter, Duration: g.clock.Now().Sub(g.started),
		PromptTokens: result.PromptTokens, CachedTokens: result.CachedTokens, OutputTokens: g.output,
	}
}

// cancel cancels the attempt at the engine, so that the engine stops generating
// output that nobody reads.
func (g *generation) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = g.engine.Cancel(ctx, g.attempt)
}

// classifyError maps an endpoint's error to an outcome and a reason. failed and
// lost are the reasons to use for a failure of the endpoint itself and for a lost
// answer.
func classifyError(err error, failed, lost structs.Reason) (structs.Outcome, structs.Reason) {
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

func errorDetail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sleep waits for d and reports whether it elapsed before the context was done.
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
