package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
)

// engineKind defines the speed and the limits of one kind of engine.
type engineKind struct {
	Class string
	// StepTime is the base duration of an iteration; each decoding request
	// adds StepTimePerRequest.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// MaxBatch limits the requests in the batch, KVTokens the tokens in their
	// KV cache. A request alone in the batch may exceed KVTokens.
	MaxBatch    int
	KVTokens    structs.Tokens
	CacheBlocks int
}

// prefillChunkTokens is the maximum prompt tokens prefilled in one iteration.
const prefillChunkTokens structs.Tokens = 512

// engine models an inference engine with continuous batching and chunked
// prefill.
type engine struct {
	spec  engineSpec
	cache *blockCache

	alive bool
	// slowdown multiplies the duration of every iteration and call; a healthy
	// engine has 1.
	slowdown float64
	waiting  []*job
	batch    []*job
	// kvTokens is the KV cache reserved for the prompts and outputs of the batch.
	kvTokens structs.Tokens
	// iterating is set while an iteration runs; prefilling holds the jobs
	// whose prompts it advances.
	iterating  bool
	prefilling []*job
}

// job is a request on an engine.
type job struct {
	arrival *arrival
	started time.Time
	// remainingPrefill is the prompt tokens still to prefill, prefilled those
	// already prefilled.
	remainingPrefill structs.Tokens
	prefilled        structs.Tokens
	cached           structs.Tokens
	// redundant is the part of the prefill that another healthy engine of the
	// same target had cached.
	redundant    structs.Tokens
	output       structs.Tokens
	lastReport   time.Time
	cancelled    bool
	admitted     bool
	firstTokenAt time.Time
}

func (j *job) kvDemand() structs.Tokens { return j.arrival.prompt + j.arrival.output }

func newEngine(spec engineSpec) *engine {
	return &engine{spec: spec, cache: newBlockCache(spec.kind.CacheBlocks), alive: true, slowdown: 1}
}

// admit moves waiting jobs into the batch in order of arrival.
func (e *engine) admit(pool []*engine) {
	for len(e.waiting) > 0 && len(e.batch) < e.spec.kind.MaxBatch {
		j := e.waiting[0]
		if len(e.batch) > 0 && e.kvTokens+j.kvDemand() > e.spec.kind.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kvTokens += j.kvDemand()
		e.batch = append(e.batch, j)
		j.admitted = true
		e.lookUpPrefix(j, pool)
	}
}

// lookUpPrefix sets the cached, remaining and redundant tokens of a job from
// this engine's cache and those of the other healthy engines of its target.
func (e *engine) lookUpPrefix(j *job, pool []*engine) {
	j.cached = cachedTokens(e.cache.touchPrefix(j.arrival.blocks), j)
	j.remainingPrefill = max(j.arrival.prompt-j.cached, 1)
	maxCached := j.cached
	for _, other := range pool {
		if other != e && other.alive && other.slowdown == 1 && other.spec.target == e.spec.target {
			maxCached = max(maxCached, cachedTokens(other.cache.cachedPrefix(j.arrival.blocks), j))
		}
	}
	j.redundant = maxCached - j.cached
}

// cachedTokens returns the prompt tokens in a number of cached blocks. At least
// one token of the prompt remains to be prefilled.
func cachedTokens(blocks int, j *job) structs.Tokens {
	return min(structs.Tokens(blocks)*prefix.BlockTokens, j.arrival.prompt-1)
}

// startIteration selects the prompts to prefill in the next iteration and
// returns the iteration's duration.
func (e *engine) startIteration() time.Duration {
	budget := prefillChunkTokens
	decoding := 0
	e.prefilling = e.prefilling[:0]
	for _, j := range e.batch {
		if j.remainingPrefill == 0 {
			decoding++
			continue
		}
		if budget > 0 {
			e.prefilling = append(e.prefilling, j)
			budget -= min(j.remainingPrefill, budget)
		}
	}
	kind := &e.spec.kind
	seconds := float64(prefillChunkTokens-budget) / kind.PrefillRate
	step := kind.StepTime + time.Duration(decoding)*kind.StepTimePerRequest + time.Duration(seconds*float64(time.Second))
	return time.Duration(float64(step) * e.slowdown)
}

// finishIteration applies one iteration: it adds a token to each decoding job
// and advances the selected prompts. It calls onToken for each job that gained
// a token.
func (e *engine) finishIteration(onToken func(*job)) {
	for _, j := range e.batch {
		if j.remainingPrefill == 0 && !j.cancelled {
			j.output++
			onToken(j)
		}
	}
	budget := prefillChunkTokens
	for _, j := range e.prefilling {
		done := min(j.remainingPrefill, budget)
		budget -= done
		j.remainingPrefill -= done
		j.prefilled += done
		if j.remainingPrefill > 0 || j.cancelled {
			continue
		}
		e.cache.insert(j.arrival.blocks)
		j.output++
		onToken(j)
	}
	e.removeCompleted()
}

// removeCompleted removes finished and cancelled jobs from the batch.
func (e *engine) removeCompleted() {
	remaining := e.batch[:0]
	for _, j := range e.batch {
		if j.cancelled || j.output >= j.arrival.output {
			e.kvTokens -= j.kvDemand()
			continue
		}
		remaining = append(remaining, j)
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
}

// cancel removes a waiting job immediately; an admitted one leaves the batch
// at the end of the iteration.
func (e *engine) cancel(j *job) {
	j.cancelled = true
	if j.admitted {
		return
	}
	for i, waiting := range e.waiting {
		if waiting == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (e *engine) idle() bool { return len(e.batch) == 0 && len(e.waiting) == 0 }
