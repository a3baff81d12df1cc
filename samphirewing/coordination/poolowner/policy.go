package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/placement"
)

// Ablation disables parts of the policy, to determine what each contributes.
type Ablation struct {
	PrefixIndex  bool
	CacheEvents  bool
	LoadReports  bool
	Window       bool
	Prefill      bool
	Straggler    bool
	Breaker      bool
	Speeds       bool
	Reuse        bool
	Postponement bool
	SizeOrder    bool
	Fairness     bool
	// DeadlineFilters disables the filters that depend on deadlines.
	DeadlineFilters bool
}

// prefillBacklogLimit is the prefill backlog, in time, from which an endpoint
// gets no more work.
const prefillBacklogLimit = 500 * time.Millisecond

// returnedPenalty is added to the score of the endpoint that returned the last
// grant of a request, so that other endpoints are tried first.
const returnedPenalty = 10 * time.Second

func (o *Owner) buildPolicy() {
	w := o.options.Disabled
	filters := []placement.Filter{placement.Eligible(), placement.NotFailing(), placement.ProbeLimit()}
	if !w.Window {
		filters = append(filters, placement.WindowOpen())
	}
	if !w.Prefill {
		filters = append(filters, placement.PrefillBacklog(prefillBacklogLimit))
	}
	o.roomFilters = filters
	scorers := []placement.Scorer{
		placement.Prefill(),
		placement.Weighted(o.options.DecodeWeight, placement.Decode()),
		placement.Report(),
		placement.CallsAhead(),
		placement.ReturnedPenalty(returnedPenalty),
	}
	if !w.Reuse {
		scorers = append(scorers, placement.PrefixReuse(o.options.ReuseWeight))
	}
	filters = append(append([]placement.Filter(nil), filters...), placement.Unreserved())
	if !w.DeadlineFilters {
		filters = append(filters, placement.MeetsDeadline(), placement.PreservesDeadlines())
	}
	o.policy = placement.Policy{Filters: filters, Scorers: scorers}
}
