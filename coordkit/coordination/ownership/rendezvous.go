// Package ownership assigns keys to live instances by rendezvous hashing, and
// reports the keys that an instance gains and loses.
//
// Instances with the same candidates compute the same owner for every key,
// without communication. When a candidate is removed, only its own keys move.
// In a group with Spread set, more keys move if the candidate was the last one
// in its failure domain.
package ownership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Candidate is an instance that may own keys.
type Candidate struct {
	ID            instance.ID
	FailureDomain instance.FailureDomain
	// Weight is the candidate's share of keys relative to other candidates.
	// Zero means one.
	Weight uint32
}

// ranking is a candidate or failure domain with its score for a key.
type ranking struct {
	name  string
	score float64
}

// Owner returns the candidate with the highest score for the key, or false if
// there are no candidates.
func Owner(key string, candidates []Candidate) (instance.ID, bool) {
	best := ranking{}
	hash := xxhash.Sum64String(key)
	for _, c := range candidates {
		r := ranking{string(c.ID), score(hash, xxhash.Sum64String(string(c.ID)), c.Weight)}
		if best.name == "" || compareRanking(r, best) < 0 {
			best = r
		}
	}
	return instance.ID(best.name), best.name != ""
}

// Ranked returns the n candidates with the highest scores for the key, highest
// first, or all candidates if there are fewer.
func Ranked(key string, candidates []Candidate, n int) []instance.ID {
	hash := xxhash.Sum64String(key)
	rankings := make([]ranking, len(candidates))
	for i, c := range candidates {
		rankings[i] = ranking{string(c.ID), score(hash, xxhash.Sum64String(string(c.ID)), c.Weight)}
	}
	slices.SortFunc(rankings, compareRanking)
	ids := make([]instance.ID, min(n, len(rankings)))
	for i := range ids {
		ids[i] = instance.ID(rankings[i].name)
	}
	return ids
}

// compareRanking orders by descending score, then by name.
func compareRanking(a, b ranking) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// score is the weighted rendezvous score: -weight / ln(u), with u uniform in
// (0, 1) from the hashes of the key and of the candidate's name.
func score(keyHash, nameHash uint64, weight uint32) float64 {
	const mantissaBits = 53
	h := mix(keyHash ^ mix(nameHash))
	u := (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -float64(max(1, weight)) / math.Log(u)
}

// mix spreads the bits of x over the whole word (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
