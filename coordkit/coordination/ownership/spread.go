package ownership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Group is a set of keys that are numbered from zero, such as the shards of
// one pool.
type Group struct {
	Name   string
	Shards int
	// Spread puts the shards evenly on failure domains, so that the loss of
	// one takes no more than its share of the group.
	Spread bool
}

// Shard is one key of a group.
type Shard struct {
	Group  string
	Number int
}

// String returns "group/number", the key that is hashed.
func (s Shard) String() string { return s.Group + "/" + strconv.Itoa(s.Number) }

// Assign returns the owner of each shard of a group, by number. It returns
// nil when there are no candidates.
func Assign(g Group, members []Candidate) []instance.ID {
	if len(members) == 0 {
		return nil
	}
	owners := make([]instance.ID, g.Shards)
	if !g.Spread {
		for i := range owners {
			owners[i], _ = Owner(Shard{g.Name, i}.String(), members)
		}
		return owners
	}
	domains, byDomain := groupByDomain(members)
	for i, domain := range spreadDomains(g, domains) {
		owners[i], _ = Owner(Shard{g.Name, i}.String(), byDomain[domain])
	}
	return owners
}

// groupByDomain returns the failure domains in order, and the candidates of
// each.
func groupByDomain(members []Candidate) ([]instance.FailureDomain, map[instance.FailureDomain][]Candidate) {
	byDomain := map[instance.FailureDomain][]Candidate{}
	var domains []instance.FailureDomain
	for _, c := range members {
		if byDomain[c.FailureDomain] == nil {
			domains = append(domains, c.FailureDomain)
		}
		byDomain[c.FailureDomain] = append(byDomain[c.FailureDomain], c)
	}
	slices.Sort(domains)
	return domains, byDomain
}

// spreadDomains gives each shard the failure domain that scores best for it
// among those that still have room. Room differs by at most one shard.
func spreadDomains(g Group, domains []instance.FailureDomain) []instance.FailureDomain {
	whole, rest := g.Shards/len(domains), g.Shards%len(domains)
	used := map[instance.FailureDomain]int{}
	chosen := make([]instance.FailureDomain, g.Shards)
	for i := range chosen {
		chosen[i] = firstWithRoom(Shard{g.Name, i}.String(), domains, func(d instance.FailureDomain) bool {
			return used[d] < whole || (used[d] == whole && rest > 0)
		})
		if used[chosen[i]] == whole {
			rest--
		}
		used[chosen[i]]++
	}
	return chosen
}

// firstWithRoom returns the best-scored failure domain that has room.
func firstWithRoom(key string, domains []instance.FailureDomain, room func(instance.FailureDomain) bool) instance.FailureDomain {
	best := ranking{}
	hash := xxhash.Sum64String(key)
	for _, d := range domains {
		if !room(d) {
			continue
		}
		r := ranking{string(d), score(hash, xxhash.Sum64String("domain/"+string(d)), 1)}
		if best.name == "" || compareRanking(r, best) < 0 {
			best = r
		}
	}
	return instance.FailureDomain(best.name)
}
