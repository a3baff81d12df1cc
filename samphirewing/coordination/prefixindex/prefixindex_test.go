package prefixindex

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func blocks(prompt, n int) []structs.PrefixHash {
	list := make([]structs.PrefixHash, n)
	for i := range list {
		list[i] = structs.PrefixHash(prompt*1000 + i + 1)
	}
	return list
}

func TestFindsLongestHolderFirst(t *testing.T) {
	x := New(100)
	p := blocks(1, 10)
	x.Insert(start, 1, p[:3])
	x.Insert(start, 2, p[:7])
	assert.Equal(t, x.Cached(1, p), 3)
	assert.Equal(t, x.Cached(2, p), 7)
	assert.Equal(t, x.Cached(3, p), 0)
	assert.DeepEqual(t, x.Holders(p, 4, nil), []int{2, 1})
}

func TestSharedFirstBlocksOutliveTails(t *testing.T) {
	x := New(10)
	x.Insert(start, 1, blocks(1, 8))
	x.Insert(start, 1, blocks(2, 6))
	assert.Equal(t, x.Blocks(1), 10)
	assert.Equal(t, x.Cached(1, blocks(1, 8)), 4)
	assert.Equal(t, x.Cached(1, blocks(2, 6)), 6)
}

func TestLateDropDoesNotUndoANewerDispatch(t *testing.T) {
	x := New(100)
	p := blocks(1, 4)
	x.Insert(start, 1, p)
	x.RemoveDropped(start.Add(EventLag/2), 1, p)
	assert.Equal(t, x.Cached(1, p), 4)
	x.RemoveDropped(start.Add(EventLag), 1, p[2:])
	assert.Equal(t, x.Cached(1, p), 2)
	x.Clear(1)
	assert.Equal(t, x.Cached(1, p), 0)
	assert.Equal(t, len(x.holders), 0)
}

func TestMemoryStaysBounded(t *testing.T) {
	x := New(50)
	r := rand.New(rand.NewPCG(7, 7))
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Second)
		endpoint := r.IntN(6)
		p := blocks(r.IntN(40), 1+r.IntN(20))
		switch r.IntN(10) {
		case 0:
			x.RemoveDropped(now, endpoint, p)
		case 1:
			x.AddStored(now, endpoint, p)
		case 2:
			x.Clear(endpoint)
		default:
			x.Insert(now, endpoint, p)
		}
	}
	sum := 0
	for e := range 6 {
		assert.Assert(t, x.Blocks(e) <= 50)
		sum += x.Blocks(e)
	}
	assert.Equal(t, x.Total(), sum)
	for h, set := range x.holders {
		for _, e := range set.endpoint[:set.count] {
			assert.Assert(t, x.endpoints[int(e)].has(h), "holder %d of a block it dropped", e)
		}
	}
}
