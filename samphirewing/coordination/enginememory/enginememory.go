// Package enginememory bounds the memory that the requests of all daemons take at one
// engine.
//
// It handles the load of requests with long prompts or outputs that several daemons
// send to the same engine: an engine whose requests exceed its memory ends, and with it
// all streams in progress there. A request counts with its prompt and the most output
// that it may get, from when it is sent, whether the engine runs or queues it. The
// daemon knows its own requests exactly and those of the others as of their last
// summaries; a reserve covers what they have sent since.
package enginememory

import (
	"math"
	"slices"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// usableShare is the part of an engine's memory that requests may take. The rest
	// absorbs prompts that the engine counts otherwise than their callers.
	usableShare = 0.92
	// reserveDeviations is the number of standard deviations of unreported work that
	// the reserve covers.
	reserveDeviations = 3
	// MinConcurrent is the least number of requests that are assumed to be sent at the
	// same time, since a burst begins before rates show it.
	MinConcurrent = 4
	// sizeWeight is the weight of a request in the moving averages of sizes.
	sizeWeight = 0.02
	// minSizes is the number of requests after which the averages are used.
	minSizes = 20
)

// Size returns the memory that a request may take. expected and most are its expected
// output and the most that it may get; most is zero if unknown.
func Size(prompt, expected, most structs.Tokens) structs.Tokens { return prompt + max(expected, most) }

// Sizes are moving averages over the requests of a pool.
type Sizes struct {
	mean, square float64
	count        int
}

// Observe records the size of a request that is sent.
func (s *Sizes) Observe(size structs.Tokens) {
	v := float64(size)
	s.count++
	if s.mean == 0 {
		s.mean, s.square = v, v*v
		return
	}
	s.mean += sizeWeight * (v - s.mean)
	s.square += sizeWeight * (v*v - s.square)
}

// Reserve returns the memory to keep free at an engine for requests that other daemons
// have sent there and that no summary shows yet, given their expected number. Their total
// has the mean and the variance of a compound Poisson distribution. Before the sizes are
// known it is all of the capacity.
func (s *Sizes) Reserve(unreported float64, capacity structs.Tokens) structs.Tokens {
	if unreported > 0 && s.count < minSizes {
		return capacity
	}
	return structs.Tokens(unreported*s.mean + reserveDeviations*math.Sqrt(unreported*s.square))
}

// Concurrent returns how many requests may be sent to an engine at the same time without
// being seen, this one included, given the expected number of the others.
func Concurrent(daemons int, unreported float64) int {
	n := 1 + int(math.Ceil(unreported+reserveDeviations*math.Sqrt(unreported)))
	return max(1, min(max(n, MinConcurrent), daemons))
}

// Engine is the memory of one engine as a daemon sees it.
type Engine struct {
	// Capacity is zero if no memory is configured.
	Capacity structs.Tokens
	Used     structs.Tokens
	// Concurrent is the result of that function. Reserve is kept for all requests that
	// others may have sent unseen, Unassigned for those of them that any daemon may send.
	Concurrent int
	Reserve    structs.Tokens
	Unassigned structs.Tokens
	// Holders is the number of daemons to which the engine is assigned if this daemon is
	// one of them, or zero.
	Holders int
}

// Fits reports whether an engine may be sent a request of a size. Any daemon may send one
// that fits with what the others may have sent unseen, or of which as many fit as daemons
// may send at once, since all see the same engine as free at the same time. Those for
// which there is less room are sent by the daemons to which the engine is assigned. An
// engine without known requests takes any that it can hold from them, since it could not
// be served otherwise.
func Fits(e Engine, size structs.Tokens) bool {
	if e.Capacity <= 0 {
		return true
	}
	limit := usable(e.Capacity)
	if e.Used+min(size+e.Reserve, structs.Tokens(max(e.Concurrent, 1))*size) <= limit {
		return true
	}
	if e.Holders == 0 {
		return false
	}
	if e.Used == 0 {
		return size <= limit
	}
	return e.Used+structs.Tokens(e.Holders)*size+e.Unassigned <= limit
}

func usable(capacity structs.Tokens) structs.Tokens {
	return structs.Tokens(usableShare * float64(capacity))
}

// Assign assigns engines to daemons, so that each daemon has at least one and each
// engine as few daemons as possible. All daemons that know the same engines and daemons
// get the same result. It returns the number of daemons of each engine that is assigned
// to self. Both lists are sorted in place.
func Assign(engines []structs.EndpointName, daemons []instance.ID, self instance.ID) map[structs.EndpointName]int {
	slices.Sort(engines)
	slices.Sort(daemons)
	assigned := map[structs.EndpointName]int{}
	index, found := slices.BinarySearch(daemons, self)
	if !found || len(engines) == 0 {
		return assigned
	}
	if len(daemons) > len(engines) {
		i := index % len(engines)
		assigned[engines[i]] = (len(daemons)-i-1)/len(engines) + 1
		return assigned
	}
	for i := index; i < len(engines); i += len(daemons) {
		assigned[engines[i]] = 1
	}
	return assigned
}

// LargerThanAny reports whether no engine can hold a request of a size.
func LargerThanAny(capacity, size structs.Tokens) bool {
	return capacity > 0 && size > usable(capacity)
}
