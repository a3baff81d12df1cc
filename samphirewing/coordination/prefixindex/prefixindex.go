// Package prefixindex remembers which prompt prefixes endpoints are likely to
// have cached, in bounded memory.
//
// It is fed by the owner's own dispatches and corrected by the endpoints'
// cache events, which come late and with gaps.
package prefixindex

import (
	"sort"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// holdersKept is how many holders of a block are remembered as candidates.
const holdersKept = 4

// EventLag is how late a cache event may be. A block that was dispatched more
// lately is not forgotten by an event that says it was dropped.
const EventLag = 3 * time.Second

// Index holds the blocks of all endpoints of a pool shard. Endpoints are
// numbered by the caller. It is not safe for concurrent use.
// Invariant: blocks is the sum over the endpoints' tables.
type Index struct {
	endpoints map[int]*table
	// holders names some endpoints that hold a block. Entries may be out of
	// date; an endpoint's own table decides.
	holders map[structs.PrefixHash]holderSet
	// spare lists the memory of dropped blocks for the next ones.
	spare  *node
	spares int
	blocks int
	// limit is the most blocks of one endpoint.
	limit int
}

type holderSet struct {
	endpoint [holdersKept]int32
	count    int8
	next     int8
}

// New returns an empty index with at most limit blocks for each endpoint.
func New(limit int) *Index {
	return &Index{
		endpoints: map[int]*table{},
		holders:   map[structs.PrefixHash]holderSet{},
		limit:     max(limit, 1),
	}
}

// SetLimit changes the most blocks of one endpoint.
func (x *Index) SetLimit(limit int) {
	x.limit = max(limit, 1)
	for _, n := range x.numbers() {
		x.trim(n, x.endpoints[n])
	}
}

// Limit returns the most blocks of one endpoint.
func (x *Index) Limit() int { return x.limit }

// Blocks returns how many blocks are held for an endpoint.
func (x *Index) Blocks(endpoint int) int {
	if t, ok := x.endpoints[endpoint]; ok {
		return len(t.nodes)
	}
	return 0
}

// Total returns how many blocks are held for all endpoints.
func (x *Index) Total() int { return x.blocks }

// Insert notes that an endpoint is about to hold a prompt's blocks. The first
// blocks are kept longest, because more prompts share them.
func (x *Index) Insert(now time.Time, endpoint int, prefix []structs.PrefixHash) {
	t := x.table(endpoint)
	for i := len(prefix) - 1; i >= 0; i-- {
		x.store(now, endpoint, t, prefix[i])
	}
	x.trim(endpoint, t)
}

// Cached returns how many leading blocks an endpoint is likely to hold.
func (x *Index) Cached(endpoint int, prefix []structs.PrefixHash) int {
	t, ok := x.endpoints[endpoint]
	if !ok {
		return 0
	}
	return sort.Search(len(prefix), func(i int) bool { return !t.has(prefix[i]) })
}

// Holders appends to found the endpoints that are known to hold a long part
// of a prompt, the longest first, at most limit of them.
func (x *Index) Holders(prefix []structs.PrefixHash, limit int, found []int) []int {
	depth := sort.Search(len(prefix), func(i int) bool { return x.holders[prefix[i]].count == 0 })
	for i := depth - 1; i >= 0 && len(found) < limit; i-- {
		found = x.appendHolders(prefix[i], limit, found)
	}
	return found
}

func (x *Index) appendHolders(h structs.PrefixHash, limit int, found []int) []int {
	set := x.holders[h]
	for _, e := range set.endpoint[:set.count] {
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

// AddStored notes an endpoint's word that it holds blocks.
func (x *Index) AddStored(now time.Time, endpoint int, blocks []structs.PrefixHash) {
	t := x.table(endpoint)
	for _, h := range blocks {
		x.store(now, endpoint, t, h)
	}
	x.trim(endpoint, t)
}

// RemoveDropped notes an endpoint's word that it dropped blocks.
func (x *Index) RemoveDropped(now time.Time, endpoint int, blocks []structs.PrefixHash) {
	t, ok := x.endpoints[endpoint]
	if !ok {
		return
	}
	for _, h := range blocks {
		if n, held := t.nodes[h]; held && now.Sub(n.used) >= EventLag {
			x.forget(endpoint, t, n)
		}
	}
}

// Clear forgets all of an endpoint.
func (x *Index) Clear(endpoint int) {
	t, ok := x.endpoints[endpoint]
	if !ok {
		return
	}
	for t.oldest != nil {
		x.forget(endpoint, t, t.oldest)
	}
	delete(x.endpoints, endpoint)
}

func (x *Index) table(endpoint int) *table {
	t, ok := x.endpoints[endpoint]
	if !ok {
		t = newTable()
		x.endpoints[endpoint] = t
	}
	return t
}

func (x *Index) store(now time.Time, endpoint int, t *table, h structs.PrefixHash) {
	if t.touch(now, h) {
		return
	}
	t.add(now, h, x.takeNode())
	x.blocks++
	x.addHolder(h, endpoint)
}

func (x *Index) trim(endpoint int, t *table) {
	for len(t.nodes) > x.limit {
		x.forget(endpoint, t, t.oldest)
	}
}

func (x *Index) forget(endpoint int, t *table, n *node) {
	t.remove(n)
	x.blocks--
	x.removeHolder(n.hash, endpoint)
	n.older = x.spare
	n.newer = nil
	x.spare = n
	x.spares++
	if x.spares > sparesKept {
		x.spare, x.spares = nil, 0
	}
}

// sparesKept bounds the dropped blocks whose memory is kept.
const sparesKept = 1024

func (x *Index) takeNode() *node {
	if x.spare == nil {
		return &node{}
	}
	n := x.spare
	x.spare = n.older
	x.spares--
	return n
}

func (x *Index) addHolder(h structs.PrefixHash, endpoint int) {
	set := x.holders[h]
	if int(set.count) < holdersKept {
		set.endpoint[set.count] = int32(endpoint)
		set.count++
	} else {
		set.endpoint[set.next] = int32(endpoint)
		set.next = (set.next + 1) % holdersKept
	}
	x.holders[h] = set
}

func (x *Index) removeHolder(h structs.PrefixHash, endpoint int) {
	set, ok := x.holders[h]
	if !ok {
		return
	}
	for i := range set.count {
		if set.endpoint[i] != int32(endpoint) {
			continue
		}
		set.count--
		set.endpoint[i] = set.endpoint[set.count]
		set.next = 0
		break
	}
	if set.count == 0 {
		delete(x.holders, h)
		return
	}
	x.holders[h] = set
}

func (x *Index) numbers() []int {
	numbers := make([]int, 0, len(x.endpoints))
	for n := range x.endpoints {
		numbers = append(numbers, n)
	}
	sort.Ints(numbers)
	return numbers
}
