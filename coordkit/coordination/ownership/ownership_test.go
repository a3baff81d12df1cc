package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/samphirewing/coordkit/protocol/instance"
)

func members(count, domains int) []Candidate {
	all := make([]Candidate, count)
	for i := range all {
		all[i] = Candidate{
			ID:            instance.ID(fmt.Sprintf("instance-%03d", i)),
			FailureDomain: instance.FailureDomain(fmt.Sprintf("domain-%02d", i%domains)),
		}
	}
	return all
}

func keys(count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("key-%d", i)
	}
	return all
}

func TestOwnerIsTheFirstRankedInAnyOrder(t *testing.T) {
	all := members(20, 4)
	shuffled := append([]Candidate(nil), all...)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for _, key := range keys(200) {
		owner, ok := Owner(key, all)
		assert.Assert(t, ok)
		assert.Equal(t, Ranked(key, shuffled, 3)[0], owner)
	}
	_, ok := Owner("key", nil)
	assert.Assert(t, !ok)
	assert.Equal(t, len(Ranked("key", all[:2], 5)), 2)
}

func TestOnlyTheKeysOfALostCandidateMove(t *testing.T) {
	all := members(50, 5)
	for _, key := range keys(1000) {
		before, _ := Owner(key, all)
		after, _ := Owner(key, all[1:])
		assert.Assert(t, before == after || before == all[0].ID)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	all := members(10, 2)
	all[0].Weight = 3
	count := map[instance.ID]int{}
	const total = 24_000
	for _, key := range keys(total) {
		owner, _ := Owner(key, all)
		count[owner]++
	}
	// Twelve shares in all, three of them for the first; a tenth of slack.
	assert.Assert(t, count[all[0].ID] > total*3/12*9/10 && count[all[0].ID] < total*3/12*11/10, "%d", count[all[0].ID])
	for _, c := range all[1:] {
		assert.Assert(t, count[c.ID] > total/12*9/10 && count[c.ID] < total/12*11/10, "%s %d", c.ID, count[c.ID])
	}
}

func TestSpreadShardsLieEvenlyOnDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		all := members(rapid.IntRange(domains, 40).Draw(t, "members"), domains)
		g := Group{Name: "pool", Shards: rapid.IntRange(0, 60).Draw(t, "shards"), Spread: true}
		byID := map[instance.ID]instance.FailureDomain{}
		for _, c := range all {
			byID[c.ID] = c.FailureDomain
		}
		count := map[instance.FailureDomain]int{}
		for _, owner := range Assign(g, all) {
			count[byID[owner]]++
		}
		for d, n := range count {
			if n > (g.Shards+domains-1)/domains {
				t.Fatalf("%s has %d of %d shards", d, n, g.Shards)
			}
		}
	})
}

// TestMachineAgreesWithAssign compares the incremental machine with a fresh
// assignment over random changes, and its effects with the owned shards.
func TestMachineAgreesWithAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(12, 3)
		self := all[0].ID
		m := New(Options{Self: self})
		now := time.Unix(1_700_000_000, 0)
		mine := map[Shard]bool{}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "groups") {
				groups := []Group{{Name: "a", Shards: rapid.IntRange(0, 9).Draw(t, "a"), Spread: rapid.Bool().Draw(t, "spread")},
					{Name: "b", Shards: rapid.IntRange(0, 9).Draw(t, "b"), Spread: true}}
				m.Step(now, GroupsChanged{groups})
			} else {
				var chosen []Candidate
				for _, c := range all {
					c.Weight = rapid.Uint32Range(0, 2).Draw(t, "weight")
					if c.Weight > 0 {
						chosen = append(chosen, c)
					}
				}
				m.Step(now, CandidatesChanged{chosen})
			}
			m.Tick(now)
			followEffects(t, m, mine)
			for _, g := range m.groups {
				for i, owner := range Assign(g, m.candidates) {
					got, _ := m.Owner(Shard{g.Name, i})
					assert.Equal(t, got, owner)
				}
			}
			assert.Equal(t, len(m.Owned()), len(mine))
		}
	})
}

func followEffects(t *rapid.T, m *Machine, mine map[Shard]bool) {
	for _, e := range m.Ready() {
		switch e := e.(type) {
		case Gained:
			assert.Assert(t, !mine[e.Shard])
			mine[e.Shard] = true
		case Lost:
			assert.Assert(t, mine[e.Shard])
			delete(mine, e.Shard)
		case Settled:
			assert.Assert(t, mine[e.Shard])
		}
	}
}

func TestGainedShardSettlesAfterTheGrace(t *testing.T) {
	all := members(2, 1)
	m := New(Options{Self: all[0].ID})
	start := time.Unix(1_700_000_000, 0)
	shard := Shard{"pool", 0}
	m.Step(start, GroupsChanged{[]Group{{Name: "pool", Shards: 1}}})
	m.Step(start, CandidatesChanged{all[:1]})
	assert.DeepEqual(t, m.Ready(), []Effect{Gained{Shard: shard}})
	m.Tick(start.Add(DefaultTakeoverGrace - time.Millisecond))
	assert.Equal(t, len(m.Ready()), 0)
	assert.Assert(t, m.Settling(shard))
	m.Tick(start.Add(DefaultTakeoverGrace))
	assert.DeepEqual(t, m.Ready(), []Effect{Settled{Shard: shard}})
	m.Step(start, CandidatesChanged{all[1:]})
	assert.DeepEqual(t, m.Ready(), []Effect{Lost{Shard: shard, Next: all[1].ID}})
}

// BenchmarkMemberRestart is one instance leaving and coming back among 400
// with 3,000 owned keys.
func BenchmarkMemberRestart(b *testing.B) {
	all := members(400, 15)
	m := New(Options{Self: all[0].ID})
	now := time.Unix(1_700_000_000, 0)
	m.Step(now, GroupsChanged{[]Group{{Name: "controller", Shards: 2_900}, {Name: "pool", Shards: 100, Spread: true}}})
	m.Step(now, CandidatesChanged{all})
	for b.Loop() {
		m.Step(now, CandidatesChanged{all[1:]})
		m.Step(now, CandidatesChanged{all})
		m.Ready()
	}
}

// BenchmarkFirstAssignment is the whole assignment of 3,000 keys to 400
// instances.
func BenchmarkFirstAssignment(b *testing.B) {
	all := members(400, 15)
	now := time.Unix(1_700_000_000, 0)
	for b.Loop() {
		m := New(Options{Self: all[0].ID})
		m.Step(now, GroupsChanged{[]Group{{Name: "controller", Shards: 2_900}, {Name: "pool", Shards: 100, Spread: true}}})
		m.Step(now, CandidatesChanged{all})
	}
}
