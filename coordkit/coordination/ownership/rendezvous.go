// Package ownership spreads keys over live instances by rendezvous hashing,
// and tells an instance which keys it gains and loses.
//
// Instances that see the same candidates name the same owner for every key,
// without a message between them. When a candidate goes, only its own keys
// move.
package ownership

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Candidate is an instance that may own keys.
type Candidate struct {
	ID            instance.ID
	FailureDomain instance.FailureDomain
	// Weight is the share of keys relative to other candidates. Zero counts
	// as one.
	Weight uint32
}

// Owner returns the candidate with the highest score for the key. It reports
// false when there are no candidates.
func Owner(key string, members []Candidate) (instance.ID, bool) {
	var best instance.ID
	var bestScore float64
	hash := xxhash.Sum64String(key)
	for _, c := range members {
		s := score(hash, c)
		if best == "" || beats(s, c.ID, bestScore, best) {
			best, bestScore = c.ID, s
		}
	}
	return best, best != ""
}

// Ranked returns the n candidates with the highest scores for the key, best
// first, or all of them when there are fewer.
func Ranked(key string, members []Candidate, n int) []instance.ID {
	type scored struct {
		id    instance.ID
		score float64
	}
	hash := xxhash.Sum64String(key)
	all := make([]scored, len(members))
	for i, c := range members {
		all[i] = scored{c.ID, score(hash, c)}
	}
	sort.Slice(all, func(i, j int) bool { return beats(all[i].score, all[i].id, all[j].score, all[j].id) })
	n = min(n, len(all))
	ids := make([]instance.ID, n)
	for i := range ids {
		ids[i] = all[i].id
	}
	return ids
}

// beats orders by score, and by ID when scores are equal.
func beats(score float64, id instance.ID, otherScore float64, otherID instance.ID) bool {
	if score != otherScore {
		return score > otherScore
	}
	return id < otherID
}

// score is the weighted rendezvous score of a candidate: -weight / ln(u) with
// u uniform in (0, 1) from the hash of key and candidate.
func score(keyHash uint64, c Candidate) float64 {
	const mantissaBits = 53
	h := mix(keyHash ^ xxhash.Sum64String(string(c.ID)))
	u := (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -float64(max(1, c.Weight)) / math.Log(u)
}

// mix spreads the bits of x over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
