package daemon

import (
	"sort"
	"sync"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/entry"
)

// ownerTracker tracks the owners of the shards that this entry sends requests to
// and notifies the entry role when one changes.
type ownerTracker struct {
	ownerOf func(entry.Shard) (instance.ID, bool)
	notify  func(entry.OwnerChanged)

	mu     sync.Mutex
	owners map[entry.Shard]instance.ID
}

func newOwnerTracker(ownerOf func(entry.Shard) (instance.ID, bool), notify func(entry.OwnerChanged)) *ownerTracker {
	return &ownerTracker{ownerOf: ownerOf, notify: notify, owners: make(map[entry.Shard]instance.ID)}
}

// track starts tracking a shard if necessary, which notifies the entry of its
// owner.
func (t *ownerTracker) track(s entry.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.owners[s]; !known {
		t.refreshLocked(s)
	}
}

// refresh looks up the owner of every tracked shard again after a change of
// members.
func (t *ownerTracker) refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	shards := make([]entry.Shard, 0, len(t.owners))
	for s := range t.owners {
		shards = append(shards, s)
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i].Less(shards[j]) })
	for _, s := range shards {
		t.refreshLocked(s)
	}
}

func (t *ownerTracker) refreshLocked(s entry.Shard) {
	owner, ok := t.ownerOf(s)
	if !ok || t.owners[s] == owner {
		return
	}
	t.owners[s] = owner
	t.notify(entry.OwnerChanged{Shard: s, Owner: owner})
}

// newIncarnation derives an incarnation from the wall clock, so that it increases
// with each start without stored state.
func newIncarnation(now time.Time) instance.Incarnation {
	return instance.Incarnation(now.UnixMicro())
}
