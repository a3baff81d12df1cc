package engine

import (
	"context"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

// run is the generation for one attempt. It continues when its connection is
// lost, until it finishes or is cancelled.
type run struct {
	attempt      enginewire.Attempt
	answer       string
	totalTokens  structs.Tokens
	finishReason string
	promptTokens structs.Tokens
	blocks       []structs.PrefixHash
	// reservedTokens is the run's share of the token capacity: prompt tokens
	// plus MaxTokens.
	reservedTokens structs.Tokens
	ctx            context.Context
	cancel         context.CancelFunc
	// admitted is closed when the batch admits the run.
	admitted chan struct{}

	mu           sync.Mutex
	cachedTokens structs.Tokens
	// frameEnds holds, for each frame, the number of answer tokens up to its
	// end.
	frameEnds []structs.Tokens
	// failure is the error that ended the run early, if any.
	failure string
	// changed is closed and replaced at every new frame or failure.
	changed chan struct{}
}

func newRun(g enginewire.Generate) *run {
	answer := Answer(g.Model, g.Prompt, int64(g.MaxTokens), g.Seed)
	ctx, cancel := context.WithCancel(context.Background())
	prompt := prefix.CountTokens(g.Prompt)
	return &run{
		attempt:        g.Attempt,
		answer:         answer,
		totalTokens:    prefix.CountTokens(answer),
		finishReason:   finishReason(answer, g.MaxTokens),
		promptTokens:   prompt,
		blocks:         prefix.Hashes(g.Model, g.Prompt),
		reservedTokens: prompt + g.MaxTokens,
		ctx:            ctx,
		cancel:         cancel,
		admitted:       make(chan struct{}),
		changed:        make(chan struct{}),
	}
}

// producedTokens returns the number of tokens in all frames so far. The caller
// holds r.mu.
func (r *run) producedTokens() structs.Tokens {
	if len(r.frameEnds) == 0 {
		return 0
	}
	return r.frameEnds[len(r.frameEnds)-1]
}

// addFrame appends a frame that ends after the given number of answer tokens,
// and returns the number of frames.
func (r *run) addFrame(end structs.Tokens) (frames int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frameEnds = append(r.frameEnds, end)
	r.notifyLocked()
	return len(r.frameEnds)
}

func (r *run) fail(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == "" && r.producedTokens() < r.totalTokens {
		r.failure = message
	}
	r.notifyLocked()
}

func (r *run) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// snapshot is the progress of a run at one moment.
type snapshot struct {
	frameCount uint64
	failure    string
	changed    <-chan struct{}
}

func (r *run) snapshot() snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return snapshot{frameCount: uint64(len(r.frameEnds)), failure: r.failure, changed: r.changed}
}

// frame returns the frame with a sequence number, which must exist.
func (r *run) frame(sequence uint64) enginewire.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	var from structs.Tokens
	if sequence > 1 {
		from = r.frameEnds[sequence-2]
	}
	end := r.frameEnds[sequence-1]
	f := enginewire.Frame{
		Attempt:  r.attempt,
		Sequence: sequence,
		Text:     answerText(r.answer, from, end-from),
		Tokens:   end - from,
	}
	if end == r.totalTokens {
		f.Last = true
		f.FinishReason = r.finishReason
		f.PromptTokens = r.promptTokens
		f.CachedTokens = r.cachedTokens
		f.OutputTokens = r.totalTokens
	}
	return f
}

func (r *run) errorFrame(message string) enginewire.Frame {
	return enginewire.Frame{Attempt: r.attempt, Error: message}
}

// execute runs a generation from admission to its end. Only it adds frames.
func (s *Server) execute(r *run) {
	defer s.batch.remove(r)
	select {
	case <-r.admitted:
	case <-r.ctx.Done():
		r.fail(messageCancelled)
		return
	}
	if !s.prefill(r) || !s.decode(r) {
		r.fail(messageCancelled)
	}
}

const (
	messageCancelled = "cancelled"
	messageFault     = "failed by a fault switch"
)

// prefill processes the uncached part of the prompt. It returns false if the
// run was cancelled.
func (s *Server) prefill(r *run) bool {
	cached := s.cache.lookup(r.blocks)
	r.mu.Lock()
	r.cachedTokens = cached
	r.mu.Unlock()
	uncached := r.promptTokens - cached
	if !s.waitUntil(r, s.prefillUnit.reserve(s.workDuration(uncached, s.options.PrefillRate))) {
		return false
	}
	s.stats.addPrefill(uncached, cached)
	s.events.publish(s.cache.store(r.blocks))
	return true
}

// decode produces the answer at the engine's decode rate. It returns false if
// the run was cancelled.
func (s *Server) decode(r *run) bool {
	next := time.Now()
	for done := structs.Tokens(0); done < r.totalTokens; {
		if !s.waitWhileHung(r) {
			return false
		}
		step, wait := s.decodeStep()
		next = next.Add(wait)
		if !s.waitUntil(r, next) {
			return false
		}
		done = min(done+step, r.totalTokens)
		frames := r.addFrame(done)
		if limit := s.Faults().FailAfterFrames; limit > 0 && frames >= limit {
			r.fail(messageFault)
			return true
		}
	}
	return true
}

const (
	// minFrameInterval is the minimum time between two frames of an answer. At
	// higher rates a frame carries several tokens.
	minFrameInterval = 2 * time.Millisecond
	// unlimitedFrameTokens is the frame size if the decode rate is unlimited.
	unlimitedFrameTokens = 16
)

// decodeStep returns the number of tokens in the next frame and the time to
// decode them.
func (s *Server) decodeStep() (structs.Tokens, time.Duration) {
	if s.options.DecodeRate < 0 {
		return unlimitedFrameTokens, 0
	}
	perToken := s.workDuration(1, s.options.DecodeRate*s.batch.decodeShare(s.options.BatchSlowdown))
	if perToken >= minFrameInterval {
		return 1, perToken
	}
	step := structs.Tokens(minFrameInterval/max(perToken, 1)) + 1
	return step, perToken * time.Duration(step)
}

// workDuration returns the time to process tokens at a rate in tokens per
// second. It is zero for a negative rate.
func (s *Server) workDuration(tokens structs.Tokens, rate float64) time.Duration {
	if rate < 0 {
		return 0
	}
	seconds := float64(tokens) / rate / s.options.Speedup
	if factor := s.Faults().SlowFactor; factor > 0 {
		seconds *= factor
	}
	return time.Duration(seconds * float64(time.Second))
}

// waitUntil waits until a time. It returns false if the run was cancelled.
func (s *Server) waitUntil(r *run, until time.Time) bool {
	wait := time.Until(until)
	if wait <= 0 {
		return r.ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// waitWhileHung waits while the Hang switch is set. It returns false if the
// run was cancelled.
func (s *Server) waitWhileHung(r *run) bool {
	for {
		faults, changed := s.WatchFaults()
		if !faults.Hang {
			return true
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return false
		}
	}
}

// prefillUnit is the engine's prefill unit. It processes one prompt at a time,
// in order of reservation.
type prefillUnit struct {
	mu     sync.Mutex
	freeAt time.Time
}

// reserve schedules work of the given duration and returns its end time.
func (p *prefillUnit) reserve(work time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(work)
	return p.freeAt
}
