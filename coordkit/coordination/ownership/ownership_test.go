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

// testCandidates returns candidates distributed evenly over the failure domains.
func testCandidates(count, domains int) []Candidate {
	all := make([]Candidate, count)
	for i := range all {
		all[i] = Candidate{
			ID:            instance.ID(fmt.Sprintf("instance-%03d", i)),
			FailureDomain: instance.FailureDomain(fmt.Sprintf("domain-%02d", i%domains)),
		}
	}
	return all
}

func testKeys(count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("key-%d", i)
	}
	return all
}

func TestOwnerIsFirstRankedInAnyOrder(t *testing.T) {
	all := testCandidates(20, 4)
	shuffled := append([]Candidate(nil), all...)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for _, key := range testKeys(200) {
		owner, ok := Owner(key, all)
		assert.Assert(t, ok)
		assert.Equal(t, Ranked(key, shuffled, 3)[0], owner)
	}
	_, ok := Owner("key", nil)
	assert.Assert(t, !ok)
	assert.Equal(t, len(Ranked("key", all[:2], 5)), 2)
}

func TestLostCandidateMovesOnlyItsKeys(t *testing.T) {
	all := testCandidates(50, 5)
	for _, key := range testKeys(1000) {
		before, _ := Owner(key, all)
		after, _ := Owner(key, all[1:])
		assert.Assert(t, before == after || before == all[0].ID)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	all := testCandidates(10, 2)
	all[0].Weight = 3
	count := map[instance.ID]int{}
	const keyCount = 24_000
	for _, key := range testKeys(keyCount) {
		owner, _ := Owner(key, all)
		count[owner]++
	}
	// The weights sum to twelve, of which the first candidate has three. The
	// tolerance is a tenth.
	assert.Assert(t, count[all[0].ID] > keyCount*3/12*9/10 && count[all[0].ID] < keyCount*3/12*11/10, "%d", count[all[0].ID])
	for _, c := range all[1:] {
		assert.Assert(t, count[c.ID] > keyCount/12*9/10 && count[c.ID] < keyCount/12*11/10, "%s %d", c.ID, count[c.ID])
	}
}

func TestSpreadShardsBalanceDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		all := testCandidates(rapid.IntRange(domains, 40).Draw(t, "members"), domains)
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

// TestMachineAgreesWithAssign checks, over random changes, that the incremental
// assignment equals that of Assign, and that the effects match Owned.
func TestMachineAgreesWithAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := testCandidates(12, 3)
		self := all[0].ID
		m := New(Options{Self: self})
		now := time.Unix(1_700_000_000, 0)
		owned := map[Shard]bool{}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "groups") {
				groups := []Group{{Name: "a", Shards: rapid.IntRange(0, 9).Draw(t, "a"), Spread: rapid.Bool().Draw(t, "spread")},
					{Name: "b", Shards: rapid.IntRange(0, 9).Draw(t, "b"), Spread: true}}
				m.Step(now, GroupsChanged{groups})
			} else {
				var candidates []Candidate
				for _, c := range all {
					c.Weight = rapid.Uint32Range(0, 2).Draw(t, "weight")
					if c.Weight > 0 {
						candidates = append(candidates, c)
					}
				}
				m.Step(now, CandidatesChanged{candidates})
			}
			m.Tick(now)
			checkEffects(t, m, owned)
			for _, g := range m.groups {
				for i, owner := range Assign(g, m.candidates) {
					got, _ := m.Owner(Shard{g.Name, i})
					assert.Equal(t, got, owner)
				}
			}
			assert.Equal(t, len(m.Owned()), len(owned))
		}
	})
}

// checkEffects applies the machine's effects to owned, and fails on an effect
// that contradicts it.
func checkEffects(t *rapid.T, m *Machine, owned map[Shard]bool) {
	for _, e := range m.Ready() {
		switch e := e.(type) {
		case ShardGained:
			assert.Assert(t, !owned[e.Shard])
			owned[e.Shard] = true
		case ShardLost:
			assert.Assert(t, owned[e.Shard])
			delete(owned, e.Shard)
		case ShardSettled:
			assert.Assert(t, owned[e.Shard])
		}
	}
}

func TestGainedShardSettlesAfterGrace(t *testing.T) {
	all := testCandidates(2, 1)
	m := New(Options{Self: all[0].ID})
	start := time.Unix(1_700_000_000, 0)
	shard := Shard{"pool", 0}
	m.Step(start, GroupsChanged{[]Group{{Name: "pool", Shards: 1}}})
	m.Step(start, CandidatesChanged{all[:1]})
	assert.DeepEqual(t, m.Ready(), []Effect{ShardGained{Shard: shard}})
	m.Tick(start.Add(DefaultTakeoverGrace - time.Millisecond))
	assert.Equal(t, len(m.Ready()), 0)
	assert.Assert(t, m.Settling(shard))
	m.Tick(start.Add(DefaultTakeoverGrace))
	assert.DeepEqual(t, m.Ready(), []Effect{ShardSettled{Shard: shard}})
	m.Step(start, CandidatesChanged{all[1:]})
	assert.DeepEqual(t, m.Ready(), []Effect{ShardLost{Shard: shard, Next: all[1].ID}})
}

// BenchmarkMemberRestart removes one of 400 instances and adds it again, with
// 3,000 shards.
func BenchmarkMemberRestart(b *testing.B) {
	all := testCandidates(400, 15)
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

// BenchmarkFirstAssignment assigns 3,000 shards to 400 instances.
func BenchmarkFirstAssignment(b *testing.B) {
	all := testCandidates(400, 15)
	now := time.Unix(1_700_000_000, 0)
	for b.Loop() {
		m := New(Options{Self: all[0].ID})
		m.Step(now, GroupsChanged{[]Group{{Name: "controller", Shards: 2_900}, {Name: "pool", Shards: 100, Spread: true}}})
		m.Step(now, CandidatesChanged{all})
	}
}
