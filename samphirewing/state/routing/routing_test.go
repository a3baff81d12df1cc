package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

func TestLongestRawPathPrefixWins(t *testing.T) {
	short, long := &Route{Name: "short", Host: "h", Prefix: "/a/"}, &Route{Name: "long", Host: "h", Prefix: "/a/b/"}
	table := New(1, []*Route{short, long}, nil, nil, nil, Limits{})
	assert.Equal(t, table.Route("h", "/a/b/c"), long)
	assert.Equal(t, table.Route("h", "/a/x"), short)
	// An encoded slash does not separate path segments.
	assert.Equal(t, table.Route("h", "/a/b%2fc"), short)
	assert.Assert(t, table.Route("h", "/a") == nil)
	assert.Assert(t, table.Route("other", "/a/") == nil)
}

// The organisation's rank decides first. Within it the route's rank decides, so
// that an organisation's long drafts don't delay its tags.
func TestOrganisationRankPrecedesRouteRank(t *testing.T) {
	table := New(1, nil, nil, nil, nil, Limits{})
	urgent, usual := &Route{Rank: 0}, &Route{Rank: 2}
	first, second := &Organisation{Rank: 0, HasRank: true}, &Organisation{Rank: 1, HasRank: true}
	order := []structs.Rank{
		table.EffectiveRank(urgent, first), table.EffectiveRank(usual, first), table.EffectiveRank(urgent, second), table.EffectiveRank(usual, second), table.EffectiveRank(usual, nil),
	}
	for i := range order[1:] {
		assert.Assert(t, order[i] < order[i+1], "%v", order)
	}
	assert.Equal(t, table.EffectiveRank(usual, &Organisation{}), table.EffectiveRank(usual, nil))
}

func TestPoolForFollowsBackendWeights(t *testing.T) {
	r := &Route{Backends: []Backend{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	assert.Equal(t, r.PoolFor(0), structs.PoolName("a"))
	assert.Equal(t, r.PoolFor(0.89), structs.PoolName("a"))
	assert.Equal(t, r.PoolFor(0.91), structs.PoolName("b"))
	assert.Equal(t, (&Route{}).PoolFor(0.5), structs.PoolName(""))
}
