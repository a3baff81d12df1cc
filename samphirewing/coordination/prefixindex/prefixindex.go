// Package prefixindex tracks which prompt prefixes endpoints are likely to
// have cached, in bounded memory.
//
// It is updated by the owner's dispatches and corrected by the endpoints'
// cache events, which arrive late and with gaps.
package prefixindex

import (
	"sort"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// maxHolders is the number of endpoints recorded per block.
const maxHolders = 4

// MaxEventLag is the maximum delay of a cache event. An event that reports a
// block as dropped is ignored if the block was used more recently than that.
const MaxEventLag = 3 * time.Second

// Index holds the blocks of all endpoints of a pool shard. The caller numbers
// the endpoints. It is not safe for concurrent use.
// Invariant: blocks is the sum over the endpoints' tables.
type Index struct {
	endpoints map[int]*table
	// holders records some of the endpoints that hold a block. Entries may be
	// outdated; the endpoint's table is authoritative.
	holders map[structs.PrefixHash]holderSet
	// freeList links the nodes of removed blocks for reuse.
	freeList  *node
	freeNodes int
	blocks    int
	// limit is the maximum number of blocks per endpoint.
	limit int
}

type holderSet struct {
	endpoints    [maxHolders]int32
	count        int8
	nextReplaced int8
}

// New returns an empty index with at most limit blocks per endpoint.
func New(limit int) *Index {
	return &Index{
		endpoints: map[int]*table{},
		holders:   map[structs.PrefixHash]holderSet{},
		limit:     max(limit, 1),
	}
}

// SetLimit changes the maximum number of blocks per endpoint.
func (x *Index) SetLimit(limit int) {
	x.limit = max(limit, 1)
	for _, n := range x.endpointNumbers() {
		x.trim(n, x.endpoints[n])
	}
}

// Limit returns the maximum number of blocks per endpoint.
func (x *Index) Limit() int { return x.limit }

// Blocks returns the number of blocks recorded for an endpoint.
func (x *Index) Blocks(endpoint int) int {
	if t, ok := x.endpoints[endpoint]; ok {
		return len(t.nodes)
	}
	return 0
}

// Total returns the number of blocks recorded for all endpoints.
func (x *Index) Total() int { return x.blocks }

// Insert records that an endpoint is about to cache a prompt's blocks. The
// first blocks are evicted last, because more prompts share them.
func (x *Index) Insert(now time.Time, endpoint int, prefix []structs.PrefixHash) {
	t := x.ensureTable(endpoint)
	for i := len(prefix) - 1; i >= 0; i-- {
		x.storeBlock(now, endpoint, t, prefix[i])
	}
	x.trim(endpoint, t)
}

// Cached returns how many leading blocks an endpoint is likely to have cached.
func (x *Index) Cached(endpoint int, prefix []structs.PrefixHash) int {
	t, ok := x.endpoints[endpoint]
	if !ok {
		return 0
	}
	return sort.Search(len(prefix), func(i int) bool { return !t.has(prefix[i]) })
}

// Holders appends to found the endpoints known to hold the longest prefixes of
// a prompt, longest first, until found has limit entries.
func (x *Index) Holders(prefix []structs.PrefixHash, limit int, found []int) []int {
	known := sort.Search(len(prefix), func(i int) bool { return x.holders[prefix[i]].count == 0 })
	for i := known - 1; i >= 0 && len(found) < limit; i-- {
		found = x.appendHolders(prefix[i], limit, found)
	}
	return found
}

func (x *Index) appendHolders(h structs.PrefixHash, limit int, found []int) []int {
	set := x.holders[h]
	for _, e := range set.endpoints[:set.count] {
		if len(found) >= limit {
			break
		}
		if !contains(found, int(e)) {
			found = append(found, int(e))
		}
	}
	return found
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

// AddStored records blocks that an endpoint reported as stored.
func (x *Index) AddStored(now time.Time, endpoint int, blocks []structs.PrefixHash) {
	t := x.ensureTable(endpoint)
	for _, h := range blocks {
		x.storeBlock(now, endpoint, t, h)
	}
	x.trim(endpoint, t)
}

// RemoveDropped removes blocks that an endpoint reported as dropped.
func (x *Index) RemoveDropped(now time.Time, endpoint int, blocks []structs.PrefixHash) {
	t, ok := x.endpoints[endpoint]
	if !ok {
		return
	}
	for _, h := range blocks {
		if n, held := t.nodes[h]; held && now.Sub(n.lastUsed) >= MaxEventLag {
			x.removeBlock(endpoint, t, n)
		}
	}
}

// Clear removes all blocks of an endpoint.
func (x *Index) Clear(endpoint int) {
	t, ok := x.endpoints[endpoint]
	if !ok {
		return
	}
	for t.oldest != nil {
		x.removeBlock(endpoint, t, t.oldest)
	}
	delete(x.endpoints, endpoint)
}

func (x *Index) ensureTable(endpoint int) *table {
	t, ok := x.endpoints[endpoint]
	if !ok {
		t = newTable()
		x.endpoints[endpoint] = t
	}
	return t
}

func (x *Index) storeBlock(now time.Time, endpoint int, t *table, h structs.PrefixHash) {
	if t.touch(now, h) {
		return
	}
	t.add(now, h, x.allocNode())
	x.blocks++
	x.addHolder(h, endpoint)
}

func (x *Index) trim(endpoint int, t *table) {
	for len(t.nodes) > x.limit {
		x.removeBlock(endpoint, t, t.oldest)
	}
}

func (x *Index) removeBlock(endpoint int, t *table, n *node) {
	t.remove(n)
	x.blocks--
	x.removeHolder(n.hash, endpoint)
	n.older = x.freeList
	n.newer = nil
	x.freeList = n
	x.freeNodes++
	if x.freeNodes > maxFreeNodes {
		x.freeList, x.freeNodes = nil, 0
	}
}

// maxFreeNodes bounds the free list; beyond it, the list is released.
const maxFreeNodes = 1024

func (x *Index) allocNode() *node {
	if x.freeList == nil {
		return &node{}
	}
	n := x.freeList
	x.freeList = n.older
	x.freeNodes--
	return n
}

func (x *Index) addHolder(h structs.PrefixHash, endpoint int) {
	set := x.holders[h]
	if int(set.count) < maxHolders {
		set.endpoints[set.count] = int32(endpoint)
		set.count++
	} else {
		set.endpoints[set.nextReplaced] = int32(endpoint)
		set.nextReplaced = (set.nextReplaced + 1) % maxHolders
	}
	x.holders[h] = set
}

func (x *Index) removeHolder(h structs.PrefixHash, endpoint int) {
	set, ok := x.holders[h]
	if !ok {
		return
	}
	for i := range set.count {
		if set.endpoints[i] != int32(endpoint) {
			continue
		}
		set.count--
		set.endpoints[i] = set.endpoints[set.count]
		set.nextReplaced = 0
		break
	}
	if set.count == 0 {
		delete(x.holders, h)
		return
	}
	x.holders[h] = set
}

func (x *Index) endpointNumbers() []int {
	numbers := make([]int, 0, len(x.endpoints))
	for n := range x.endpoints {
		numbers = append(numbers, n)
	}
	sort.Ints(numbers)
	return numbers
}
