package daemon

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/trace"

	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/telemetry"
)

// requestSpans are the entry's spans of one request: the whole, and the wait
// for a grant inside it.
type requestSpans struct {
	context context.Context
	whole   trace.Span
	waiting trace.Span
}

// beginRequest starts the spans and returns the trace context to pass on.
func beginRequest(tracer trace.Tracer, parent string) (requestSpans, string) {
	ctx, whole := telemetry.StartHop(telemetry.WithTraceParent(context.Background(), parent), tracer, telemetry.HopEntry)
	_, waiting := telemetry.StartHop(ctx, tracer, telemetry.HopOffer)
	return requestSpans{context: ctx, whole: whole, waiting: waiting}, telemetry.TraceParent(ctx)
}

// granted ends the wait.
func (s requestSpans) granted() { s.waiting.End() }

// end ends the whole with the refusal that the request ended in, if any.
func (s requestSpans) end(outcome structs.Outcome, reason structs.Reason) {
	s.waiting.End()
	if outcome == structs.OutcomeDone {
		telemetry.EndHop(s.whole, nil)
		return
	}
	telemetry.EndHop(s.whole, structs.Refusal{Outcome: outcome, Reason: reason})
}

// placeSpans are the owner's spans of requests that wait in its shards. Only
// recorded traces take a place in it.
type placeSpans struct {
	tracer trace.Tracer
	mu     sync.Mutex
	spans  map[structs.RequestID]trace.Span
}

func newPlaceSpans(tracer trace.Tracer) *placeSpans {
	return &placeSpans{tracer: tracer, spans: make(map[structs.RequestID]trace.Span)}
}

// offered starts the span of a request that is offered for the first time.
func (p *placeSpans) offered(o scheduling.Offer) {
	if o.Request.TraceParent == "" || o.Running {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.spans[o.Request.ID]; known {
		return
	}
	ctx := telemetry.WithTraceParent(context.Background(), o.Request.TraceParent)
	if _, span := telemetry.StartHop(ctx, p.tracer, telemetry.HopPlace); span.IsRecording() {
		p.spans[o.Request.ID] = span
	}
}

// settled ends the span when the request is granted, refused or withdrawn.
func (p *placeSpans) settled(id structs.RequestID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	span, ok := p.spans[id]
	if !ok {
		return
	}
	delete(p.spans, id)
	telemetry.EndHop(span, err)
}

// eventError returns the fault that a dispatch's answer stands for, or nil.
func eventError(e entry.Event) error {
	switch ev := e.(type) {
	case entry.NotSent:
		return structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: ev.Reason}
	case entry.Declined:
		if ev.Outcome != structs.OutcomeDone {
			return structs.Refusal{Outcome: ev.Outcome, Reason: ev.Reason}
		}
	case entry.Finished:
		if ev.Outcome != structs.OutcomeDone {
			return structs.Refusal{Outcome: ev.Outcome, Reason: ev.Reason}
		}
	}
	return nil
}
