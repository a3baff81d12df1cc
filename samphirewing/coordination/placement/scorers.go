package placement

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// The scorers' names.
const (
	ScorerPrefill  = "prefill"
	ScorerDecode   = "decode"
	ScorerReport   = "load_report"
	ScorerReuse    = "prefix_reuse"
	ScorerCalls    = "calls_ahead"
	ScorerReturned = "returned_before"
)

// Prefill is the time for the prompts ahead and for the part of this prompt
// that is not cached.
func Prefill() Scorer {
	return Scorer{Name: ScorerPrefill, Value: func(w *Work, n *Node) time.Duration {
		return prefillTime(n, n.PrefillAhead+uncached(w, n))
	}}
}

// Decode is the time for the answer at the endpoint's expected step.
func Decode() Scorer {
	return Scorer{Name: ScorerDecode, Value: func(w *Work, n *Node) time.Duration {
		return time.Duration(w.Output) * n.Step
	}}
}

// Weighted scales another scorer.
func Weighted(weight float64, s Scorer) Scorer {
	return Scorer{Name: s.Name, Value: func(w *Work, n *Node) time.Duration {
		return time.Duration(weight * float64(s.Value(w, n)))
	}}
}

// Report is the time for work that the endpoint reported beyond what the
// owner placed there.
func Report() Scorer {
	return Scorer{Name: ScorerReport, Value: func(_ *Work, n *Node) time.Duration {
		return prefillTime(n, n.ReportedAhead)
	}}
}

// PrefixReuse adds weight times the time that prefilling the uncached part takes:
// prefill that another endpoint need not do is lost to the whole pool.
func PrefixReuse(weight float64) Scorer {
	return Scorer{Name: ScorerReuse, Value: func(w *Work, n *Node) time.Duration {
		return time.Duration(weight * float64(prefillTime(n, uncached(w, n))))
	}}
}

// CallsAhead is the time for the service calls that are ahead of this one, as if
// the endpoint worked on one at a time.
func CallsAhead() Scorer {
	return Scorer{Name: ScorerCalls, Value: func(w *Work, n *Node) time.Duration {
		if !w.Service {
			return 0
		}
		return time.Duration(n.Running) * n.Step
	}}
}

// ReturnedPenalty adds a penalty where the request's last grant came back unsent, so
// that it is tried elsewhere first.
func ReturnedPenalty(penalty time.Duration) Scorer {
	return Scorer{Name: ScorerReturned, Value: func(_ *Work, n *Node) time.Duration {
		if n.Returned {
			return penalty
		}
		return 0
	}}
}

func uncached(w *Work, n *Node) structs.Tokens {
	if w.Service {
		return 0
	}
	return max(w.Prompt-n.Cached, 0)
}

func prefillTime(n *Node, t structs.Tokens) time.Duration {
	if n.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(t) / n.PrefillRate * float64(time.Second))
}
