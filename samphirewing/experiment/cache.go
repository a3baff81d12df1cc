package experiment

import (
	"container/list"

	"github.com/samphirewing/samphirewing/state/structs"
)

// blockCache is the prefix cache of an engine, with LRU eviction.
type blockCache struct {
	maxBlocks int
	byHash    map[structs.PrefixHash]*list.Element
	lru       *list.List
	stored    []structs.PrefixHash
	dropped   []structs.PrefixHash
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{maxBlocks: limit, byHash: map[structs.PrefixHash]*list.Element{}, lru: list.New()}
}

// cachedPrefix returns the number of leading blocks that are cached.
func (c *blockCache) cachedPrefix(blocks []structs.PrefixHash) int {
	for i, h := range blocks {
		if _, ok := c.byHash[h]; !ok {
			return i
		}
	}
	return len(blocks)
}

// touchPrefix returns the number of leading blocks that are cached and marks
// them as most recently used.
func (c *blockCache) touchPrefix(blocks []structs.PrefixHash) int {
	n := c.cachedPrefix(blocks)
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.byHash[blocks[i]])
	}
	return n
}

func (c *blockCache) insert(blocks []structs.PrefixHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		h := blocks[i]
		if element, ok := c.byHash[h]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.byHash[h] = c.lru.PushFront(h)
		c.stored = append(c.stored, h)
	}
	for len(c.byHash) > c.maxBlocks {
		oldest := c.lru.Back()
		h := oldest.Value.(structs.PrefixHash)
		c.lru.Remove(oldest)
		delete(c.byHash, h)
		c.dropped = append(c.dropped, h)
	}
}

// drainEvents returns the blocks stored and dropped since the last call.
func (c *blockCache) drainEvents() (stored, dropped []structs.PrefixHash) {
	stored, dropped = c.stored, c.dropped
	c.stored, c.dropped = nil, nil
	return stored, dropped
}
