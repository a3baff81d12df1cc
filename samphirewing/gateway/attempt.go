package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/forward"
)

const (
	// maxUnsent bounds the endpoints tried whose connection can't be made.
	maxUnsent = 4
	// answerWay is what the answer's way back to the caller takes.
	answerWay = 5 * time.Millisecond
	// minRemaining is the least time left for which a request is sent.
	minRemaining = 10 * time.Millisecond
	// rejectedRetryAfter is what callers are told whose endpoint was full.
	rejectedRetryAfter = 100 * time.Millisecond
)

// attempt places the request once and sends it. It returns again when the
// request is to be placed anew.
func (x *exchange) attempt(ctx context.Context) (outcome string, again bool) {
	_, span := telemetry.StartHop(ctx, x.gateway.options.Tracer, telemetry.HopWait)
	d, err := x.gateway.place(ctx, &x.scheduled)
	span.End()
	switch {
	case err != nil && context.Cause(ctx) == errTimeUp:
		return x.giveUp("the time was up before a place was free", rejectedRetryAfter), false
	case err != nil:
		x.returnQuota()
		return outcomeCallerLeft, false
	case d.refusal != nil:
		x.gateway.emitRefusal(x, d.refusal)
		return x.giveUp(string(d.refusal.Reason), d.refusal.RetryAfter), false
	}
	return x.send(ctx, d.grant)
}

// giveUp ends a request that gets no further place.
func (x *exchange) giveUp(reason string, retryAfter time.Duration) string {
	if x.stream.begun {
		return x.breakOff(reason)
	}
	if x.mayHaveRun {
		return x.fail(Failure{Kind: MayHaveRun, Reason: reason})
	}
	return x.fail(Failure{Kind: NotRun, Reason: reason, RetryAfter: retryAfter})
}

// breakOff ends an answer that the caller has a part of.
func (x *exchange) breakOff(reason string) string {
	x.reason = reason
	x.sink.Break()
	return outcomeBroken
}

func (x *exchange) fail(f Failure) string {
	x.failure, x.reason = f, f.Reason
	x.returnQuota()
	x.sink.Fail(f)
	return f.Kind.String()
}

// send sends the request to the granted endpoint.
func (x *exchange) send(ctx context.Context, grant *dispatch.Grant) (outcome string, again bool) {
	ctx, span := telemetry.StartHop(ctx, x.gateway.options.Tracer, telemetry.HopSend)
	defer span.End()
	remaining := time.Until(x.endsAt) - answerWay
	if remaining < minRemaining {
		x.gateway.ended(grant, dispatch.Abandoned)
		return x.giveUp("too little time is left to send the request", 0), false
	}
	x.endpoint = grant.Endpoint.Name
	x.gateway.meters.waited.Update(grant.Waited)
	x.gateway.emitPlaced(x, grant)
	attempt := Attempt{Endpoint: grant.Endpoint, Remaining: remaining, LastEvent: x.request.LastEvent, TraceParent: telemetry.TraceParent(ctx)}
	if x.organisation != nil {
		attempt.Organisation = x.organisation.Name
	}
	if x.stream.lastEvent != "" {
		attempt.LastEvent = x.stream.lastEvent
	}
	answer, err := x.gateway.options.Client.Send(ctx, grant.Endpoint.Address, x.gateway.options.Dialect.Encode(x.request, attempt))
	if err != nil {
		return x.sendFailed(ctx, grant, err)
	}
	x.countSend()
	if x.gateway.options.Dialect.NotRun(answer) {
		answer.Body.Close()
		return x.rejected(grant, answer)
	}
	x.mayHaveRun = true
	defer answer.Body.Close()
	if x.route.Streaming && answer.Status == http.StatusOK {
		return x.relayStream(ctx, grant, answer)
	}
	if x.stream.begun {
		// The caller has the head of a stream; nothing but more of its events
		// may follow.
		return x.broken(ctx, grant, errors.Errorf("status %d to the rest of a stream", answer.Status))
	}
	return x.relayWhole(ctx, grant, answer)
}

// countSend counts one endpoint that read the request.
func (x *exchange) countSend() {
	x.sends++
	x.gateway.meters.sends.Inc(1)
	if x.sends == 1 {
		x.gateway.countFirstSend(x.pool)
	}
}

func (x *exchange) sendFailed(ctx context.Context, grant *dispatch.Grant, err error) (outcome string, again bool) {
	if errors.Is(err, forward.ErrNotSent) {
		if ctx.Err() != nil {
			x.gateway.ended(grant, dispatch.Abandoned)
			return x.interrupted(ctx), false
		}
		x.gateway.ended(grant, dispatch.Unreachable)
		x.emitAttemptFailed(grant, "not-sent", err)
		x.scheduled.Tried = append(x.scheduled.Tried, grant.Endpoint.Name)
		if x.unsent++; x.unsent < maxUnsent {
			return "", true
		}
		return x.giveUp("no endpoint could be reached", rejectedRetryAfter), false
	}
	x.countSend()
	x.mayHaveRun = true
	return x.broken(ctx, grant, err)
}

// interrupted ends a request whose caller left or whose time is up.
func (x *exchange) interrupted(ctx context.Context) string {
	if context.Cause(ctx) != errTimeUp {
		x.returnQuota()
		return outcomeCallerLeft
	}
	if x.stream.begun {
		return x.breakOff("the time was up before the stream ended")
	}
	if !x.mayHaveRun {
		return x.fail(Failure{Kind: NotRun, Reason: "the time was up before the request was sent"})
	}
	return x.fail(Failure{Kind: TimedOut, Reason: "the endpoint did not answer in time"})
}

// broken handles a request that may have run and whose answer was lost.
func (x *exchange) broken(ctx context.Context, grant *dispatch.Grant, err error) (outcome string, again bool) {
	if ctx.Err() != nil {
		x.gateway.ended(grant, dispatch.Abandoned)
		return x.interrupted(ctx), false
	}
	x.gateway.ended(grant, dispatch.Unreachable)
	x.emitAttemptFailed(grant, "broken", err)
	if x.route.Repeat == routing.AtMostOnce || !x.mayGoOn(grant) {
		return x.giveUp("the endpoint's answer was lost", 0), false
	}
	return "", true
}

// mayGoOn takes a retry for the request; it returns false when its route or
// the budget allows none.
func (x *exchange) mayGoOn(grant *dispatch.Grant) bool {
	if x.sends >= x.route.MaxEndpoints || !x.gateway.mayRetry(x.pool) {
		return false
	}
	x.scheduled.Tried = append(x.scheduled.Tried, grant.Endpoint.Name)
	x.scheduled.StartBy = x.endsAt.Add(-minRemaining)
	x.gateway.meters.retries.Inc(1)
	return true
}

// rejected handles an endpoint that states that it didn't run the request.
func (x *exchange) rejected(grant *dispatch.Grant, answer *forward.Response) (outcome string, again bool) {
	x.gateway.ended(grant, dispatch.Rejected)
	x.emitAttemptFailed(grant, "rejected", errors.Errorf("status %d", answer.Status))
	if !x.mayGoOn(grant) {
		return x.giveUp("the endpoint rejected the request", rejectedRetryAfter), false
	}
	return "", true
}

func (x *exchange) emitAttemptFailed(grant *dispatch.Grant, what string, err error) {
	x.gateway.options.Events.Emit(EventAttemptFailed,
		events.F("request", x.request.ID), events.F("endpoint", grant.Endpoint.Name), events.F("attempt", x.sends),
		events.F("result", what), events.F("error", err), events.F("may_have_run", x.mayHaveRun))
}
