package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

func TestLongestPrefixOfTheRawPathWins(t *testing.T) {
	short, long := &Route{Name: "short", Host: "h", Prefix: "/a/"}, &Route{Name: "long", Host: "h", Prefix: "/a/b/"}
	table := New(1, []*Route{short, long}, nil, nil, nil, Limits{})
	assert.Equal(t, table.Route("h", "/a/b/c"), long)
	assert.Equal(t, table.Route("h", "/a/x"), short)
	// An encoded slash is no slash.
	assert.Equal(t, table.Route("h", "/a/b%2fc"), short)
	assert.Assert(t, table.Route("h", "/a") == nil)
	assert.Assert(t, table.Route("other", "/a/") == nil)
}

func TestOrganisationsRankGoesFirst(t *testing.T) {
	table := New(1, nil, nil, nil, nil, Limits{})
	r := &Route{Rank: 2}
	assert.Equal(t, table.RankOf(r, nil), structs.Rank(2))
	assert.Equal(t, table.RankOf(r, &Organisation{}), structs.Rank(2))
	assert.Equal(t, table.RankOf(r, &Organisation{Rank: 0, HasRank: true}), structs.Rank(0))
}

func TestSplitRoutesFollowTheirWeights(t *testing.T) {
	r := &Route{Backends: []Backend{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	assert.Equal(t, r.PoolFor(0), structs.PoolName("a"))
	assert.Equal(t, r.PoolFor(0.89), structs.PoolName("a"))
	assert.Equal(t, r.PoolFor(0.91), structs.PoolName("b"))
	assert.Equal(t, (&Route{}).PoolFor(0.5), structs.PoolName(""))
}
