package daemon

import (
	"sync"

	"github.com/samphirewing/coordkit/coordination/membership"
	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// ownerCache computes and caches the owners of keys for one membership view. The
// owners of all engines and partitions are looked up several times a second. It is
// safe for concurrent use.
type ownerCache struct {
	candidates []ownership.Candidate
	mu         sync.Mutex
	owners     map[string]instance.ID
}

func newOwnerCache(live []membership.Member) *ownerCache {
	c := &ownerCache{owners: make(map[string]instance.ID)}
	for _, m := range live {
		if m.State == membership.Ready {
			c.candidates = append(c.candidates, ownership.Candidate{ID: m.ID, FailureDomain: m.FailureDomain})
		}
	}
	return c
}

// owner returns the owner of a key, and false when no instance is ready.
func (c *ownerCache) owner(key string) (instance.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, known := c.owners[key]; known {
		return id, true
	}
	id, ok := ownership.Owner(key, c.candidates)
	if ok {
		c.owners[key] = id
	}
	return id, ok
}
