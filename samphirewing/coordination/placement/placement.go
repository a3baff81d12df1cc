// Package placement chooses an endpoint for a request in three steps: filters
// remove candidates, scorers estimate the completion time on each remaining
// one, and the caller reserves the one with the lowest estimate.
package placement

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Work is the request to place.
type Work struct {
	Rank   structs.Rank
	Prompt structs.Tokens
	// Output is the estimated length of the answer, OutputUpperBound a length
	// that few answers of the kind exceed.
	Output           structs.Tokens
	OutputUpperBound structs.Tokens
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Late is set for work that can no longer meet its deadline.
	Late bool
	// Service is set for calls of plain services, which have no prefix.
	Service bool
	// Small is set for work that is cheap enough for a probe.
	Small bool
}

// Node is the state of one endpoint at the time of a decision.
type Node struct {
	Name structs.EndpointName
	// Eligible is set for a declared, listed endpoint that is neither leaving
	// nor drained.
	Eligible bool
	// Failing is set while the endpoint's breaker is open.
	Failing bool
	// Probing limits the endpoint to one request at a time, and to small
	// requests if Probation is set.
	Probing   bool
	Probation bool
	InFlight  structs.Tokens
	Window    structs.Tokens
	Running   int
	// PrefillAhead is the prompt work dispatched to the endpoint that has had
	// no first token yet.
	PrefillAhead structs.Tokens
	// Cached is how much of the request's prompt the endpoint is likely to
	// have cached.
	Cached structs.Tokens
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// Step is the expected time between tokens with one more request running.
	Step time.Duration
	// ReportedAhead is the work in the endpoint's last load report beyond what
	// the owner placed, in prompt tokens, discounted for the report's age.
	ReportedAhead structs.Tokens
	// ReservedFor is the most urgent rank with a waiting request that found no
	// room on this endpoint; less urgent requests must not be placed on it. It
	// is valid if Reserved is set.
	ReservedFor structs.Rank
	Reserved    bool
	// Slack is how much longer the next tokens of the running requests of this
	// tier or a more urgent one can be delayed, with this request running
	// beside them, before one misses its deadline.
	Slack time.Duration
	// Returned is set when the request's last grant was for this endpoint and
	// was returned unsent.
	Returned bool
}

// Filter removes candidates. Allows must depend on its arguments alone and
// must not retain them.
type Filter struct {
	Name   scheduling.FilterName
	Allows func(w *Work, n *Node) bool
}

// Scorer adds one component, as a duration, to the estimated completion time
// of a request on an endpoint. Value must depend on its arguments alone and
// must not retain them.
type Scorer struct {
	Name  string
	Value func(w *Work, n *Node) time.Duration
}

// Policy is a list of filters, applied in order, and a list of scorers, whose
// values are summed.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
}

// RemovedBy returns the name of the first filter that removes an endpoint, or
// "".
func (p *Policy) RemovedBy(w *Work, n *Node) scheduling.FilterName {
	for i := range p.Filters {
		if !p.Filters[i].Allows(w, n) {
			return p.Filters[i].Name
		}
	}
	return ""
}

// Score returns the estimated completion time.
func (p *Policy) Score(w *Work, n *Node) time.Duration {
	var sum time.Duration
	for i := range p.Scorers {
		sum += p.Scorers[i].Value(w, n)
	}
	return sum
}

// Choose returns the index of the remaining node with the lowest score, or -1.
// The first of equal nodes wins.
func (p *Policy) Choose(w *Work, nodes []Node) int {
	best := -1
	var bestScore time.Duration
	for i := range nodes {
		if p.RemovedBy(w, &nodes[i]) != "" {
			continue
		}
		s := p.Score(w, &nodes[i])
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Explain returns the removing filter or the scores of each node.
func (p *Policy) Explain(w *Work, nodes []Node) []scheduling.Candidate {
	candidates := make([]scheduling.Candidate, len(nodes))
	for i := range nodes {
		n := &nodes[i]
		c := &candidates[i]
		c.Endpoint = n.Name
		c.RemovedBy = p.RemovedBy(w, n)
		if c.RemovedBy != "" {
			continue
		}
		c.Scores = make([]scheduling.Score, len(p.Scorers))
		for j := range p.Scorers {
			c.Scores[j] = scheduling.Score{Scorer: p.Scorers[j].Name, Value: p.Scorers[j].Value(w, n)}
			c.EstimatedCompletion += c.Scores[j].Value
		}
	}
	return candidates
}
