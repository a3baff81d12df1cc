package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/estimate"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// runStats is the data of a dispatch that speeds, windows and lengths are
// estimated from.
type runStats struct {
	expectedCached structs.Tokens
	// pendingPrefill is the uncached prompt until the first token, then zero.
	pendingPrefill structs.Tokens
	// backlogAtDispatch is the prefill backlog of the endpoint at dispatch,
	// including this request's prompt.
	backlogAtDispatch structs.Tokens
	// upperOutput is a length that few answers of the kind exceed.
	upperOutput   structs.Tokens
	gotFirstToken bool
	// output and outputAt are the latest reported progress.
	output   structs.Tokens
	outputAt time.Time
	// endpointPrefilled is the prefill total of the endpoint at outputAt.
	endpointPrefilled structs.Tokens
}

// minStepTokens is the minimum progress from which a step time is estimated.
const minStepTokens = 4

func (o *Owner) handleProgress(e scheduling.Progress) {
	r, ok := o.requests[e.ID]
	if !ok {
		return
	}
	o.confirmRunning(r, e.Endpoint)
	r.endpoint.lastActivity = o.now
	if e.FirstTokenAfter > 0 {
		o.observeFirstToken(r, e.FirstTokenAfter)
	}
	o.observeOutput(r, e.Output)
	o.updateAvailability(r.endpoint)
}

// observeFirstToken updates the estimates from the time to the first token,
// once a request.
func (o *Owner) observeFirstToken(r *request, took time.Duration) {
	if r.run.gotFirstToken || r.grant == 0 {
		return
	}
	r.run.gotFirstToken = true
	e := r.endpoint
	expected := prefillTime(e, r.run.backlogAtDispatch)
	if !o.options.Disabled.Window {
		e.window.ObserveFirstToken(o.now, expected, took, e.inFlight, r.windowTokens)
	}
	if !o.options.Disabled.Speeds {
		e.speed.ObserveFirstToken(float64(r.run.backlogAtDispatch), took)
	}
	o.completePrefill(r)
	o.resumeReserved(e)
	o.recordSuccess(e)
}

// observeOutput updates the estimates from the tokens generated since the last
// report.
func (o *Owner) observeOutput(r *request, output structs.Tokens) {
	if output <= r.run.output {
		return
	}
	generated := output - r.run.output
	took := o.now.Sub(r.run.outputAt)
	usable := r.run.output > 0 && generated >= minStepTokens
	if usable {
		prefilled := r.endpoint.prefilled - r.run.endpointPrefilled
		o.observeStep(r, took, prefilled, generated)
	}
	if usable || r.run.output == 0 {
		r.run.output = output
		r.run.outputAt = o.now
		r.run.endpointPrefilled = r.endpoint.prefilled
	}
}

// observeStep updates the estimates from the time in which an endpoint
// generated some tokens of an answer and prefilled some prompts of other
// requests.
func (o *Owner) observeStep(r *request, took time.Duration, prefilled, generated structs.Tokens) {
	e := r.endpoint
	if !o.options.Disabled.Window {
		e.window.ObserveStep(o.now, took/time.Duration(generated), e.inFlight, r.windowTokens)
	}
	prefill := prefillTime(e, prefilled)
	if s := o.targets[r.spec.Target]; s != nil {
		e.pace.add(r.spec.Target, took, s.expectedDecodeTime(e.running, generated)+prefillTime(e, prefilled+e.prefillAhead))
	}
	if !o.options.Disabled.Speeds {
		decode := max(took-prefill, took/minDecodeDivisor) / time.Duration(generated)
		e.speed.ObserveStep(float64(e.running), decode)
	}
}

// prefillTime is how long an endpoint needs to prefill a prompt.
func prefillTime(e *endpoint, prompt structs.Tokens) time.Duration {
	return time.Duration(float64(prompt) / e.speed.PrefillRate() * float64(time.Second))
}

// minDecodeDivisor bounds the part of an observed time that is attributed to
// prefill: at least one part in minDecodeDivisor counts as decoding.
const minDecodeDivisor = 5

func (o *Owner) handleFinish(e scheduling.Finish) {
	r, ok := o.requests[e.ID]
	if !ok {
		o.recordFinished(e.ID, finishedRequest{outcome: e.Outcome, reason: e.Reason, finishedAt: o.now})
		return
	}
	if r.endpoint == nil || r.endpoint.spec.Name != e.Endpoint {
		o.confirmRunning(r, e.Endpoint)
	}
	ep := r.endpoint
	ep.lastActivity = o.now
	if e.FirstTokenAfter > 0 {
		o.observeFirstToken(r, e.FirstTokenAfter)
	}
	o.recordResult(ep, e)
	if e.Outcome == structs.OutcomeDone {
		o.observeAnswer(r, e)
	}
	o.finishRequest(r, e.Outcome, e.Reason)
}

// recordResult reports the result of a dispatch to the endpoint's breaker.
func (o *Owner) recordResult(e *endpoint, f scheduling.Finish) {
	switch {
	case f.Outcome == structs.OutcomeDone:
		o.recordSuccess(e)
	case isEndpointFailure(f.Reason):
		o.recordFailure(e)
	}
}

// observeAnswer updates the estimates from a completed answer and corrects the
// charge to the actual cost.
func (o *Owner) observeAnswer(r *request, e scheduling.Finish) {
	if r.spec.Kind == structs.WorkService {
		o.observeService(r, e.Duration)
		return
	}
	o.outputs.Observe(estimate.Kind{Organisation: r.spec.Organisation, WorkClass: r.spec.WorkClass}, e.OutputTokens)
	if r.grant == 0 {
		return
	}
	r.endpoint.cache.observe(r.run.expectedCached, e.CachedTokens)
	actual := o.cost(max(e.PromptTokens-e.CachedTokens, 0), e.OutputTokens)
	o.charge(r, actual-r.charged)
	if r.run.output == 0 && e.OutputTokens > minStepTokens {
		o.observeStep(r, e.Duration-e.FirstTokenAfter, 0, e.OutputTokens-1)
	}
}

// observeService updates the estimates from the total time of a service call.
func (o *Owner) observeService(r *request, total time.Duration) {
	if total > 0 {
		if s := o.targets[r.spec.Target]; s != nil {
			r.endpoint.pace.add(r.spec.Target, total, s.expectedDecodeTime(r.endpoint.running, 1))
		}
		r.endpoint.speed.ObserveStep(float64(r.endpoint.running), total)
	}
}

// outputEstimate predicts the length of an answer.
func (o *Owner) outputEstimate(r *request) structs.Tokens {
	if r.spec.Kind == structs.WorkService {
		return 1
	}
	k := estimate.Kind{Organisation: r.spec.Organisation, WorkClass: r.spec.WorkClass}
	return o.outputs.Output(k, r.spec.MaxOutputTokens)
}

// upperEstimate predicts a length that few answers of the kind exceed.
func (o *Owner) upperEstimate(r *request) structs.Tokens {
	if r.spec.Kind == structs.WorkService {
		return 1
	}
	k := estimate.Kind{Organisation: r.spec.Organisation, WorkClass: r.spec.WorkClass}
	return o.outputs.UpperBound(k, r.spec.MaxOutputTokens)
}

// runTimeEstimate predicts how long a request runs on a typical endpoint.
func (o *Owner) runTimeEstimate(r *request) time.Duration {
	typical := o.options.SpeedPrior
	if s := o.targets[r.spec.Target]; s != nil {
		typical = s.typical
	}
	seconds := float64(r.spec.PromptTokens) / typical.PrefillRate
	seconds += float64(o.outputEstimate(r)) * typical.Step.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// handleLoadReport records the load that an endpoint reports. Only the excess
// over the owner's own accounting counts, and it is discounted with age, so an
// endpoint is not preferred because it reported itself idle.
func (o *Owner) handleLoadReport(l scheduling.LoadReport) {
	e, ok := o.endpoints[l.Endpoint]
	if !ok || o.options.Disabled.LoadReports || !l.AsOf.After(e.report.asOf) {
		return
	}
	e.report = loadReport{asOf: l.AsOf, excessTokens: l.TokensInUse - e.inFlight}
	if l.TokenCapacity > 0 {
		e.window.SetMax(min(l.TokenCapacity, o.options.Window.Max))
	}
	fresh := o.now.Sub(l.AsOf) < reportHalfLife
	if fresh && l.Waiting > 0 && !o.options.Disabled.Window {
		e.window.ObserveQueued(o.now)
	}
	o.updateAvailability(e)
}
