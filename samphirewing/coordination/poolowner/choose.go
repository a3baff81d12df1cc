package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/breaker"
	"github.com/samphirewing/samphirewing/coordination/placement"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// smallPool is the most endpoints of a target that every decision looks at.
	smallPool = 32
	// sampled and holders bound the candidates in larger pools: some drawn
	// at random among those with room, and some known to hold the prefix.
	sampled = 8
	holders = 6
	// reportHalfLife is the age at which half of a load report counts.
	reportHalfLife = time.Second
	// smallWork bounds what is small enough for a probe, in tokens.
	smallWork structs.Tokens = 512
	// probeAnyAfter is how long an endpoint on probation waits for a small
	// request before any will do.
	probeAnyAfter = 10 * time.Second
)

// anySmallWork stands for the least demanding request.
var anySmallWork = placement.Work{Small: true}

// candidates fills the owner's candidate list for a request.
func (o *Owner) candidates(r *request, s *targetSet) {
	o.chosen = o.chosen[:0]
	if len(s.all) <= smallPool {
		o.chosen = append(o.chosen, s.all...)
		return
	}
	if len(s.open) <= smallPool {
		o.chosen = append(o.chosen, s.open...)
		return
	}
	o.found = o.prefixes.Holders(r.spec.Prefix, holders, o.found[:0])
	for _, n := range o.found {
		if e := o.byNumber[n]; e != nil && e.open && e.serves(r.spec.Target) {
			o.chosen = append(o.chosen, e)
		}
	}
	for range sampled {
		o.addCandidate(s.open[o.random.IntN(len(s.open))])
	}
}

func (o *Owner) addCandidate(e *endpoint) {
	for _, other := range o.chosen {
		if other == e {
			return
		}
	}
	o.chosen = append(o.chosen, e)
}

func (e *endpoint) serves(t structs.Target) bool {
	for _, x := range e.spec.Targets {
		if x == t {
			return true
		}
	}
	return false
}

// work describes a request to the placement policy.
func (o *Owner) work(r *request) placement.Work {
	service := r.spec.Kind == structs.WorkService
	output := o.outputEstimate(r)
	return placement.Work{
		Rank:             r.spec.Rank,
		Prompt:           r.spec.PromptTokens,
		Output:           output,
		OutputUpperBound: o.upperEstimate(r),
		Service:          service,
		TimeLeft:         r.spec.Deadline.Sub(o.now),
		Late:             r.item.Late(),
		Small:            service || r.spec.PromptTokens/4+output <= smallWork,
	}
}

// stateNode describes an endpoint apart from any request.
func (o *Owner) stateNode(e *endpoint) placement.Node {
	state := e.breaker.State(o.now)
	n := placement.Node{
		Name:         e.spec.Name,
		Eligible:     e.eligible(),
		Failing:      state == breaker.Open,
		Probing:      state == breaker.HalfOpen,
		Probation:    e.history.OnProbation(),
		InFlight:     e.inFlight,
		Window:       e.window.Size(),
		Running:      e.running,
		PrefillAhead: e.prefillAhead,
		PrefillRate:  e.speed.PrefillRate(),
	}
	if n.Probation && o.now.Sub(e.probationSince) > probeAnyAfter {
		n.Probation = false
		n.Probing = true
	}
	return n
}

// node describes an endpoint as one request sees it.
func (o *Owner) node(r *request, e *endpoint) placement.Node {
	n := o.stateNode(e)
	n.Cached = o.expectCached(r, e)
	n.Step = e.step(e.running + 1)
	n.Slack = o.slack(r.spec.Rank, e, n.Step)
	n.ReportedAhead = o.reportedAhead(e)
	n.Returned = r.returnedBy == e.spec.Name
	n.ReservedFor, n.Reserved = o.reservedFor(e)
	return n
}

// slackLooked is the most running requests of an endpoint that a decision
// looks at; engines run a few dozen at once.
const slackLooked = 64

// slack is the least time that the running requests of a rank or a more
// urgent one have to spare when each of their steps takes so long. Those
// expected to miss their deadline anyway do not count.
func (o *Owner) slack(rank structs.Rank, e *endpoint, step time.Duration) time.Duration {
	least := o.options.LongestRun
	prefill := prefillTime(e, e.prefillAhead)
	for _, r := range e.held[:min(len(e.held), slackLooked)] {
		if r.spec.Rank > rank {
			continue
		}
		run := o.remaining(r, step) + prefill
		spare := r.spec.Deadline.Sub(o.now) - run
		if spare < least && spare >= 0 {
			least = spare
		}
	}
	return least
}

// remaining is how long a running request needs for the rest of its answer.
func (o *Owner) remaining(r *request, step time.Duration) time.Duration {
	made := r.run.output
	if made > 0 && step > 0 {
		made += structs.Tokens(o.now.Sub(r.run.outputAt) / step)
	}
	return time.Duration(max(r.run.upper-made, 1)) * step
}

// reservedFor returns the most urgent rank that an endpoint is kept for.
func (o *Owner) reservedFor(e *endpoint) (rank structs.Rank, reserved bool) {
	if e.keptFor != nil {
		rank, reserved = e.keptFor.spec.Rank, true
	}
	for i := range o.blocked {
		b := &o.blocked[i]
		if e.serves(b.target) && (!reserved || b.rank < rank) {
			rank, reserved = b.rank, true
		}
	}
	return rank, reserved
}

// reportedAhead is what the latest load report shows beyond the owner's own
// accounting; it fades with the report's age.
func (o *Owner) reportedAhead(e *endpoint) structs.Tokens {
	age := o.now.Sub(e.report.asOf)
	if e.report.extra <= 0 || age > 8*reportHalfLife || o.options.Disabled.LoadReports {
		return 0
	}
	fade := 1 / (1 + float64(age)/float64(reportHalfLife))
	return structs.Tokens(fade * float64(e.report.extra))
}

// choose returns the best endpoint for a request, nil when none is admitted.
func (o *Owner) choose(r *request, w *placement.Work) *endpoint {
	s := o.targets[r.spec.Target]
	if s == nil {
		o.nodes = o.nodes[:0]
		return nil
	}
	o.candidates(r, s)
	o.describe(r)
	best := o.policy.Choose(w, o.nodes)
	if best < 0 {
		return nil
	}
	return o.chosen[best]
}

// soonest returns the candidate of the last decision that would complete a
// request first, when it was removed only because of its present load and is
// not kept for work as urgent; nil when there is none.
func (o *Owner) soonest(w *placement.Work) *endpoint {
	best := -1
	for i := range o.nodes {
		kept := o.chosen[i].keptFor
		if kept != nil && kept.spec.Rank <= w.Rank {
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
	return o.chosen[best]
}

func (o *Owner) describe(r *request) {
	o.nodes = o.nodes[:0]
	for _, e := range o.chosen {
		o.nodes = append(o.nodes, o.node(r, e))
	}
}

// explainCandidates says how every endpoint of the target looks to a request.
func (o *Owner) explainCandidates(r *request) []scheduling.Candidate {
	s := o.targets[r.spec.Target]
	if s == nil {
		return nil
	}
	o.chosen = append(o.chosen[:0], s.all...)
	o.describe(r)
	w := o.work(r)
	return o.policy.Explain(&w, o.nodes)
}
