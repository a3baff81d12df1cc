package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/stopping"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/forward"
)

const (
	// maxUnsentAttempts bounds the endpoints tried for one request whose
	// connection fails before the request is sent.
	maxUnsentAttempts = 4
	// maxRefusedAttempts bounds the endpoints tried whose address refuses
	// connections, which takes little time.
	maxRefusedAttempts = 12
	// answerTransferTime is deducted from the remaining time for the transfer of
	// the answer to the caller.
	answerTransferTime = 5 * time.Millisecond
	// minRemaining is the minimum remaining time with which a request is sent.
	minRemaining = 10 * time.Millisecond
	// rejectedRetryAfter is the retry delay returned if no slot became free in
	// time, no endpoint could be reached, or the endpoint rejected the request.
	rejectedRetryAfter = 100 * time.Millisecond
)

// attempt waits for a slot and sends the request once. retry is true if the
// request is to be scheduled again.
func (x *exchange) attempt(ctx context.Context) (outcome string, retry bool) {
	if outcome, refused := x.refuseBlocked(false); refused {
		return outcome, false
	}
	_, span := telemetry.StartHop(ctx, x.gateway.options.Tracer, telemetry.HopWait)
	d, err := x.gateway.awaitDecision(ctx, &x.scheduled)
	span.End()
	switch cause := context.Cause(ctx); {
	case err != nil && cause == errRequestDeadline:
		return x.terminate("the time was up before a place was free", rejectedRetryAfter), false
	case err != nil && cause == errStopped:
		return x.terminate(reasonStopping, stopping.RetryAfter), false
	case err != nil:
		x.releaseQuota()
		return outcomeCallerLeft, false
	case d.refusal != nil:
		x.gateway.emitRefusal(x, d.refusal)
		x.gateway.observeRefusal(x, d.refusal)
		return x.terminate(string(d.refusal.Reason), d.refusal.RetryAfter), false
	case d.stopping:
		return x.terminate(reasonStopping, d.retryAfter), false
	}
	return x.send(ctx, d.grant)
}

// terminate ends a request that gets no further attempt, with the failure that
// matches what has been sent so far.
func (x *exchange) terminate(reason string, retryAfter time.Duration) string {
	if x.stream.started {
		return x.abortAnswer(reason)
	}
	if x.mayHaveRun {
		return x.fail(Failure{Kind: MayHaveRun, Reason: reason})
	}
	return x.fail(Failure{Kind: NotRun, Reason: reason, RetryAfter: retryAfter})
}

// abortAnswer ends an answer of which the caller has received a part.
func (x *exchange) abortAnswer(reason string) string {
	x.reason = reason
	x.sink.Abort()
	return outcomeBroken
}

func (x *exchange) fail(f Failure) string {
	x.failure, x.reason = f, f.Reason
	x.releaseQuota()
	x.sink.Fail(f)
	return f.Kind.String()
}

// send sends the request to the granted endpoint.
func (x *exchange) send(ctx context.Context, grant *dispatch.Grant) (outcome string, retry bool) {
	defer x.gateway.releaseUnfinished(grant)
	ctx, span := telemetry.StartHop(ctx, x.gateway.options.Tracer, telemetry.HopSend)
	defer span.End()
	remaining := time.Until(x.deadline) - answerTransferTime
	if remaining < minRemaining {
		x.gateway.finishGrant(grant, dispatch.Abandoned)
		return x.terminate("too little time is left to send the request", 0), false
	}
	if x.gateway.ended.Err() != nil {
		// The request's own context ends a moment later.
		x.gateway.finishGrant(grant, dispatch.Abandoned)
		return x.terminate(reasonStopping, stopping.RetryAfter), false
	}
	if !x.mayHaveRun && x.gateway.refusesUnsent(time.Now(), x.pool, x.deadline) {
		x.gateway.finishGrant(grant, dispatch.Abandoned)
		return x.terminate(reasonStopping, stopping.RetryAfter), false
	}
	// The part may have been blocked while the request waited.
	if outcome, refused := x.refuseBlocked(true); refused {
		x.gateway.finishGrant(grant, dispatch.Abandoned)
		return outcome, false
	}
	x.endpoint, x.otherDomain = grant.Endpoint.Name, grant.Endpoint.FailureDomain != x.gateway.options.FailureDomain
	x.gateway.metrics.waited.Update(grant.Waited)
	x.gateway.emitPlaced(x, grant)
	attempt := Attempt{Endpoint: grant.Endpoint, Remaining: remaining, LastEventID: x.request.LastEventID, TraceParent: telemetry.TraceParent(ctx)}
	if x.organisation != nil {
		attempt.Organisation = x.organisation.Name
	}
	if id := x.stream.sequence.LastID(); id != "" {
		attempt.LastEventID = id
	}
	sendCtx, progress := guardProgress(ctx, x.stallLimit)
	defer progress.stop()
	x.progress, x.proven, x.sentAt = progressNone, false, time.Now()
	request := x.gateway.options.Dialect.Encode(x.request, attempt)
	if x.isResumable() && x.gateway.options.RefreshStreams != nil {
		request.Peer = x.gateway.peerOf(grant.Endpoint)
	}
	answer, err := x.gateway.options.Client.Send(sendCtx, grant.Endpoint.Address, request)
	if err != nil {
		return x.handleSendError(ctx, grant, err)
	}
	x.countSend()
	x.observeLatency(grant, answer)
	x.gateway.observeRateLimit(grant.Endpoint, answer)
	x.gateway.observeLeaving(grant.Endpoint, answer)
	x.gateway.observeBackoff(grant.Endpoint, answer)
	if x.gateway.options.Dialect.NotRun(answer) {
		answer.Body.Close()
		return x.handleRejection(grant, answer)
	}
	x.mayHaveRun, x.progress, x.headAt = true, progressHead, time.Now()
	defer answer.Body.Close()
	if x.route.Streaming && answer.Status == http.StatusOK {
		return x.relayStream(ctx, grant, answer, progress)
	}
	if x.stream.started {
		// The caller has the head of a stream; only further events may follow.
		return x.handleLostAnswer(ctx, grant, errors.Errorf("status %d to the rest of a stream", answer.Status))
	}
	return x.relayAnswer(ctx, grant, answer)
}

// countSend counts an endpoint that may have read the request.
func (x *exchange) countSend() {
	x.sends++
	x.gateway.metrics.sends.Inc(1)
	x.countDomainSend()
	if x.sends == 1 {
		x.gateway.countFirstSend(x.pool)
	}
}

func (x *exchange) handleSendError(ctx context.Context, grant *dispatch.Grant, err error) (outcome string, retry bool) {
	if errors.Is(err, forward.ErrNotSent) {
		if ctx.Err() != nil {
			x.gateway.finishGrant(grant, dispatch.Abandoned)
			return x.finishInterrupted(ctx), false
		}
		x.recordUnsent(grant, err)
		x.emitAttemptFailed(grant, "not-sent", err)
		x.scheduled.Tried = append(x.scheduled.Tried, grant.Endpoint.Name)
		if x.unsentAttempts < maxUnsentAttempts && x.refusedAttempts < maxRefusedAttempts {
			return "", true
		}
		return x.terminate("no endpoint could be reached", rejectedRetryAfter), false
	}
	x.countSend()
	x.mayHaveRun = true
	if errors.Is(err, forward.ErrResponseBegun) {
		x.progress = progressBegun
	}
	return x.handleLostAnswer(ctx, grant, err)
}

// recordUnsent counts an attempt that was not sent.
func (x *exchange) recordUnsent(grant *dispatch.Grant, err error) {
	if errors.Is(err, forward.ErrOtherPeer) {
		x.gateway.recordReplaced(grant.Endpoint)
	}
	if errors.Is(err, forward.ErrOtherPeer) || errors.Is(err, forward.ErrUnknownPeer) {
		x.unsentAttempts++
		x.gateway.finishGrant(grant, dispatch.Abandoned)
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		x.refusedAttempts++
		x.gateway.finishGrant(grant, dispatch.Refused)
		return
	}
	x.unsentAttempts++
	x.gateway.finishGrant(grant, dispatch.Unreachable)
}

// finishInterrupted ends a request whose caller left or whose deadline has
// passed, or that the daemon ends as it stops.
func (x *exchange) finishInterrupted(ctx context.Context) string {
	switch context.Cause(ctx) {
	case errRequestDeadline:
	case errStopped:
		return x.terminate(reasonStopping, stopping.RetryAfter)
	default:
		x.releaseQuota()
		return outcomeCallerLeft
	}
	if x.stream.started {
		return x.abortAnswer("the time was up before the stream ended")
	}
	if !x.mayHaveRun {
		return x.fail(Failure{Kind: NotRun, Reason: "the time was up before the request was sent"})
	}
	return x.fail(Failure{Kind: TimedOut, Reason: "the endpoint did not answer in time"})
}

// handleLostAnswer handles a request that may have run and whose answer was
// lost. It is retried if its route and the retry budget allow it.
func (x *exchange) handleLostAnswer(ctx context.Context, grant *dispatch.Grant, err error) (outcome string, retry bool) {
	if ctx.Err() != nil {
		x.gateway.finishGrant(grant, dispatch.Abandoned)
		return x.finishInterrupted(ctx), false
	}
	result := dispatch.Unreachable
	crashed, inDoubt := x.handleCrash(ctx, grant)
	if crashed {
		result = dispatch.Refused
	}
	x.gateway.recordBroken(grant)
	x.gateway.finishGrant(grant, result)
	x.emitAttemptFailed(grant, "broken", err)
	if inDoubt || !x.mayRepeat() || !x.prepareRetry(grant) {
		return x.terminate("the endpoint's answer was lost", 0), false
	}
	return "", true
}

// mayRepeat reports whether a request that may have run can be sent again. A stream
// that has begun goes on only from an event with an ID.
func (x *exchange) mayRepeat() bool {
	if x.stream.started && x.stream.sequence.LastID() == "" {
		return false
	}
	return x.route.RetrySafety != routing.AtMostOnce
}

// prepareRetry acquires a retry and excludes the failed endpoint from it. It
// returns false if the route or the retry budget allows no retry.
func (x *exchange) prepareRetry(grant *dispatch.Grant) bool {
	if x.sends >= x.route.MaxEndpoints || !x.gateway.acquireRetry(x.pool) {
		return false
	}
	x.scheduled.Tried = append(x.scheduled.Tried, grant.Endpoint.Name)
	x.scheduled.StartBy = x.deadline.Add(-minRemaining)
	x.gateway.metrics.retries.Inc(1)
	return true
}

// handleRejection handles an answer which states that the endpoint did not run
// the request.
func (x *exchange) handleRejection(grant *dispatch.Grant, answer *forward.Response) (outcome string, retry bool) {
	x.gateway.finishGrant(grant, dispatch.Rejected)
	x.emitAttemptFailed(grant, "rejected", errors.Errorf("status %d", answer.Status))
	if !x.prepareRetry(grant) {
		return x.terminate("the endpoint rejected the request", x.rejectedWait()), false
	}
	return "", true
}

func (x *exchange) emitAttemptFailed(grant *dispatch.Grant, result string, err error) {
	x.gateway.options.Events.Emit(EventAttemptFailed,
		events.F("request", x.request.ID), events.F("endpoint", grant.Endpoint.Name), events.F("attempt", x.sends),
		events.F("result", result), events.F("error", err), events.F("may_have_run", x.mayHaveRun),
		events.F("answer", x.progress.String()), events.F("parts", structs.PromptParts(x.request.PromptParts)))
}
