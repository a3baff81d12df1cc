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

// prefixCache holds the most recently used blocks of prompts.
type prefixCache struct {
	limit int

	mu sync.Mutex
	// recent holds structs.PrefixHash values, the most recently used first.
	recent *list.List
	blocks map[structs.PrefixHash]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), blocks: make(map[structs.PrefixHash]*list.Element)}
}

// lookup returns how many tokens at the start of the prompt are cached.
func (c *prefixCache) lookup(blocks []structs.PrefixHash) structs.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := 0
	for found < len(blocks) {
		e, ok := c.blocks[blocks[found]]
		if !ok {
			break
		}
		c.recent.MoveToFront(e)
		found++
	}
	return structs.Tokens(found * prefix.BlockTokens)
}

// store adds the blocks and returns what changed. Later blocks of a prompt
// are dropped before earlier ones.
func (c *prefixCache) store(blocks []structs.PrefixHash) (stored, dropped []structs.PrefixHash) {
	if c.limit <= 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := min(len(blocks), c.limit) - 1; i >= 0; i-- {
		if e, ok := c.blocks[blocks[i]]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.recent.PushFront(blocks[i])
		stored = append(stored, blocks[i])
	}
	for c.recent.Len() > c.limit {
		hash := c.recent.Remove(c.recent.Back()).(structs.PrefixHash)
		delete(c.blocks, hash)
		dropped = append(dropped, hash)
	}
	return stored, dropped
}

// clear drops everything.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Init()
	clear(c.blocks)
}

// maxKeptEvents bounds the cache events that an engine remembers.
const maxKeptEvents = 8192

// maxEventsPerAnswer bounds one answer of cache events.
const maxEventsPerAnswer = 512

type pendingEvent struct {
	event enginewire.CacheEvent
	from  time.Time
}

// cacheEvents publishes events late and loses some of them.
type cacheEvents struct {
	lag     time.Duration
	gapRate float64

	mu     sync.Mutex
	rng    *rand.Rand
	last   uint64
	events []pendingEvent
}

func newCacheEvents(o Options) *cacheEvents {
	return &cacheEvents{
		lag:     scaled(o.EventLag, o.Speedup),
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
	c.last++
	e.Sequence = c.last
	if c.rng.Float64() < c.gapRate {
		return
	}
	c.events = append(c.events, pendingEvent{event: e, from: time.Now().Add(c.lag)})
	if len(c.events) > maxKeptEvents {
		c.events = c.events[1:]
	}
}

// after returns the published events after a sequence number.
func (c *cacheEvents) after(sequence uint64) []enginewire.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	found := []enginewire.CacheEvent{}
	for _, p := range c.events {
		if p.from.After(now) || len(found) == maxEventsPerAnswer {
			break
		}
		if p.event.Sequence > sequence {
			found = append(found, p.event)
		}
	}
	return found
}
