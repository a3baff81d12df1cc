package engine

import (
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// batch admits runs in arrival order, within maxRuns and maxTokens.
type batch struct {
	maxRuns     int
	maxTokens   structs.Tokens
	loadHistory *loadHistory

	mu      sync.Mutex
	running map[*run]struct{}
	waiting []*run
	// tokens is the sum of reservedTokens over the running runs.
	tokens structs.Tokens
}

func newBatch(o Options) *batch {
	return &batch{
		maxRuns:     o.MaxBatch,
		maxTokens:   o.TokenCapacity,
		loadHistory: newLoadHistory(scaleDuration(o.LoadLag, o.Speedup)),
		running:     make(map[*run]struct{}),
	}
}

func (b *batch) add(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, r)
	b.admitLocked()
}

// remove removes a running or waiting run.
func (b *batch) remove(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.running[r]; ok {
		delete(b.running, r)
		b.tokens -= r.reservedTokens
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
		b.tokens += r.reservedTokens
		close(r.admitted)
	}
	b.loadHistory.record(loadSample{
		running: len(b.running),
		waiting: len(b.waiting),
		tokens:  b.tokens,
	})
}

// fitsLocked reports whether a run may start. A run that is larger than the
// token capacity may run alone.
func (b *batch) fitsLocked(r *run) bool {
	if len(b.running) == 0 {
		return true
	}
	return len(b.running) < b.maxRuns && b.tokens+r.reservedTokens <= b.maxTokens
}

// decodeShare returns the fraction of the decode rate that each run gets at
// the current batch size. The slowdown is the fraction lost in a full batch.
func (b *batch) decodeShare(slowdown float64) float64 {
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

// loadHistory retains the samples needed to report the load as of lag ago.
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
	h.trimLocked(s.at.Add(-h.lag))
}

// lagged returns the load as of lag ago.
func (h *loadHistory) lagged() loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trimLocked(time.Now().Add(-h.lag))
	return h.samples[0]
}

// trimLocked drops the samples that precede the latest one at or before the
// given time.
func (h *loadHistory) trimLocked(until time.Time) {
	oldest := 0
	for oldest+1 < len(h.samples) && !h.samples[oldest+1].at.After(until) {
		oldest++
	}
	h.samples = h.samples[oldest:]
}

func scaleDuration(d time.Duration, speedup float64) time.Duration {
	return time.Duration(float64(d) / speedup)
}
