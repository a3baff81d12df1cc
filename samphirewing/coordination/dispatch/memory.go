package dispatch

import (
	"github.com/samphirewing/samphirewing/coordination/enginememory"
	"github.com/samphirewing/samphirewing/state/structs"
)

// maxQueuedUnreported bounds how many queued requests of other daemons are sent to an
// engine before they are reported. About one daemon takes each slot that becomes free,
// since they draw for it.
const maxQueuedUnreported = 2

// memory returns the tokens that a request may take at an engine.
func (r *Request) memory() structs.Tokens {
	return enginememory.Size(r.Prompt, r.Output, r.MaxOutput)
}

// isTooLarge reports whether no engine of the pool can hold a request.
func (p *pool) isTooLarge(r *Request) bool {
	return p.engine != nil && enginememory.LargerThanAny(p.engine.CacheTokens, r.memory())
}

// updateMemoryReserve computes what is kept free on each engine for requests of other
// daemons that are not reported yet. Each of them goes to the best of a sample. Requests
// that are queued elsewhere may all be sent as soon as there is room.
func (p *pool) updateMemoryReserve() {
	if p.engine == nil || len(p.list) == 0 {
		return
	}
	sampled := max(1/(1+p.concurrentPlacements()), min(1, float64(minSample)/float64(len(p.list))))
	placed, queued := p.unreportedPlacements(), p.peersQueued()
	if placed+queued == 0 {
		// Nothing is known yet, as after a start of all daemons.
		placed = float64(max(0, p.daemons-1))
	}
	unreported := max(placed*sampled, min(queued*sampled, maxQueuedUnreported))
	p.memoryConcurrent = enginememory.Concurrent(p.daemons, unreported)
	unreported = max(unreported, float64(min(p.daemons, enginememory.MinConcurrent)-1))
	p.memoryReserve = p.sizes.Reserve(unreported, p.engine.CacheTokens)
	p.memoryUnassigned = p.unassignedSizes.Reserve(unreported, p.engine.CacheTokens)
}

// peersQueued returns how many requests are queued at the other daemons.
func (p *pool) peersQueued() float64 {
	n := 0
	for _, peer := range p.peerReports {
		for _, r := range peer.Ranks {
			n += r.Waiting
		}
	}
	return float64(n)
}

// memoryOf returns the memory of an engine.
func (p *pool) memoryOf(e *endpoint) enginememory.Engine {
	return enginememory.Engine{
		Capacity: p.engine.CacheTokens, Used: e.tokens + e.peerTotal.Tokens, Reserve: p.memoryReserve,
		Unassigned: p.memoryUnassigned, Concurrent: p.memoryConcurrent, Holders: e.memoryHolders,
	}
}

// observeMemory records the size of a request that is sent to an engine.
func (p *pool) observeMemory(e *endpoint, size structs.Tokens) {
	if p.engine == nil {
		return
	}
	p.sizes.Observe(size)
	unassigned := p.memoryOf(e)
	unassigned.Holders = 0
	if enginememory.Fits(unassigned, size) {
		p.unassignedSizes.Observe(size)
	}
}

// SetMemoryHolders sets which engines are assigned to this daemon for requests that
// need most of their memory, and to how many daemons each of them. Before the first
// call all engines are assigned to this daemon alone.
func (s *Scheduler) SetMemoryHolders(holders map[structs.EndpointName]int) {
	s.memoryHolders = holders
	for _, p := range s.pools {
		for name, e := range p.endpoints {
			e.memoryHolders = s.holdersOf(name)
		}
	}
}

func (s *Scheduler) holdersOf(name structs.EndpointName) int {
	if s.memoryHolders == nil {
		return 1
	}
	return s.memoryHolders[name]
}
