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

// requestSpans are the entry's spans of one request: the request itself and, within
// it, the wait for a grant.
type requestSpans struct {
	ctx     context.Context
	request trace.Span
	offer   trace.Span
}

// startRequestSpans starts the spans and returns the trace context to propagate.
func startRequestSpans(tracer trace.Tracer, parent string) (requestSpans, string) {
	ctx, request := telemetry.StartHop(telemetry.WithTraceParent(context.Background(), parent), tracer, telemetry.HopEntry)
	_, offer := telemetry.StartHop(ctx, tracer, telemetry.HopOffer)
	return requestSpans{ctx: ctx, request: request, offer: offer}, telemetry.TraceParent(ctx)
}

// endOffer ends the span of the wait for a grant.
func (s requestSpans) endOffer() { s.offer.End() }

// end ends both spans, with a refusal as error unless the outcome is done.
func (s requestSpans) end(outcome structs.Outcome, reason structs.Reason) {
	s.offer.End()
	if outcome == structs.OutcomeDone {
		telemetry.EndHop(s.request, nil)
		return
	}
	telemetry.EndHop(s.request, structs.Refusal{Outcome: outcome, Reason: reason})
}

// queueSpans are the owner's spans of requests queued in its shards. Only sampled
// spans are stored.
type queueSpans struct {
	tracer trace.Tracer
	mu     sync.Mutex
	spans  map[structs.RequestID]trace.Span
}

func newQueueSpans(tracer trace.Tracer) *queueSpans {
	return &queueSpans{tracer: tracer, spans: make(map[structs.RequestID]trace.Span)}
}

// start starts the span of a request when it is first offered.
func (q *queueSpans) start(o scheduling.Offer) {
	if o.Request.TraceParent == "" || o.Running {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.spans[o.Request.ID]; known {
		return
	}
	ctx := telemetry.WithTraceParent(context.Background(), o.Request.TraceParent)
	if _, span := telemetry.StartHop(ctx, q.tracer, telemetry.HopPlace); span.IsRecording() {
		q.spans[o.Request.ID] = span
	}
}

// end ends the span when the request is granted, refused or withdrawn.
func (q *queueSpans) end(id structs.RequestID, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	span, ok := q.spans[id]
	if !ok {
		return
	}
	delete(q.spans, id)
	telemetry.EndHop(span, err)
}

// eventError returns the error that a dispatch's result event represents, or nil.
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
