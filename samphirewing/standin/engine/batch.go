package engine

import (
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// batch admits runs in their order of arrival while there is a place and the
// tokens fit.
type batch struct {
	maxRuns   int
	maxTokens structs.Tokens
	loads     *loadHistory

	mu      sync.Mutex
	running map[*run]struct{}
	waiting []*run
	// tokens is the sum of the weights of the running.
	tokens structs.Tokens
}

func newBatch(o Options) *batch {
	return &batch{
		maxRuns:   o.MaxBatch,
		maxTokens: o.TokenCapacity,
		loads:     newLoadHistory(scaled(o.LoadLag, o.Speedup)),
		running:   make(map[*run]struct{}),
	}
}

func (b *batch) enter(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, r)
	b.admitLocked()
}

// leave takes a run out, whether it was running or waiting.
func (b *batch) leave(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.running[r]; ok {
		delete(b.running, r)
		b.tokens -= r.weight
	}
	for i, w := range b.waiting {
		if w == r {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	b.admitLocked()
}

func (b *batch) admitLocked() {
	for len(b.waiting) > 0 && b.fitsLocked(b.waiting[0]) {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running[r] = struct{}{}
		b.tokens += r.weight
		close(r.admitted)
	}
	b.loads.record(loadSample{
		running: len(b.running),
		waiting: len(b.waiting),
		tokens:  b.tokens,
	})
}

// fitsLocked lets a run that is larger than the capacity in when it is alone.
func (b *batch) fitsLocked(r *run) bool {
	if len(b.running) == 0 {
		return true
	}
	return len(b.running) < b.maxRuns && b.tokens+r.weight <= b.maxTokens
}

// share returns the part of the decode rate that is left at the present size
// of the batch, when slowdown of it is lost at full size.
func (b *batch) share(slowdown float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 1 - slowdown*float64(len(b.running))/float64(b.maxRuns+1)
}

// loadSample is the load at one moment.
type loadSample struct {
	at      time.Time
	running int
	waiting int
	tokens  structs.Tokens
}

// loadHistory keeps the samples that a report of the given lag may need.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

func newLoadHistory(lag time.Duration) *loadHistory {
	return &loadHistory{lag: lag, samples: []loadSample{{at: time.Now()}}}
}

func (h *loadHistory) record(s loadSample) {
	s.at = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, s)
	h.dropLocked(s.at.Add(-h.lag))
}

// report returns the load as it was one lag ago.
func (h *loadHistory) report() loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropLocked(time.Now().Add(-h.lag))
	return h.samples[0]
}

// dropLocked drops the samples before the last one that is not after the
// given time.
func (h *loadHistory) dropLocked(until time.Time) {
	keep := 0
	for keep+1 < len(h.samples) && !h.samples[keep+1].at.After(until) {
		keep++
	}
	h.samples = h.samples[keep:]
}

func scaled(d time.Duration, speedup float64) time.Duration {
	return time.Duration(float64(d) / speedup)
}
