package engine

import (
	"context"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

// run is one generation. It goes on when its connection is lost, until it
// ends or is cancelled.
type run struct {
	attempt enginewire.Attempt
	answer  string
	total   structs.Tokens
	finish  string
	prompt  structs.Tokens
	blocks  []structs.PrefixHash
	// weight is what the run takes of the token capacity.
	weight structs.Tokens
	ctx    context.Context
	cancel context.CancelFunc
	// admitted is closed when the run gets its place in the batch.
	admitted chan struct{}

	mu     sync.Mutex
	cached structs.Tokens
	// ends holds, for each frame, the number of tokens up to its end.
	ends []structs.Tokens
	// failure ends the run early when it isn't empty.
	failure string
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newRun(g enginewire.Generate) *run {
	answer := Answer(g.Model, g.Prompt, int64(g.MaxTokens), g.Seed)
	ctx, cancel := context.WithCancel(context.Background())
	prompt := prefix.CountTokens(g.Prompt)
	return &run{
		attempt:  g.Attempt,
		answer:   answer,
		total:    prefix.CountTokens(answer),
		finish:   finishReason(answer, g.MaxTokens),
		prompt:   prompt,
		blocks:   prefix.Hashes(g.Model, g.Prompt),
		weight:   prompt + g.MaxTokens,
		ctx:      ctx,
		cancel:   cancel,
		admitted: make(chan struct{}),
		changed:  make(chan struct{}),
	}
}

// produced returns the tokens of all frames so far.
func (r *run) produced() structs.Tokens {
	if len(r.ends) == 0 {
		return 0
	}
	return r.ends[len(r.ends)-1]
}

// add appends a frame that ends after the given token.
func (r *run) add(end structs.Tokens) (frames int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, end)
	r.wakeLocked()
	return len(r.ends)
}

func (r *run) fail(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == "" && r.produced() < r.total {
		r.failure = message
	}
	r.wakeLocked()
}

func (r *run) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// view is what a connection sees of a run.
type view struct {
	frames  uint64
	failure string
	changed <-chan struct{}
}

func (r *run) view() view {
	r.mu.Lock()
	defer r.mu.Unlock()
	return view{frames: uint64(len(r.ends)), failure: r.failure, changed: r.changed}
}

// frame returns the frame with a sequence number that exists.
func (r *run) frame(sequence uint64) enginewire.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	var from structs.Tokens
	if sequence > 1 {
		from = r.ends[sequence-2]
	}
	end := r.ends[sequence-1]
	f := enginewire.Frame{
		Attempt:  r.attempt,
		Sequence: sequence,
		Text:     answerTokensOf(r.answer, from, end-from),
		Tokens:   end - from,
	}
	if end == r.total {
		f.Last = true
		f.FinishReason = r.finish
		f.PromptTokens = r.prompt
		f.CachedTokens = r.cached
		f.OutputTokens = r.total
	}
	return f
}

func (r *run) errorFrame(message string) enginewire.Frame {
	return enginewire.Frame{Attempt: r.attempt, Error: message}
}

// produce carries a run out. It owns the run's progress.
func (s *Server) produce(r *run) {
	defer s.batch.leave(r)
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

// prefill works through the part of the prompt that isn't cached. It returns
// false when the run was cancelled.
func (s *Server) prefill(r *run) bool {
	cached := s.cache.lookup(r.blocks)
	r.mu.Lock()
	r.cached = cached
	r.mu.Unlock()
	fresh := r.prompt - cached
	if !s.pause(r, s.prefiller.reserve(s.work(fresh, s.options.PrefillRate))) {
		return false
	}
	s.stats.addPrefill(fresh, cached)
	s.events.publish(s.cache.store(r.blocks))
	return true
}

// decode produces the answer at the engine's pace.
func (s *Server) decode(r *run) bool {
	next := time.Now()
	for done := structs.Tokens(0); done < r.total; {
		if !s.waitWhileHung(r) {
			return false
		}
		step, wait := s.decodeStep()
		next = next.Add(wait)
		if !s.pause(r, next) {
			return false
		}
		done = min(done+step, r.total)
		frames := r.add(done)
		if limit := s.Faults().FailAfterFrames; limit > 0 && frames >= limit {
			r.fail(messageFault)
			return true
		}
	}
	return true
}

const (
	// minStep is the shortest time between two frames of an answer; faster
	// answers carry several tokens a frame.
	minStep = 2 * time.Millisecond
	// unlimitedStep is the size of a frame when decoding takes no time.
	unlimitedStep = 16
)

// decodeStep returns how many tokens come next and how long they take.
func (s *Server) decodeStep() (structs.Tokens, time.Duration) {
	if s.options.DecodeRate < 0 {
		return unlimitedStep, 0
	}
	perToken := s.work(1, s.options.DecodeRate*s.batch.share(s.options.BatchSlowdown))
	if perToken >= minStep {
		return 1, perToken
	}
	step := structs.Tokens(minStep/max(perToken, 1)) + 1
	return step, perToken * time.Duration(step)
}

// work returns how long tokens take at a rate in tokens a second. A negative
// rate takes no time.
func (s *Server) work(tokens structs.Tokens, rate float64) time.Duration {
	if rate < 0 {
		return 0
	}
	seconds := float64(tokens) / rate / s.options.Speedup
	if slow := s.Faults().SlowFactor; slow > 0 {
		seconds *= slow
	}
	return time.Duration(seconds * float64(time.Second))
}

// pause waits until a time, and returns false when the run was cancelled.
func (s *Server) pause(r *run, until time.Time) bool {
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

// waitWhileHung returns false when the run was cancelled.
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

// prefiller is the engine's prefill unit, which works on one prompt at a time.
type prefiller struct {
	mu   sync.Mutex
	free time.Time
}

// reserve returns when work of the given length will be done.
func (p *prefiller) reserve(work time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(work)
	return p.free
}
