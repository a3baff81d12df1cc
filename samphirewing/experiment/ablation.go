package experiment

import "github.com/samphirewing/samphirewing/coordination/poolowner"

// ablationPolicy is the pool owner with one component disabled.
type ablationPolicy struct {
	name     string
	disabled poolowner.Ablation
}

var ablations = []ablationPolicy{
	{PolicyOwner, poolowner.Ablation{}},
	{"without-prefix-index", poolowner.Ablation{PrefixIndex: true}},
	{"without-cache-events", poolowner.Ablation{CacheEvents: true}},
	{"without-load-reports", poolowner.Ablation{LoadReports: true}},
	{"without-window", poolowner.Ablation{Window: true}},
	{"without-prefill-limit", poolowner.Ablation{Prefill: true}},
	{"without-straggler", poolowner.Ablation{Straggler: true}},
	{"without-breaker", poolowner.Ablation{Breaker: true}},
	{"without-speeds", poolowner.Ablation{Speeds: true}},
	{"without-reuse", poolowner.Ablation{Reuse: true}},
	{"without-postponement", poolowner.Ablation{Postponement: true}},
	{"without-deadline-filters", poolowner.Ablation{DeadlineFilters: true}},
	{"without-size-order", poolowner.Ablation{SizeOrder: true}},
	{"without-fairness", poolowner.Ablation{Fairness: true}},
}

// Ablations returns the names of the policies that run the pool owner with
// one component disabled.
func Ablations() []string {
	var names []string
	for _, a := range ablations[1:] {
		names = append(names, a.name)
	}
	return names
}

func findAblation(name string) (poolowner.Ablation, bool) {
	for _, a := range ablations {
		if a.name == name {
			return a.disabled, true
		}
	}
	return poolowner.Ablation{}, false
}
