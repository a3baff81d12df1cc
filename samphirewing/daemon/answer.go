package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// answer is the growing answer of one request. All fields below mu are guarded
// by it.
//
// Invariants: chunks[i].Sequence == i+1; ended is set once and no chunk is
// added after it.
type answer struct {
	id           structs.RequestID
	organisation structs.OrganisationName
	submission   callerapi.Submission
	left         func(structs.RequestID)
	accepted     time.Time
	spans        requestSpans
	grace        time.Duration

	mu       sync.Mutex
	changed  chan struct{}
	chunks   []callerapi.Chunk
	textSize int
	state    callerapi.RequestState
	ended    bool
	endedAt  time.Time
	result   callerapi.Result
	readers  int
	leaving  *time.Timer
}

func newAnswer(id structs.RequestID, s callerapi.Submission, grace time.Duration, left func(structs.RequestID)) *answer {
	return &answer{
		id:           id,
		organisation: s.Organisation,
		submission:   s,
		left:         left,
		grace:        grace,
		changed:      make(chan struct{}),
		state:        callerapi.StateWaiting,
	}
}

// ID returns the request's id.
func (a *answer) ID() structs.RequestID { return a.id }

// TraceParent returns the trace context of the entry's span, or empty.
func (a *answer) TraceParent() string { return a.submission.TraceParent }

// State returns where the request stands.
func (a *answer) State() callerapi.RequestState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Next blocks until there is something after the sequence number, or the end.
func (a *answer) Next(ctx context.Context, after uint64) ([]callerapi.Chunk, bool, error) {
	for {
		chunks, ended, changed := a.since(after)
		if len(chunks) > 0 || ended {
			return chunks, ended, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (a *answer) since(after uint64) ([]callerapi.Chunk, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var chunks []callerapi.Chunk
	if after < uint64(len(a.chunks)) {
		chunks = a.chunks[after:len(a.chunks):len(a.chunks)]
	}
	return chunks, a.ended, a.changed
}

// Result returns how the request ended.
func (a *answer) Result() callerapi.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

// Attach counts a connection that reads the answer.
func (a *answer) Attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.leaving != nil {
		a.leaving.Stop()
		a.leaving = nil
	}
}

// Detach ends a connection's reading; the last one starts the reconnect grace.
func (a *answer) Detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 || a.ended {
		return
	}
	a.leaving = time.AfterFunc(a.grace, a.callerLeft)
}

func (a *answer) callerLeft() {
	a.mu.Lock()
	gone := a.readers == 0 && !a.ended
	a.mu.Unlock()
	if gone {
		a.left(a.id)
	}
}

// running marks the request as dispatched.
func (a *answer) running() { a.setState(callerapi.StateRunning) }

// waitingAgain marks the request as returned to the queue unsent.
func (a *answer) waitingAgain() { a.setState(callerapi.StateWaiting) }

func (a *answer) setState(s callerapi.RequestState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.state = s
	}
}

// add appends text with the next sequence number.
func (a *answer) add(text string, tokens structs.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.chunks = append(a.chunks, callerapi.Chunk{
		Sequence: uint64(len(a.chunks)) + 1,
		Text:     text,
		Tokens:   tokens,
	})
	a.textSize += len(text)
	a.wake()
}

// finish ends the answer; a later call changes nothing.
func (a *answer) finish(r callerapi.Result, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.endedAt = now
	a.result = r
	a.state = callerapi.StateEnded
	// The prompt is only needed until the dispatch has ended.
	a.submission.Prompt = ""
	a.submission.Body = nil
	if a.leaving != nil {
		a.leaving.Stop()
	}
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// size returns the bytes of text that the answer holds.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.textSize + len(a.submission.Prompt) + len(a.submission.Body)
}

// record keeps the parts of the result that the dispatch learns.
func (a *answer) record(f func(*callerapi.Result)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		f(&a.result)
	}
}
