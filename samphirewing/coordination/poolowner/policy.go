package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/placement"
)

// Ablation switches parts of the policy off, to measure what each contributes.
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
	// DeadlineFilters are those of placement by deadlines.
	DeadlineFilters bool
}

// prefillBacklogLimit is how long an endpoint may need for the prompts it
// has before it gets more.
const prefillBacklogLimit = 500 * time.Millisecond

// returnedPenalty keeps a request off the endpoint that returned it.
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
