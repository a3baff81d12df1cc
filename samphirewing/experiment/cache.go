package experiment

import (
	"container/list"

	"github.com/samphirewing/samphirewing/state/structs"
)

// blockCache is an engine's prefix cache, least lately used blocks out first.
type blockCache struct {
	limit   int
	byHash  map[structs.PrefixHash]*list.Element
	recent  *list.List
	stored  []structs.PrefixHash
	dropped []structs.PrefixHash
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, byHash: map[structs.PrefixHash]*list.Element{}, recent: list.New()}
}

// count returns how many leading blocks are held.
func (c *blockCache) count(blocks []structs.PrefixHash) int {
	for i, h := range blocks {
		if _, ok := c.byHash[h]; !ok {
			return i
		}
	}
	return len(blocks)
}

// match counts the leading blocks held and makes them the newest.
func (c *blockCache) match(blocks []structs.PrefixHash) int {
	n := c.count(blocks)
	for i := n - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.byHash[blocks[i]])
	}
	return n
}

func (c *blockCache) insert(blocks []structs.PrefixHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		h := blocks[i]
		if el, ok := c.byHash[h]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.byHash[h] = c.recent.PushFront(h)
		c.stored = append(c.stored, h)
	}
	for len(c.byHash) > c.limit {
		oldest := c.recent.Back()
		h := oldest.Value.(structs.PrefixHash)
		c.recent.Remove(oldest)
		delete(c.byHash, h)
		c.dropped = append(c.dropped, h)
	}
}

// takeEvents returns the changes since the last call.
func (c *blockCache) takeEvents() (stored, dropped []structs.PrefixHash) {
	stored, dropped = c.stored, c.dropped
	c.stored, c.dropped = nil, nil
	return stored, dropped
}
