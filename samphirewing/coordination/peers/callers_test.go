package peers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

func domainRecords(counts map[instance.FailureDomain]int) (all []Record) {
	for domain, n := range counts {
		for i := range n {
			name := fmt.Sprint(domain, "-", i)
			all = append(all, Record{Instance: instance.ID(name), CallerAddress: name, FailureDomain: domain})
		}
	}
	return all
}

func TestSmallDeploymentsListAllDaemons(t *testing.T) {
	all := domainRecords(map[instance.FailureDomain]int{"a": 30, "b": 34})
	assert.Equal(t, len(SelectAddresses(all, "a", 64)), 64)
	assert.Equal(t, len(SelectAddresses(all, "unknown", 64)), 64)
}

// With more daemons than a list may hold, the lists of all failure domains
// together name every daemon, each domain's clients use its own daemons, and the
// lists don't change from call to call.
func TestLargeDeploymentsSpreadClientsOverAllDaemons(t *testing.T) {
	counts := map[instance.FailureDomain]int{"a": 24, "b": 21, "c": 28, "d": 23, "e": 22}
	all := domainRecords(counts)
	listed := map[string]int{}
	for domain, n := range counts {
		addresses := SelectAddresses(all, domain, 64)
		assert.Equal(t, len(addresses), n)
		assert.DeepEqual(t, SelectAddresses(domainRecords(counts), domain, 64), addresses)
		for _, a := range addresses {
			listed[a]++
		}
	}
	assert.Equal(t, len(listed), len(all))
	assert.Equal(t, len(SelectAddresses(all, "unknown", 64)), 64)
}

// A failure domain that has lost most of its daemons borrows others.
func TestDomainWithFewDaemonsBorrowsOthers(t *testing.T) {
	all := domainRecords(map[instance.FailureDomain]int{"a": minDomainAddresses - 1, "b": 100})
	addresses := SelectAddresses(all, "a", 64)
	assert.Equal(t, len(addresses), 64)
	own := 0
	for _, a := range addresses {
		if a[0] == 'a' {
			own++
		}
	}
	assert.Equal(t, own, minDomainAddresses-1)
}
