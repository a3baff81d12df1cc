package peers

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// minDomainAddresses is the least number of addresses that clients get of their
// own failure domain alone, so that the loss of a few daemons leaves enough.
const minDomainAddresses = 8

// SelectAddresses returns at most limit client addresses for the clients of a
// failure domain. Clients pick one at random and close connections to addresses
// that are missing from a later list, so the selection is stable. If there are
// more daemons than that, clients get those of their own failure domain, which
// spreads them over all daemons; if these are few, others are added in an order
// that differs between failure domains.
func SelectAddresses(daemons []Record, domain instance.FailureDomain, limit int) []string {
	if len(daemons) > limit {
		daemons = selectRecords(daemons, domain, limit)
	}
	all := make([]string, 0, len(daemons))
	for _, d := range daemons {
		all = append(all, d.CallerAddress)
	}
	sort.Strings(all)
	return all
}

func selectRecords(daemons []Record, domain instance.FailureDomain, limit int) []Record {
	var own, others []Record
	for _, d := range daemons {
		if d.FailureDomain == domain {
			own = append(own, d)
		} else {
			others = append(others, d)
		}
	}
	sortByHash(own, domain)
	if len(own) >= limit {
		return own[:limit]
	}
	if len(own) >= minDomainAddresses {
		return own
	}
	sortByHash(others, domain)
	return append(own, others[:limit-len(own)]...)
}

// sortByHash sorts by a hash of the failure domain and the instance.
func sortByHash(daemons []Record, domain instance.FailureDomain) {
	key := func(r Record) uint64 { return xxhash.Sum64String(string(domain) + "/" + string(r.Instance)) }
	sort.Slice(daemons, func(i, j int) bool { return key(daemons[i]) < key(daemons[j]) })
}
