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

// callService sends one call of a plain service. A call that may not be
// repeated is sent only with the journal's permission.
func (d *dispatcher) callService(ctx context.Context, ef entry.Dispatch, a *answer) entry.Event {
	service, ok := d.endpoints.service(ef.Endpoint)
	if !ok {
		return entry.NotSent{Request: ef.Request, Attempt: ef.Attempt, Reason: structs.ReasonNoEndpoint}
	}
	if d.service(a.submission.Target) {
		return d.send(ctx, ef, a, service, nil)
	}
	intentCtx, span := telemetry.StartHop(ctx, d.tracer, telemetry.HopJournal)
	p, settled := d.bookings.begin(intentCtx, booking{
		organisation: a.submission.Organisation,
		service:      a.submission.Target,
		key:          a.submission.CallerKey,
		issued:       a.submission.KeyIssued,
		sendBy:       ef.Deadline,
	})
	span.End()
	if settled != nil {
		return settled.answer(ef, a)
	}
	if ctx.Err() != nil || !p.maySend(d.clock.Now()) {
		p.end(structs.OutcomeNotRun, nil)
		return entry.Declined{
			Request: ef.Request, Attempt: ef.Attempt,
			Outcome: structs.OutcomeNotRun, Reason: structs.ReasonDeadlineInQueue,
		}
	}
	return d.send(ctx, ef, a, service, p)
}

// answer gives the caller what the attempt that holds the key recorded.
func (s *settledBooking) answer(ef entry.Dispatch, a *answer) entry.Event {
	var summary callSummary
	if json.Unmarshal(s.summary, &summary) == nil {
		a.record(func(r *callerapi.Result) {
			r.ServiceStatus = summary.Status
			r.ServiceBody = summary.Body
		})
	}
	declined := s.declined
	declined.Request = ef.Request
	declined.Attempt = ef.Attempt
	return declined
}

func (d *dispatcher) send(ctx context.Context, ef entry.Dispatch, a *answer, service edge.Service, p permit) entry.Event {
	started := d.clock.Now()
	// A caller that leaves does not cut a call whose effect may stand already.
	ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), ef.Deadline)
	defer stop()
	got, err := service.Call(ctx, edge.ServiceCall{
		Service:     string(a.submission.Target),
		Key:         edge.ScopedKey(a.submission.Organisation, a.submission.CallerKey),
		Body:        a.submission.Body,
		TraceParent: telemetry.TraceParent(ctx),
	})
	if errors.Is(err, edge.ErrNotSent) {
		return d.serviceNotSent(ef, p)
	}
	outcome, reason := outcomeOf(err, structs.ReasonServiceError, structs.ReasonAnswerLost)
	if p != nil {
		p.end(outcome, encodeSummary(got.Status, got.Body))
	}
	a.record(func(r *callerapi.Result) {
		r.ServiceStatus = got.Status
		r.ServiceBody = got.Body
	})
	return entry.Finished{
		Request: ef.Request, Attempt: ef.Attempt,
		Outcome: outcome, Reason: reason, Detail: detailOf(err),
		Whole: d.clock.Now().Sub(started),
	}
}

// serviceNotSent frees the key when there is one, and ends the request: a
// second attempt for the key is a matter of the caller.
func (d *dispatcher) serviceNotSent(ef entry.Dispatch, p permit) entry.Event {
	if p == nil {
		return entry.NotSent{Request: ef.Request, Attempt: ef.Attempt, Reason: structs.ReasonConnectFailed}
	}
	p.end(structs.OutcomeNotRun, nil)
	return entry.Declined{
		Request: ef.Request, Attempt: ef.Attempt,
		Outcome: structs.OutcomeNotRun, Reason: structs.ReasonConnectFailed,
		RetryAfter: time.Second,
	}
}
