package daemon

import (
	"sort"
	"sync"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/entry"
)

// shardTable remembers the shards that this entry sends requests to and tells
// the entry role when the owner of one changes.
type shardTable struct {
	ownerOf func(entry.Shard) (instance.ID, bool)
	tell    func(entry.OwnerChanged)

	mu     sync.Mutex
	owners map[entry.Shard]instance.ID
}

func newShardTable(ownerOf func(entry.Shard) (instance.ID, bool), tell func(entry.OwnerChanged)) *shardTable {
	return &shardTable{ownerOf: ownerOf, tell: tell, owners: make(map[entry.Shard]instance.ID)}
}

// use makes sure that the entry knows the shard's owner.
func (t *shardTable) use(s entry.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.owners[s]; !known {
		t.refreshLocked(s)
	}
}

// refresh looks every shard's owner up again, after members have changed.
func (t *shardTable) refresh() {
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

func (t *shardTable) refreshLocked(s entry.Shard) {
	owner, ok := t.ownerOf(s)
	if !ok || t.owners[s] == owner {
		return
	}
	t.owners[s] = owner
	t.tell(entry.OwnerChanged{Shard: s, Owner: owner})
}

// startIncarnation derives an incarnation from the wall clock, so that later
// lives have larger values without anything kept.
func startIncarnation(now time.Time) instance.Incarnation {
	return instance.Incarnation(now.UnixMicro())
}
