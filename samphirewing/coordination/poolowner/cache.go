package poolowner

import (
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
)

// cacheTrust is how far an endpoint's part of the prefix index has proved
// right, and where its cache events stand.
// Invariant: 0 <= accuracy <= 1.
type cacheTrust struct {
	// accuracy is the mean share of the expected cached tokens that answers
	// report as cached.
	accuracy float64
	sequence uint64
}

const (
	// cacheSmoothing is the weight of the newest answer in the accuracy.
	cacheSmoothing = 0.1
	// gapTrust scales the accuracy when cache events were missed.
	gapTrust = 0.9
)

func newCacheTrust() cacheTrust { return cacheTrust{accuracy: 1} }

// observe compares what was expected to be cached with what was.
func (c *cacheTrust) observe(expected, cached structs.Tokens) {
	if expected <= 0 {
		return
	}
	share := min(float64(cached)/float64(expected), 1)
	c.accuracy += cacheSmoothing * (share - c.accuracy)
}

// next takes a sequence number and returns whether the event is new, and
// whether earlier ones are missing.
func (c *cacheTrust) next(sequence uint64) (fresh, gap bool) {
	if sequence <= c.sequence {
		return false, false
	}
	gap = c.sequence > 0 && sequence > c.sequence+1
	c.sequence = sequence
	return true, gap
}

func (o *Owner) cacheEvent(e scheduling.CacheEvent) {
	ep, ok := o.endpoints[e.Endpoint]
	if !ok || o.options.Disabled.CacheEvents {
		return
	}
	fresh, gap := ep.cache.next(e.Sequence)
	if !fresh && !e.Cleared {
		return
	}
	if gap {
		ep.cache.accuracy *= gapTrust
	}
	if e.Cleared {
		o.prefixes.Clear(ep.number)
		ep.cache = newCacheTrust()
		ep.cache.sequence = e.Sequence
	}
	o.prefixes.RemoveDropped(o.now, ep.number, e.Dropped)
	o.prefixes.AddStored(o.now, ep.number, e.Stored)
}

// expectCached estimates how much of a prompt an endpoint has cached.
func (o *Owner) expectCached(r *request, e *endpoint) structs.Tokens {
	if len(r.spec.Prefix) == 0 || o.options.Disabled.PrefixIndex {
		return 0
	}
	blocks := o.prefixes.Cached(e.number, r.spec.Prefix)
	tokens := min(structs.Tokens(blocks)*prefix.BlockTokens, r.spec.PromptTokens)
	return structs.Tokens(e.cache.accuracy * float64(tokens))
}
