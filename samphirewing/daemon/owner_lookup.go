package daemon

import (
	"sync"

	"github.com/samphirewing/coordkit/coordination/membership"
	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// ownerLookup names the owners of keys in one view of the members. Owners of
// every engine and partition are asked for several times a second, so each is
// worked out once for a view. It is safe for use by several goroutines.
type ownerLookup struct {
	candidates []ownership.Candidate
	mu         sync.Mutex
	owners     map[string]instance.ID
}

func newOwnerLookup(live []membership.Member) *ownerLookup {
	l := &ownerLookup{owners: make(map[string]instance.ID)}
	for _, m := range live {
		if m.State == membership.Ready {
			l.candidates = append(l.candidates, ownership.Candidate{ID: m.ID, FailureDomain: m.FailureDomain})
		}
	}
	return l
}

// owner returns false when no instance is ready.
func (l *ownerLookup) owner(key string) (instance.ID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id, known := l.owners[key]; known {
		return id, true
	}
	id, ok := ownership.Owner(key, l.candidates)
	if ok {
		l.owners[key] = id
	}
	return id, ok
}
