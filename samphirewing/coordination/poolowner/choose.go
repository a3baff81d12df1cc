package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/breaker"
	"github.com/samphirewing/samphirewing/coordination/placement"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// fullScanLimit is the maximum number of endpoints of a target for which
	// every endpoint is a candidate. Larger sets are sampled.
	fullScanLimit = 32
	// sampledCandidates and prefixCandidates bound the candidates in larger
	// sets: endpoints drawn at random among those with room, and endpoints
	// known to have the prefix cached.
	sampledCandidates = 8
	prefixCandidates  = 6
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = time.Second
	// smallWorkTokens is the maximum size of a request that may probe an
	// endpoint.
	smallWorkTokens structs.Tokens = 512
	// probationProbeDelay is how long an endpoint on probation waits for a
	// small request before a request of any size may probe it.
	probationProbeDelay = 10 * time.Second
)

// minimalWork represents the least demanding request.
var minimalWork = placement.Work{Small: true}

// selectCandidates fills the candidate list for a request.
func (o *Owner) selectCandidates(r *request, set *targetSet) {
	o.candidates = o.candidates[:0]
	if len(set.all) <= fullScanLimit {
		o.candidates = append(o.candidates, set.all...)
		return
	}
	if len(set.available) <= fullScanLimit {
		o.candidates = append(o.candidates, set.available...)
		return
	}
	o.holders = o.prefixes.Holders(r.spec.Prefix, prefixCandidates, o.holders[:0])
	for _, n := range o.holders {
		if e := o.byNumber[n]; e != nil && e.available && e.serves(r.spec.Target) {
			o.candidates = append(o.candidates, e)
		}
	}
	for range sampledCandidates {
		o.addCandidate(set.available[o.random.IntN(len(set.available))])
	}
}

func (o *Owner) addCandidate(e *endpoint) {
	for _, c := range o.candidates {
		if c == e {
			return
		}
	}
	o.candidates = append(o.candidates, e)
}

func (e *endpoint) serves(t structs.Target) bool {
	for _, x := range e.spec.Targets {
		if x == t {
			return true
		}
	}
	return false
}

// placementWork describes a request to the placement policy.
func (o *Owner) placementWork(r *request) placement.Work {
	service := r.spec.Kind == structs.WorkService
	output := o.outputEstimate(r)
	return placement.Work{
		Rank:             r.spec.Rank,
		Prompt:           r.spec.PromptTokens,
		Output:           output,
		OutputUpperBound: o.upperEstimate(r),
		Service:          service,
		TimeLeft:         r.spec.Deadline.Sub(o.now),
		Late:             r.item.Postponed(),
		Small:            service || r.spec.PromptTokens/4+output <= smallWorkTokens,
	}
}

// baseNode describes an endpoint to the placement policy, independent of any
// request.
func (o *Owner) baseNode(e *endpoint) placement.Node {
	state := e.breaker.State(o.now)
	n := placement.Node{
		Name:         e.spec.Name,
		Eligible:     e.eligible(),
		Failing:      state == breaker.Open,
		Probing:      state == breaker.HalfOpen,
		Probation:    e.straggler.OnProbation(),
		InFlight:     e.inFlight,
		Window:       e.window.Size(),
		Running:      e.running,
		PrefillAhead: e.prefillAhead,
		PrefillRate:  e.speed.PrefillRate(),
	}
	if n.Probation && o.now.Sub(e.probationSince) > probationProbeDelay {
		n.Probation = false
		n.Probing = true
	}
	return n
}

// nodeFor describes an endpoint to the placement policy with respect to one
// request.
func (o *Owner) nodeFor(r *request, e *endpoint) placement.Node {
	n := o.baseNode(e)
	n.Cached = o.estimateCached(r, e)
	n.Step = e.stepTime(e.running + 1)
	n.Slack = o.slack(r.spec.Rank, e, n.Step)
	n.ReportedAhead = o.reportedAhead(e)
	n.Returned = r.returnedBy == e.spec.Name
	n.ReservedFor, n.Reserved = o.reservedRank(e)
	return n
}

// slackScanLimit bounds the running requests of an endpoint that a decision
// examines. Engines run a few dozen concurrently.
const slackScanLimit = 64

// slack returns how much longer the running requests of the given or a more
// urgent rank can take without one of them missing its deadline, if every step
// takes the given time. Requests that are expected to miss their deadline
// anyway do not count.
func (o *Owner) slack(rank structs.Rank, e *endpoint, step time.Duration) time.Duration {
	minimum := o.options.MaxRunTime
	prefill := prefillTime(e, e.prefillAhead)
	for _, r := range e.requests[:min(len(e.requests), slackScanLimit)] {
		if r.spec.Rank > rank {
			continue
		}
		run := o.remainingTime(r, step) + prefill
		spare := r.spec.Deadline.Sub(o.now) - run
		if spare < minimum && spare >= 0 {
			minimum = spare
		}
	}
	return minimum
}

// remainingTime estimates how long a running request needs for the rest of its
// answer.
func (o *Owner) remainingTime(r *request, step time.Duration) time.Duration {
	generated := r.run.output
	if generated > 0 && step > 0 {
		generated += structs.Tokens(o.now.Sub(r.run.outputAt) / step)
	}
	return time.Duration(max(r.run.upperOutput-generated, 1)) * step
}

// reservedRank returns the most urgent rank that an endpoint is reserved for.
func (o *Owner) reservedRank(e *endpoint) (rank structs.Rank, reserved bool) {
	if e.reservedFor != nil {
		rank, reserved = e.reservedFor.spec.Rank, true
	}
	for i := range o.blocked {
		b := &o.blocked[i]
		if e.serves(b.target) && (!reserved || b.rank < rank) {
			rank, reserved = b.rank, true
		}
	}
	return rank, reserved
}

// reportedAhead returns the tokens in the latest load report beyond the owner's
// own accounting, discounted for the report's age.
func (o *Owner) reportedAhead(e *endpoint) structs.Tokens {
	age := o.now.Sub(e.report.asOf)
	if e.report.excessTokens <= 0 || age > 8*reportHalfLife || o.options.Disabled.LoadReports {
		return 0
	}
	discount := 1 / (1 + float64(age)/float64(reportHalfLife))
	return structs.Tokens(discount * float64(e.report.excessTokens))
}

// choose returns the best endpoint for a request, or nil if the filters remove
// every candidate.
func (o *Owner) choose(r *request, w *placement.Work) *endpoint {
	set := o.targets[r.spec.Target]
	if set == nil {
		o.nodes = o.nodes[:0]
		return nil
	}
	o.selectCandidates(r, set)
	o.buildNodes(r)
	best := o.policy.Choose(w, o.nodes)
	if best < 0 {
		return nil
	}
	return o.candidates[best]
}

// soonestCandidate returns the candidate of the last decision that would
// complete a request first, among those that were removed only because of their
// present load and are not reserved for work at least as urgent. It returns nil
// if there is none.
func (o *Owner) soonestCandidate(w *placement.Work) *endpoint {
	best := -1
	for i := range o.nodes {
		holder := o.candidates[i].reservedFor
		if holder != nil && holder.spec.Rank <= w.Rank {
			continue
		}
		switch o.policy.RemovedBy(w, &o.nodes[i]) {
		case placement.FilterDeadline, placement.FilterCrowding, placement.FilterPrefill, placement.FilterWindow:
		default:
			continue
		}
		if best < 0 || placement.CompletionUpperBound(w, &o.nodes[i]) < placement.CompletionUpperBound(w, &o.nodes[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return o.candidates[best]
}

// buildNodes fills the node list from the candidate list.
func (o *Owner) buildNodes(r *request) {
	o.nodes = o.nodes[:0]
	for _, e := range o.candidates {
		o.nodes = append(o.nodes, o.nodeFor(r, e))
	}
}

// explainCandidates returns how the policy rates every endpoint of the target
// for a request.
func (o *Owner) explainCandidates(r *request) []scheduling.Candidate {
	set := o.targets[r.spec.Target]
	if set == nil {
		return nil
	}
	o.candidates = append(o.candidates[:0], set.all...)
	o.buildNodes(r)
	w := o.placementWork(r)
	return o.policy.Explain(&w, o.nodes)
}
