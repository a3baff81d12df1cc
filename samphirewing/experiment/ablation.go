package experiment

import "github.com/samphirewing/samphirewing/coordination/poolowner"

// ablationPolicy is the owner with one part switched off.
type ablationPolicy struct {
	name    string
	without poolowner.Without
}

var ablations = []ablationPolicy{
	{PolicyOwner, poolowner.Without{}},
	{"without-prefix-index", poolowner.Without{PrefixIndex: true}},
	{"without-cache-events", poolowner.Without{CacheEvents: true}},
	{"without-load-reports", poolowner.Without{LoadReports: true}},
	{"without-window", poolowner.Without{Window: true}},
	{"without-prefill-limit", poolowner.Without{Prefill: true}},
	{"without-straggler", poolowner.Without{Straggler: true}},
	{"without-breaker", poolowner.Without{Breaker: true}},
	{"without-speeds", poolowner.Without{Speeds: true}},
	{"without-reuse", poolowner.Without{Reuse: true}},
	{"without-postponement", poolowner.Without{Postponement: true}},
	{"without-deadline-filters", poolowner.Without{DeadlineFilters: true}},
	{"without-size-order", poolowner.Without{SizeOrder: true}},
	{"without-fairness", poolowner.Without{Fairness: true}},
}

// Ablations returns the names of the policies that lack one part each.
func Ablations() []string {
	var names []string
	for _, a := range ablations[1:] {
		names = append(names, a.name)
	}
	return names
}

func ablation(name string) (poolowner.Without, bool) {
	for _, a := range ablations {
		if a.name == name {
			return a.without, true
		}
	}
	return poolowner.Without{}, false
}
