package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	maxBlocks int

	mu sync.Mutex
	// lru holds structs.PrefixHash values, most recently used first.
	lru    *list.List
	blocks map[structs.PrefixHash]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, lru: list.New(), blocks: make(map[structs.PrefixHash]*list.Element)}
}

// lookup returns the number of tokens at the start of the prompt that are
// cached, and marks their blocks as used.
func (c *prefixCache) lookup(blocks []structs.PrefixHash) structs.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(blocks) {
		e, ok := c.blocks[blocks[hits]]
		if !ok {
			break
		}
		c.lru.MoveToFront(e)
		hits++
	}
	return structs.Tokens(hits * prefix.BlockTokens)
}

// store adds the blocks of a prompt and returns the blocks that were added and
// those that were evicted. It inserts the last block first, so that later
// blocks of a prompt are evicted before earlier ones.
func (c *prefixCache) store(blocks []structs.PrefixHash) (stored, dropped []structs.PrefixHash) {
	if c.maxBlocks <= 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := min(len(blocks), c.maxBlocks) - 1; i >= 0; i-- {
		if e, ok := c.blocks[blocks[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.lru.PushFront(blocks[i])
		stored = append(stored, blocks[i])
	}
	for c.lru.Len() > c.maxBlocks {
		hash := c.lru.Remove(c.lru.Back()).(structs.PrefixHash)
		delete(c.blocks, hash)
		dropped = append(dropped, hash)
	}
	return stored, dropped
}

// clear removes all blocks.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.blocks)
}

// maxRetainedEvents bounds the cache events that an engine retains.
const maxRetainedEvents = 8192

// maxEventsPerResponse bounds the cache events in one response.
const maxEventsPerResponse = 512

// pendingEvent is an event that clients can read from visibleAt on.
type pendingEvent struct {
	event     enginewire.CacheEvent
	visibleAt time.Time
}

// cacheEvents publishes each event after lag and drops the fraction gapRate of
// the events. A dropped event leaves a gap in the sequence numbers.
type cacheEvents struct {
	lag     time.Duration
	gapRate float64

	mu           sync.Mutex
	rng          *rand.Rand
	lastSequence uint64
	events       []pendingEvent
}

func newCacheEvents(o Options) *cacheEvents {
	return &cacheEvents{
		lag:     scaleDuration(o.EventLag, o.Speedup),
		gapRate: o.EventGapRate,
		rng:     rand.New(rand.NewPCG(o.Seed, uint64(o.CacheBlocks))),
	}
}

func (c *cacheEvents) publish(stored, dropped []structs.PrefixHash) {
	if len(stored)+len(dropped) > 0 {
		c.add(enginewire.CacheEvent{Stored: stored, Dropped: dropped})
	}
}

func (c *cacheEvents) publishCleared() { c.add(enginewire.CacheEvent{Cleared: true}) }

func (c *cacheEvents) add(e enginewire.CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSequence++
	e.Sequence = c.lastSequence
	if c.rng.Float64() < c.gapRate {
		return
	}
	c.events = append(c.events, pendingEvent{event: e, visibleAt: time.Now().Add(c.lag)})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[1:]
	}
}

// publishedAfter returns the visible events after a sequence number, at most
// maxEventsPerResponse of them.
func (c *cacheEvents) publishedAfter(sequence uint64) []enginewire.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	visible := []enginewire.CacheEvent{}
	for _, p := range c.events {
		if p.visibleAt.After(now) || len(visible) == maxEventsPerResponse {
			break
		}
		if p.event.Sequence > sequence {
			visible = append(visible, p.event)
		}
	}
	return visible
}
