package placement

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
)

// The filters, in the order in which they are applied.
const (
	FilterEligible  scheduling.FilterName = "takes_no_new_work"
	FilterFailing   scheduling.FilterName = "failing"
	FilterProbation scheduling.FilterName = "on_probation"
	FilterReserved  scheduling.FilterName = "reserved_for_higher_tier"
	FilterWindow    scheduling.FilterName = "window_full"
	FilterPrefill   scheduling.FilterName = "prefill_backlog"
	FilterDeadline  scheduling.FilterName = "too_slow_for_deadline"
	FilterCrowding  scheduling.FilterName = "would_delay_running"
)

// Eligible removes endpoints that take no new work.
func Eligible() Filter {
	return Filter{Name: FilterEligible, Allows: func(_ *Work, n *Node) bool { return n.Eligible }}
}

// NotFailing removes endpoints whose breaker is open.
func NotFailing() Filter {
	return Filter{Name: FilterFailing, Allows: func(_ *Work, n *Node) bool { return !n.Failing }}
}

// ProbeLimit limits an endpoint that is being probed to one request at a time,
// and one on probation to small requests.
func ProbeLimit() Filter {
	return Filter{Name: FilterProbation, Allows: func(w *Work, n *Node) bool {
		if !n.Probing && !n.Probation {
			return true
		}
		return n.Running == 0 && (w.Small || !n.Probation)
	}}
}

// Unreserved keeps room that more urgent work waits for.
func Unreserved() Filter {
	return Filter{Name: FilterReserved, Allows: func(w *Work, n *Node) bool {
		return !n.Reserved || w.Rank <= n.ReservedFor
	}}
}

// WindowOpen removes endpoints with a full window. The last request admitted
// may exceed the window, so that a large one is not passed over for ever.
func WindowOpen() Filter {
	return Filter{Name: FilterWindow, Allows: func(_ *Work, n *Node) bool { return n.InFlight < n.Window }}
}

// PrefillBacklog removes endpoints that need longer than the limit for the
// prompts they already have; small work may join a backlog several times
// that, because it adds little to it.
func PrefillBacklog(limit time.Duration) Filter {
	return Filter{Name: FilterPrefill, Allows: func(w *Work, n *Node) bool {
		if w.Service || n.PrefillAhead == 0 {
			return true
		}
		backlog := prefillTime(n, n.PrefillAhead)
		return backlog < limit || w.Small && backlog < smallBacklog*limit
	}}
}

// smallBacklog is how many times the limit of PrefillBacklog small work may find.
const smallBacklog = 4

// MeetsDeadline removes endpoints too slow for the request's deadline.
func MeetsDeadline() Filter {
	return Filter{Name: FilterDeadline, Allows: func(w *Work, n *Node) bool {
		return w.Service || w.Late || CompletionUpperBound(w, n) <= w.TimeLeft
	}}
}

// PreservesDeadlines removes endpoints where the prefill of this request would make
// another of its tier or of a more urgent one miss its deadline.
func PreservesDeadlines() Filter {
	return Filter{Name: FilterCrowding, Allows: func(w *Work, n *Node) bool {
		return w.Service || n.Running == 0 || prefillTime(n, uncached(w, n)) <= n.Slack
	}}
}

// CompletionUpperBound is a time that few answers of the request's kind exceed on a node.
func CompletionUpperBound(w *Work, n *Node) time.Duration {
	return prefillTime(n, n.PrefillAhead+uncached(w, n)) + time.Duration(w.OutputUpperBound)*n.Step
}
