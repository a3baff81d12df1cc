// Package placement chooses an endpoint for one request in three steps:
// filters remove candidates, scorers estimate when the request would be
// complete on each that is left, and the least estimate is reserved by the
// caller.
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
	// Output is the estimated length of the answer, and Upper a length that
	// few answers of the kind exceed.
	Output           structs.Tokens
	OutputUpperBound structs.Tokens
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// Late is set for work that cannot meet its deadline any more.
	Late bool
	// Service is set for calls of plain services, which have no prefix.
	Service bool
	// Small is set for work that is cheap enough for a probe.
	Small bool
}

// Node is one endpoint as a decision sees it.
type Node struct {
	Name structs.EndpointName
	// Eligible is set for a declared, listed endpoint that is neither leaving
	// nor drained.
	Eligible bool
	// Failing is set while its breaker is open.
	Failing bool
	// Probing limits it to one request at a time, a small one if Probation.
	Probing   bool
	Probation bool
	InFlight  structs.Tokens
	Window    structs.Tokens
	Running   int
	// PrefillAhead is the prompt work that it was given and has not yet
	// answered with a first token.
	PrefillAhead structs.Tokens
	// Cached is how much of the request's prompt it is likely to hold.
	Cached      structs.Tokens
	PrefillRate float64
	// Step is the time between tokens with one more request running.
	Step time.Duration
	// ReportedAhead is work that its last load report shows beyond what the
	// owner placed, in prompt tokens, already discounted for the report's age.
	ReportedAhead structs.Tokens
	// ReservedFor is the most urgent rank that waits for this endpoint and
	// found no room; less urgent work must leave it alone.
	ReservedFor structs.Rank
	Reserved    bool
	// Slack is how much longer the requests already running, of this tier or
	// a more urgent one, can be kept from their next token before one of
	// them misses its deadline, once this request runs beside them.
	Slack time.Duration
	// Returned is set when the request's last grant came back from here.
	Returned bool
}

// Filter removes candidates. Allows must depend on its arguments alone and
// must not keep them.
type Filter struct {
	Name   scheduling.FilterName
	Allows func(w *Work, n *Node) bool
}

// Scorer adds its part, in time, to the estimated completion of a request on
// an endpoint. Value must depend on its arguments alone and must not keep them.
type Scorer struct {
	Name  string
	Value func(w *Work, n *Node) time.Duration
}

// Policy is a list of filters, applied in order, and of scorers, summed.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
}

// RemovedBy returns the name of the first filter that removes an endpoint, or "".
func (p *Policy) RemovedBy(w *Work, n *Node) scheduling.FilterName {
	for i := range p.Filters {
		if !p.Filters[i].Allows(w, n) {
			return p.Filters[i].Name
		}
	}
	return ""
}

// Score returns the estimated completion.
func (p *Policy) Score(w *Work, n *Node) time.Duration {
	var sum time.Duration
	for i := range p.Scorers {
		sum += p.Scorers[i].Value(w, n)
	}
	return sum
}

// Choose returns the index of the best admitted node, or -1. Of equal nodes
// the first is taken.
func (p *Policy) Choose(w *Work, nodes []Node) int {
	best := -1
	var least time.Duration
	for i := range nodes {
		if p.RemovedBy(w, &nodes[i]) != "" {
			continue
		}
		s := p.Score(w, &nodes[i])
		if best < 0 || s < least {
			best, least = i, s
		}
	}
	return best
}

// Explain returns what Choose saw of each node.
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
