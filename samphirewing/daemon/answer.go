package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// answer accumulates the answer to one request. The fields below mu are guarded
// by it.
//
// Invariants: chunks[i].Sequence == i+1; finished is set once, and no chunk is
// appended after that.
type answer struct {
	id             structs.RequestID
	organisation   structs.OrganisationName
	submission     callerapi.Submission
	onAbandoned    func(structs.RequestID)
	acceptedAt     time.Time
	spans          requestSpans
	reconnectGrace time.Duration
	// memory counts the chunks until the answer is finished and nobody reads it. The
	// answer store bounds what is retained after that.
	memory *memorybudget.Account

	mu         sync.Mutex
	changed    chan struct{}
	chunks     []callerapi.Chunk
	textSize   int
	counted    int64
	state      callerapi.RequestState
	finished   bool
	finishedAt time.Time
	result     callerapi.Result
	readers    int
	graceTimer *time.Timer
}

func newAnswer(id structs.RequestID, s callerapi.Submission, reconnectGrace time.Duration, onAbandoned func(structs.RequestID)) *answer {
	return &answer{
		id:             id,
		organisation:   s.Organisation,
		submission:     s,
		onAbandoned:    onAbandoned,
		reconnectGrace: reconnectGrace,
		changed:        make(chan struct{}),
		state:          callerapi.StateWaiting,
	}
}

// ID returns the request's id.
func (a *answer) ID() structs.RequestID { return a.id }

// TraceParent returns the trace context of the entry's span, or an empty string.
func (a *answer) TraceParent() string { return a.submission.TraceParent }

// State returns the current state of the request.
func (a *answer) State() callerapi.RequestState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Next blocks until there are chunks after the given sequence number or the
// answer is finished. The second result reports whether it is finished.
func (a *answer) Next(ctx context.Context, after uint64) ([]callerapi.Chunk, bool, error) {
	for {
		chunks, finished, changed := a.chunksAfter(after)
		if len(chunks) > 0 || finished {
			return chunks, finished, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (a *answer) chunksAfter(after uint64) ([]callerapi.Chunk, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var chunks []callerapi.Chunk
	if after < uint64(len(a.chunks)) {
		chunks = a.chunks[after:len(a.chunks):len(a.chunks)]
	}
	return chunks, a.finished, a.changed
}

// Result returns the outcome of the request and the figures recorded so far.
func (a *answer) Result() callerapi.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

// Attach registers a connection that reads the answer and cancels a running
// reconnect grace.
func (a *answer) Attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.graceTimer != nil {
		a.graceTimer.Stop()
		a.graceTimer = nil
	}
}

// Detach removes a reading connection. When the last one detaches before the
// answer is finished, the reconnect grace starts.
func (a *answer) Detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.releaseLocked()
	if a.readers > 0 || a.finished {
		return
	}
	a.graceTimer = time.AfterFunc(a.reconnectGrace, a.graceExpired)
}

// graceExpired reports the request as abandoned unless a connection has
// attached meanwhile.
func (a *answer) graceExpired() {
	a.mu.Lock()
	abandoned := a.readers == 0 && !a.finished
	a.mu.Unlock()
	if abandoned {
		a.onAbandoned(a.id)
	}
}

// markRunning records that the request was dispatched.
func (a *answer) markRunning() { a.setState(callerapi.StateRunning) }

// markWaiting records that the request is queued again without having been sent.
func (a *answer) markWaiting() { a.setState(callerapi.StateWaiting) }

func (a *answer) setState(s callerapi.RequestState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.finished {
		a.state = s
	}
}

// appendChunk appends text under the next sequence number.
func (a *answer) appendChunk(text string, tokens structs.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.chunks = append(a.chunks, callerapi.Chunk{
		Sequence: uint64(len(a.chunks)) + 1,
		Text:     text,
		Tokens:   tokens,
	})
	a.textSize += len(text)
	size := int64(len(text)) + chunkBytes
	a.counted += size
	a.memory.Count(memorybudget.Response, size)
	a.notifyReaders()
}

// finish sets the result and finishes the answer. Later calls have no effect.
func (a *answer) finish(r callerapi.Result, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	a.finishedAt = now
	a.result = r
	a.state = callerapi.StateEnded
	// Free the prompt and the body; only the dispatch needs them.
	a.submission.Prompt = ""
	a.submission.Body = nil
	if a.graceTimer != nil {
		a.graceTimer.Stop()
	}
	a.releaseLocked()
	a.notifyReaders()
}

// chunkBytes is the memory of a chunk beside its text, with what the allocator adds.
const chunkBytes = 64

// releaseLocked returns the memory of the chunks if they are only retained.
func (a *answer) releaseLocked() {
	if a.finished && a.readers == 0 {
		a.memory.Release(memorybudget.Response, a.counted)
		a.counted = 0
	}
}

func (a *answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// size returns the bytes of text retained: chunks, prompt and body.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.textSize + len(a.submission.Prompt) + len(a.submission.Body)
}

// updateResult applies an update to the result unless the answer is finished.
func (a *answer) updateResult(update func(*callerapi.Result)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.finished {
		update(&a.result)
	}
}
