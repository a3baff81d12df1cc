package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// callService sends one call of a plain service. A call that is not repeatable is
// sent only with the journal's permission.
func (d *dispatcher) callService(ctx context.Context, dispatch entry.Dispatch, a *answer) entry.Event {
	service, ok := d.endpoints.service(dispatch.Endpoint)
	if !ok {
		return entry.NotSent{Request: dispatch.Request, Attempt: dispatch.Attempt, Reason: structs.ReasonNoEndpoint}
	}
	if d.isRepeatable(a.submission.Target) {
		return d.sendServiceCall(ctx, dispatch, a, service, nil)
	}
	intentCtx, span := telemetry.StartHop(ctx, d.tracer, telemetry.HopJournal)
	p, settled := d.bookings.acquire(intentCtx, booking{
		organisation: a.submission.Organisation,
		service:      a.submission.Target,
		key:          a.submission.CallerKey,
		issued:       a.submission.KeyIssued,
		sendBy:       dispatch.Deadline,
	})
	span.End()
	if settled != nil {
		return settled.deliver(dispatch, a)
	}
	if ctx.Err() != nil || !p.maySend(d.clock.Now()) {
		p.recordOutcome(structs.OutcomeNotRun, nil)
		return entry.Declined{
			Request: dispatch.Request, Attempt: dispatch.Attempt,
			Outcome: structs.OutcomeNotRun, Reason: structs.ReasonDeadlineInQueue,
		}
	}
	return d.sendServiceCall(ctx, dispatch, a, service, p)
}

// deliver copies the service's answer recorded for the key, if any, to the
// caller's answer and returns the event that ends the request.
func (s *settledBooking) deliver(dispatch entry.Dispatch, a *answer) entry.Event {
	var summary callSummary
	if json.Unmarshal(s.summary, &summary) == nil {
		a.updateResult(func(r *callerapi.Result) {
			r.ServiceStatus = summary.Status
			r.ServiceBody = summary.Body
		})
	}
	declined := s.declined
	declined.Request = dispatch.Request
	declined.Attempt = dispatch.Attempt
	return declined
}

func (d *dispatcher) sendServiceCall(ctx context.Context, dispatch entry.Dispatch, a *answer, service edge.Service, p permit) entry.Event {
	started := d.clock.Now()
	// The call continues when the caller leaves, because it may already have
	// taken effect.
	ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), dispatch.Deadline)
	defer stop()
	response, err := service.Call(ctx, edge.ServiceCall{
		Service:     string(a.submission.Target),
		Key:         edge.ScopedKey(a.submission.Organisation, a.submission.CallerKey),
		Body:        a.submission.Body,
		TraceParent: telemetry.TraceParent(ctx),
	})
	if errors.Is(err, edge.ErrNotSent) {
		return d.serviceCallNotSent(dispatch, p)
	}
	outcome, reason := classifyError(err, structs.ReasonServiceError, structs.ReasonAnswerLost)
	if p != nil {
		p.recordOutcome(outcome, encodeSummary(response.Status, response.Body))
	}
	a.updateResult(func(r *callerapi.Result) {
		r.ServiceStatus = response.Status
		r.ServiceBody = response.Body
	})
	return entry.Finished{
		Request: dispatch.Request, Attempt: dispatch.Attempt,
		Outcome: outcome, Reason: reason, Detail: errorDetail(err),
		Duration: d.clock.Now().Sub(started),
	}
}

// serviceCallNotSent handles a call that was not sent. Without a permit, the
// request is queued again. With a permit, the key is released and the request ends;
// whether to retry the key is up to the caller.
func (d *dispatcher) serviceCallNotSent(dispatch entry.Dispatch, p permit) entry.Event {
	if p == nil {
		return entry.NotSent{Request: dispatch.Request, Attempt: dispatch.Attempt, Reason: structs.ReasonConnectFailed}
	}
	p.recordOutcome(structs.OutcomeNotRun, nil)
	return entry.Declined{
		Request: dispatch.Request, Attempt: dispatch.Attempt,
		Outcome: structs.OutcomeNotRun, Reason: structs.ReasonConnectFailed,
		RetryAfter: time.Second,
	}
}
