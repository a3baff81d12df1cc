package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
)

func node() Node {
	return Node{
		Eligible:    true,
		Window:      10_000,
		PrefillRate: 1000,
		Step:        20 * time.Millisecond,
	}
}

func TestEachFilterRemovesForItsReason(t *testing.T) {
	p := Policy{Filters: []Filter{
		Eligible(), NotFailing(), ProbeLimit(), Unreserved(), WindowOpen(), PrefillBacklog(time.Second),
	}}
	w := Work{Rank: 1, Prompt: 100, Output: 100}
	cases := []struct {
		change func(*Node)
		want   scheduling.FilterName
	}{
		{func(*Node) {}, ""},
		{func(n *Node) { n.Eligible = false }, FilterEligible},
		{func(n *Node) { n.Failing = true }, FilterFailing},
		{func(n *Node) { n.Probing, n.Running = true, 1 }, FilterProbation},
		{func(n *Node) { n.Probation = true }, FilterProbation},
		{func(n *Node) { n.Reserved, n.ReservedFor = true, 0 }, FilterReserved},
		{func(n *Node) { n.Reserved, n.ReservedFor = true, 1 }, ""},
		{func(n *Node) { n.InFlight = 10_000 }, FilterWindow},
		{func(n *Node) { n.InFlight = 9_999 }, ""},
		{func(n *Node) { n.PrefillAhead = 1000 }, FilterPrefill},
	}
	for i, c := range cases {
		n := node()
		c.change(&n)
		assert.Equal(t, p.RemovedBy(&w, &n), c.want, "case %d", i)
	}
}

func TestScoresWeighSpeedBacklogAndCache(t *testing.T) {
	p := Policy{Scorers: []Scorer{Prefill(), Decode(), Report()}}
	w := Work{Prompt: 1000, Output: 50}
	plain, fast, cached, behind, reported := node(), node(), node(), node(), node()
	fast.Step /= 2
	cached.Cached = 900
	behind.PrefillAhead = 500
	reported.ReportedAhead = 200
	at := func(n Node) time.Duration { return p.Score(&w, &n) }
	assert.Equal(t, at(plain), 2*time.Second)
	assert.Equal(t, at(fast), 1500*time.Millisecond)
	assert.Equal(t, at(cached), 1100*time.Millisecond)
	assert.Equal(t, at(behind), 2500*time.Millisecond)
	assert.Equal(t, at(reported), 2200*time.Millisecond)
	assert.Equal(t, p.Choose(&w, []Node{plain, behind, cached, fast}), 2)
}

func TestExplainSumsTheScores(t *testing.T) {
	p := Policy{Filters: []Filter{Eligible()}, Scorers: []Scorer{Prefill(), Decode(), PrefixReuse(0.5)}}
	nodes := []Node{node(), node()}
	nodes[1].Eligible = false
	w := Work{Prompt: 1000, Output: 50}
	c := p.Explain(&w, nodes)
	assert.Equal(t, c[0].EstimatedCompletion, p.Score(&w, &nodes[0]))
	assert.Equal(t, len(c[0].Scores), 3)
	assert.Equal(t, c[1].RemovedBy, FilterEligible)
	assert.Equal(t, p.Choose(&w, nodes[1:]), -1)
}

func TestServicesHaveNoPrefix(t *testing.T) {
	p := Policy{Filters: []Filter{PrefillBacklog(time.Second)}, Scorers: []Scorer{Prefill(), PrefixReuse(1)}}
	n := node()
	w := Work{Prompt: 5000, Service: true}
	assert.Equal(t, p.Score(&w, &n), time.Duration(0))
}
