package aggregation

import (
	"math"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// State is the load and the queues of one daemon, or the sum of several.
type State struct {
	// Loads is keyed by the hash of the endpoint's name.
	Loads map[uint32]Load
	Pools map[structs.PoolName]Pool
}

// Load is the work on one endpoint.
type Load struct {
	Running      int64
	PrefillUnits int64
	// TokenSteps is in units of tokenStep tokens.
	TokenSteps int64
	// Unreachable is the number of daemons that can't reach the endpoint.
	Unreachable int64
}

// Pool is the state of the requests for one pool.
type Pool struct {
	// SlotsPerSecond is the rate at which slots become free.
	SlotsPerSecond float64
	Ranks          map[structs.Rank]Rank
}

// Rank is the state of the requests of one rank.
type Rank struct {
	Waiting         int64
	PlacedPerSecond float64
}

// NewState returns a state without load.
func NewState() State {
	return State{Loads: map[uint32]Load{}, Pools: map[structs.PoolName]Pool{}}
}

// Add adds other to the state.
func (s State) Add(other State) { s.combine(other, 1) }

// Subtract removes other from the state. Results below zero, from sums of
// different times, become zero.
func (s State) Subtract(other State) { s.combine(other, -1) }

func (s State) combine(other State, sign int64) {
	for endpoint, l := range other.Loads {
		sum := s.Loads[endpoint]
		sum.Running = max(0, sum.Running+sign*l.Running)
		sum.PrefillUnits = max(0, sum.PrefillUnits+sign*l.PrefillUnits)
		sum.TokenSteps = max(0, sum.TokenSteps+sign*l.TokenSteps)
		sum.Unreachable = max(0, sum.Unreachable+sign*l.Unreachable)
		if sum == (Load{}) {
			delete(s.Loads, endpoint)
			continue
		}
		s.Loads[endpoint] = sum
	}
	for name, p := range other.Pools {
		sum, found := s.Pools[name]
		if !found {
			sum.Ranks = map[structs.Rank]Rank{}
		}
		sum.SlotsPerSecond = max(0, sum.SlotsPerSecond+float64(sign)*p.SlotsPerSecond)
		for rank, r := range p.Ranks {
			total := sum.Ranks[rank]
			total.Waiting = max(0, total.Waiting+sign*r.Waiting)
			total.PlacedPerSecond = max(0, total.PlacedPerSecond+float64(sign)*r.PlacedPerSecond)
			sum.Ranks[rank] = total
		}
		s.Pools[name] = sum
	}
}

// clone returns a copy that shares nothing with the state.
func (s State) clone() State {
	c := State{Loads: make(map[uint32]Load, len(s.Loads)), Pools: make(map[structs.PoolName]Pool, len(s.Pools))}
	c.Add(s)
	return c
}

// tokenStep is the granularity of token counts. It is small compared with a
// prompt, which has a thousand tokens and more.
const tokenStep = 16

// TokenSteps converts a token count, rounded up.
func TokenSteps(tokens structs.Tokens) int64 { return int64((tokens + tokenStep - 1) / tokenStep) }

// Tokens returns the load's token count.
func (l Load) Tokens() structs.Tokens { return structs.Tokens(l.TokenSteps) * tokenStep }

func encodeState(s State, m *peerpb.Summary) {
	m.Loads = &peerpb.Loads{}
	for endpoint, l := range s.Loads {
		m.Loads.Endpoints = append(m.Loads.Endpoints, endpoint)
		m.Loads.Running = append(m.Loads.Running, uint32Of(l.Running))
		m.Loads.PrefillUnits = append(m.Loads.PrefillUnits, uint32Of(l.PrefillUnits))
		m.Loads.Tokens = append(m.Loads.Tokens, uint32Of(l.TokenSteps))
		m.Loads.Unreachable = append(m.Loads.Unreachable, uint32Of(l.Unreachable))
	}
	for name, p := range s.Pools {
		pool := &peerpb.Pool{Pool: string(name), SlotsPerSecond: p.SlotsPerSecond}
		for rank, r := range p.Ranks {
			pool.Ranks = append(pool.Ranks, &peerpb.Rank{Rank: int32(rank), Waiting: uint32Of(r.Waiting), PlacedPerSecond: r.PlacedPerSecond})
		}
		m.Pools = append(m.Pools, pool)
	}
}

func uint32Of(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// decodeState decodes a summary. Lists of unequal length, from a damaged
// message or a newer release, are truncated to the shortest.
func decodeState(m *peerpb.Summary) State {
	s := NewState()
	loads := m.GetLoads()
	count := min(len(loads.GetEndpoints()), len(loads.GetRunning()), len(loads.GetPrefillUnits()), len(loads.GetTokens()), len(loads.GetUnreachable()))
	for i := range count {
		s.Loads[loads.Endpoints[i]] = Load{Running: int64(loads.Running[i]), PrefillUnits: int64(loads.PrefillUnits[i]), TokenSteps: int64(loads.Tokens[i]), Unreachable: int64(loads.Unreachable[i])}
	}
	for _, p := range m.GetPools() {
		pool := Pool{SlotsPerSecond: finite(p.GetSlotsPerSecond()), Ranks: map[structs.Rank]Rank{}}
		for _, r := range p.GetRanks() {
			pool.Ranks[structs.Rank(r.GetRank())] = Rank{Waiting: int64(r.GetWaiting()), PlacedPerSecond: finite(r.GetPlacedPerSecond())}
		}
		s.Pools[structs.PoolName(p.GetPool())] = pool
	}
	return s
}

// finite replaces values that would spoil sums.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}
