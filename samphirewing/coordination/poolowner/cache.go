package poolowner

import (
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
)

// cacheState tracks an endpoint's prefix cache: how accurate the predictions of
// the prefix index are, and which cache event was applied last.
// Invariant: 0 <= accuracy <= 1.
type cacheState struct {
	// accuracy is a moving average of the share of the expected cached tokens
	// that answers report as cached.
	accuracy     float64
	lastSequence uint64
}

const (
	// cacheAccuracySmoothing is the weight of the newest answer in the
	// accuracy.
	cacheAccuracySmoothing = 0.1
	// cacheGapFactor scales the accuracy after cache events were missed.
	cacheGapFactor = 0.9
)

func newCacheState() cacheState { return cacheState{accuracy: 1} }

// observe updates the accuracy with the expected and the reported cached tokens
// of one answer.
func (c *cacheState) observe(expected, cached structs.Tokens) {
	if expected <= 0 {
		return
	}
	share := min(float64(cached)/float64(expected), 1)
	c.accuracy += cacheAccuracySmoothing * (share - c.accuracy)
}

// recordSequence records the sequence number of a cache event. It returns
// whether the event is new and whether earlier events are missing.
func (c *cacheState) recordSequence(sequence uint64) (fresh, gap bool) {
	if sequence <= c.lastSequence {
		return false, false
	}
	gap = c.lastSequence > 0 && sequence > c.lastSequence+1
	c.lastSequence = sequence
	return true, gap
}

func (o *Owner) handleCacheEvent(e scheduling.CacheEvent) {
	ep, ok := o.endpoints[e.Endpoint]
	if !ok || o.options.Disabled.CacheEvents {
		return
	}
	fresh, gap := ep.cache.recordSequence(e.Sequence)
	if !fresh && !e.Cleared {
		return
	}
	if gap {
		ep.cache.accuracy *= cacheGapFactor
	}
	if e.Cleared {
		o.prefixes.Clear(ep.number)
		ep.cache = newCacheState()
		ep.cache.lastSequence = e.Sequence
	}
	o.prefixes.RemoveDropped(o.now, ep.number, e.Dropped)
	o.prefixes.AddStored(o.now, ep.number, e.Stored)
}

// estimateCached estimates how many tokens of a prompt an endpoint has cached.
func (o *Owner) estimateCached(r *request, e *endpoint) structs.Tokens {
	if len(r.spec.Prefix) == 0 || o.options.Disabled.PrefixIndex {
		return 0
	}
	blocks := o.prefixes.Cached(e.number, r.spec.Prefix)
	tokens := min(structs.Tokens(blocks)*prefix.BlockTokens, r.spec.PromptTokens)
	return structs.Tokens(e.cache.accuracy * float64(tokens))
}
