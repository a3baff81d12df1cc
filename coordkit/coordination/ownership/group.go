package ownership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Group is a set of shards numbered from zero, such as those of a pool.
type Group struct {
	Name   string
	Shards int
	// Spread distributes the shards evenly over the failure domains, so that
	// the loss of one affects no more than its share of the group.
	Spread bool
}

// Shard identifies a shard of a group.
type Shard struct {
	Group  string
	Number int
}

// String returns "group/number", the key that is hashed.
func (s Shard) String() string { return s.Group + "/" + strconv.Itoa(s.Number) }

// Assign returns the owner of each shard of a group, indexed by shard number. It
// returns nil if there are no candidates.
func Assign(g Group, candidates []Candidate) []instance.ID {
	if len(candidates) == 0 {
		return nil
	}
	owners := make([]instance.ID, g.Shards)
	if !g.Spread {
		for i := range owners {
			owners[i], _ = Owner(Shard{g.Name, i}.String(), candidates)
		}
		return owners
	}
	domains, byDomain := groupByDomain(candidates)
	for i, domain := range assignDomains(g, domains) {
		owners[i], _ = Owner(Shard{g.Name, i}.String(), byDomain[domain])
	}
	return owners
}

// groupByDomain returns the sorted failure domains, and the candidates in each.
func groupByDomain(candidates []Candidate) ([]instance.FailureDomain, map[instance.FailureDomain][]Candidate) {
	byDomain := map[instance.FailureDomain][]Candidate{}
	var domains []instance.FailureDomain
	for _, c := range candidates {
		if byDomain[c.FailureDomain] == nil {
			domains = append(domains, c.FailureDomain)
		}
		byDomain[c.FailureDomain] = append(byDomain[c.FailureDomain], c)
	}
	slices.Sort(domains)
	return domains, byDomain
}

// assignDomains assigns each shard to the failure domain with the highest score
// for it among those with capacity left. The numbers of shards per failure
// domain differ by at most one.
func assignDomains(g Group, domains []instance.FailureDomain) []instance.FailureDomain {
	perDomain, remainder := g.Shards/len(domains), g.Shards%len(domains)
	assigned := map[instance.FailureDomain]int{}
	shardDomains := make([]instance.FailureDomain, g.Shards)
	for i := range shardDomains {
		shardDomains[i] = bestDomainWithCapacity(Shard{g.Name, i}.String(), domains, func(d instance.FailureDomain) bool {
			return assigned[d] < perDomain || (assigned[d] == perDomain && remainder > 0)
		})
		if assigned[shardDomains[i]] == perDomain {
			remainder--
		}
		assigned[shardDomains[i]]++
	}
	return shardDomains
}

// bestDomainWithCapacity returns the failure domain with the highest score for
// the key among those for which hasCapacity returns true.
func bestDomainWithCapacity(key string, domains []instance.FailureDomain, hasCapacity func(instance.FailureDomain) bool) instance.FailureDomain {
	best := ranking{}
	hash := xxhash.Sum64String(key)
	for _, d := range domains {
		if !hasCapacity(d) {
			continue
		}
		r := ranking{string(d), score(hash, xxhash.Sum64String("domain/"+string(d)), 1)}
		if best.name == "" || compareRanking(r, best) < 0 {
			best = r
		}
	}
	return instance.FailureDomain(best.name)
}
