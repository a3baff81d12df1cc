package experiment

import (
	"time"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
)

// engineKind holds the speeds and limits of one kind of engine.
type engineKind struct {
	Class string
	// Step is the time of one iteration of the batch, StepPerRequest what
	// each decoding request adds.
	Step           time.Duration
	StepPerRequest time.Duration
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// Batch is the most requests in the batch, KVTokens what they may hold.
	Batch       int
	KVTokens    structs.Tokens
	CacheBlocks int
}

// prefillChunk is the most prompt tokens of one iteration.
const prefillChunk structs.Tokens = 512

// engine is a continuous batching engine that admits work as it comes.
type engine struct {
	spec  engineSpec
	cache *blockCache

	alive bool
	// slow stretches every iteration; 1 is usual.
	slow    float64
	waiting []*job
	batch   []*job
	kv      structs.Tokens
	// stepping is set while an iteration runs; generation tells iterations
	// of different lives apart.
	stepping bool
	chunk    []*job
}

// job is one request on an engine.
type job struct {
	arrival *arrival
	started time.Time
	// uncached is the prompt left to prefill, prefilled what was done.
	uncached  structs.Tokens
	prefilled structs.Tokens
	cached    structs.Tokens
	// again is the part of the prefill that another healthy engine of the
	// pool had cached.
	again     structs.Tokens
	output    structs.Tokens
	reported  time.Time
	cancelled bool
	admitted  bool
	firstAt   time.Time
}

func (j *job) kvNeed() structs.Tokens { return j.arrival.prompt + j.arrival.output }

func newEngine(s engineSpec) *engine {
	return &engine{spec: s, cache: newBlockCache(s.kind.CacheBlocks), alive: true, slow: 1}
}

// admit moves waiting jobs into the batch in order of arrival.
func (e *engine) admit(pool []*engine) {
	for len(e.waiting) > 0 && len(e.batch) < e.spec.kind.Batch {
		j := e.waiting[0]
		if len(e.batch) > 0 && e.kv+j.kvNeed() > e.spec.kind.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kv += j.kvNeed()
		e.batch = append(e.batch, j)
		j.admitted = true
		e.lookUp(j, pool)
	}
}

// lookUp finds what the cache holds of a prompt, and what another healthy
// engine would have had.
func (e *engine) lookUp(j *job, pool []*engine) {
	j.cached = tokensOf(e.cache.match(j.arrival.blocks), j)
	j.uncached = max(j.arrival.prompt-j.cached, 1)
	best := j.cached
	for _, other := range pool {
		if other != e && other.alive && other.slow == 1 && other.spec.target == e.spec.target {
			best = max(best, tokensOf(other.cache.count(j.arrival.blocks), j))
		}
	}
	j.again = best - j.cached
}

func tokensOf(blocks int, j *job) structs.Tokens {
	return min(structs.Tokens(blocks)*prefix.BlockTokens, j.arrival.prompt-1)
}

// begin chooses the prompt work of one iteration and returns its duration.
func (e *engine) begin() time.Duration {
	budget := prefillChunk
	decoding := 0
	e.chunk = e.chunk[:0]
	for _, j := range e.batch {
		if j.uncached == 0 {
			decoding++
			continue
		}
		if budget > 0 {
			e.chunk = append(e.chunk, j)
			budget -= min(j.uncached, budget)
		}
	}
	k := &e.spec.kind
	seconds := float64(prefillChunk-budget) / k.PrefillRate
	step := k.Step + time.Duration(decoding)*k.StepPerRequest + time.Duration(seconds*float64(time.Second))
	return time.Duration(float64(step) * e.slow)
}

// end applies one iteration: decoding jobs gain a token, prompts advance.
// It calls advanced with each job that gained a token.
func (e *engine) end(advanced func(*job)) {
	for _, j := range e.batch {
		if j.uncached == 0 && !j.cancelled {
			j.output++
			advanced(j)
		}
	}
	budget := prefillChunk
	for _, j := range e.chunk {
		done := min(j.uncached, budget)
		budget -= done
		j.uncached -= done
		j.prefilled += done
		if j.uncached > 0 || j.cancelled {
			continue
		}
		e.cache.insert(j.arrival.blocks)
		j.output++
		advanced(j)
	}
	e.removeEnded()
}

func (e *engine) removeEnded() {
	kept := e.batch[:0]
	for _, j := range e.batch {
		if j.cancelled || j.output >= j.arrival.output {
			e.kv -= j.kvNeed()
			continue
		}
		kept = append(kept, j)
	}
	clear(e.batch[len(kept):])
	e.batch = kept
}

// cancel takes a job out at the end of the iteration, or of the line.
func (e *engine) cancel(j *job) {
	j.cancelled = true
	if j.admitted {
		return
	}
	for i, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (e *engine) idle() bool { return len(e.batch) == 0 && len(e.waiting) == 0 }
