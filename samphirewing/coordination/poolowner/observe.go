package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/estimate"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// runFigures is what is kept of a dispatch to learn from it.
type runFigures struct {
	expectedCached structs.Tokens
	// prefill is the uncached prompt until the first token, then zero.
	prefill structs.Tokens
	// ahead is the prefill backlog of the endpoint at the dispatch, this
	// request's included.
	ahead structs.Tokens
	// upper is a length that few answers of the kind exceed.
	upper      structs.Tokens
	firstToken bool
	// output and outputAt are the latest progress.
	output   structs.Tokens
	outputAt time.Time
	// prefilledAt is what the endpoint had prefilled at outputAt.
	prefilledAt structs.Tokens
}

// fewestStepTokens is the least progress that a step time is learned from.
const fewestStepTokens = 4

func (o *Owner) progress(e scheduling.Progress) {
	r, ok := o.requests[e.ID]
	if !ok {
		return
	}
	o.confirmRunning(r, e.Endpoint)
	r.endpoint.heard = o.now
	if e.FirstTokenAfter > 0 {
		o.observeFirstToken(r, e.FirstTokenAfter)
	}
	o.observeOutput(r, e.Output)
	o.refresh(r.endpoint)
}

// observeFirstToken learns from the first token of a request, once.
func (o *Owner) observeFirstToken(r *request, took time.Duration) {
	if r.run.firstToken || r.grant == 0 {
		return
	}
	r.run.firstToken = true
	e := r.endpoint
	expected := prefillTime(e, r.run.ahead)
	if !o.options.Disabled.Window {
		e.window.ObserveFirstToken(o.now, expected, took, e.inFlight, r.reserved)
	}
	if !o.options.Disabled.Speeds {
		e.speed.ObserveFirstToken(float64(r.run.ahead), took)
	}
	o.prefillDone(r)
	o.resumeKept(e)
	o.succeeded(e)
}

// observeOutput learns from the tokens since the last report.
func (o *Owner) observeOutput(r *request, output structs.Tokens) {
	if output <= r.run.output {
		return
	}
	made := output - r.run.output
	took := o.now.Sub(r.run.outputAt)
	usable := r.run.output > 0 && made >= fewestStepTokens
	if usable {
		prompts := r.endpoint.prefilled - r.run.prefilledAt
		o.observeStep(r, took, prompts, made)
	}
	if usable || r.run.output == 0 {
		r.run.output = output
		r.run.outputAt = o.now
		r.run.prefilledAt = r.endpoint.prefilled
	}
}

// observeStep learns from the time in which an endpoint made some tokens of an
// answer and worked on some prompts of others.
func (o *Owner) observeStep(r *request, took time.Duration, prompts, made structs.Tokens) {
	e := r.endpoint
	if !o.options.Disabled.Window {
		e.window.ObserveStep(o.now, took/time.Duration(made), e.inFlight, r.reserved)
	}
	prefill := prefillTime(e, prompts)
	if s := o.targets[r.spec.Target]; s != nil {
		e.pace.add(r.spec.Target, took, s.expectedDecode(e.running, made)+prefillTime(e, prompts+e.prefillAhead))
	}
	if !o.options.Disabled.Speeds {
		decode := max(took-prefill, took/decodeFloor) / time.Duration(made)
		e.speed.ObserveStep(float64(e.running), decode)
	}
}

// prefillTime is how long an endpoint takes for a prompt.
func prefillTime(e *endpoint, prompt structs.Tokens) time.Duration {
	return time.Duration(float64(prompt) / e.speed.PrefillRate() * float64(time.Second))
}

// decodeFloor bounds what prompts may explain of a time: at least one part in
// so many was decoding.
const decodeFloor = 5

func (o *Owner) finish(e scheduling.Finish) {
	r, ok := o.requests[e.ID]
	if !ok {
		o.rememberEnded(e.ID, endedRequest{outcome: e.Outcome, reason: e.Reason, at: o.now})
		return
	}
	if r.endpoint == nil || r.endpoint.spec.Name != e.Endpoint {
		o.confirmRunning(r, e.Endpoint)
	}
	ep := r.endpoint
	ep.heard = o.now
	if e.FirstTokenAfter > 0 {
		o.observeFirstToken(r, e.FirstTokenAfter)
	}
	o.judgeEnd(ep, e)
	if e.Outcome == structs.OutcomeDone {
		o.learnFromAnswer(r, e)
	}
	o.end(r, e.Outcome, e.Reason)
}

func (o *Owner) judgeEnd(e *endpoint, f scheduling.Finish) {
	switch {
	case f.Outcome == structs.OutcomeDone:
		o.succeeded(e)
	case failureOfEndpoint(f.Reason):
		o.failed(e)
	}
}

func (o *Owner) learnFromAnswer(r *request, e scheduling.Finish) {
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
	if r.run.output == 0 && e.OutputTokens > fewestStepTokens {
		o.observeStep(r, e.Duration-e.FirstTokenAfter, 0, e.OutputTokens-1)
	}
}

// observeService learns from the time of a whole service call.
func (o *Owner) observeService(r *request, whole time.Duration) {
	if whole > 0 {
		if s := o.targets[r.spec.Target]; s != nil {
			r.endpoint.pace.add(r.spec.Target, whole, s.expectedDecode(r.endpoint.running, 1))
		}
		r.endpoint.speed.ObserveStep(float64(r.endpoint.running), whole)
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

// runEstimate is how long a request will run on a usual endpoint.
func (o *Owner) runEstimate(r *request) time.Duration {
	typical := o.options.SpeedPrior
	if s := o.targets[r.spec.Target]; s != nil {
		typical = s.typical
	}
	seconds := float64(r.spec.PromptTokens) / typical.PrefillRate
	seconds += float64(o.outputEstimate(r)) * typical.Step.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// loadReport takes in what an endpoint said of itself. Only what exceeds the
// owner's own accounting matters, and that fades: an endpoint that reported
// itself idle is not thereby preferred.
func (o *Owner) loadReport(l scheduling.LoadReport) {
	e, ok := o.endpoints[l.Endpoint]
	if !ok || o.options.Disabled.LoadReports || !l.AsOf.After(e.report.asOf) {
		return
	}
	e.report = loadReport{asOf: l.AsOf, extra: l.TokensInUse - e.inFlight}
	if l.TokenCapacity > 0 {
		e.window.SetMax(min(l.TokenCapacity, o.options.Window.Max))
	}
	fresh := o.now.Sub(l.AsOf) < reportHalfLife
	if fresh && l.Waiting > 0 && !o.options.Disabled.Window {
		e.window.ObserveQueued(o.now)
	}
	o.refresh(e)
}
