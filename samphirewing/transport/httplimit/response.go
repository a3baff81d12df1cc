package httplimit

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
)

const (
	// writePiece is the size of one write to a caller. A caller makes progress when
	// it has taken one.
	writePiece = 16 << 10
	// fullTimeout is how long a caller may take nothing while its response does not
	// fit into the budget. Endpoints cut off responses that stay unread for some
	// seconds.
	fullTimeout = 2 * time.Second
)

// Response writes a response to a caller without making the writer wait for the
// caller: what the caller has not taken is held within the memory budget. Beyond it,
// and when the caller takes nothing for too long, the response fails, and its
// connection must be closed without completing the response.
type Response struct {
	guard   *Guard
	writer  http.ResponseWriter
	control *http.ResponseController
	remote  string
	queue   *memorybudget.Queue

	mu sync.Mutex
	// pending holds what has not been handed to writer.
	pending [][]byte
	// hold is set if a response with a known length is not flushed before its end.
	hold  bool
	ended bool
	err   error
	// wake and progress get an element when something was added or taken.
	wake     chan struct{}
	progress chan struct{}
	done     chan struct{}
}

// NewResponse returns a response whose status and header have been written. If
// lengthKnown is set, it isn't flushed before its end. Finish must be called.
func (g *Guard) NewResponse(w http.ResponseWriter, r *http.Request, lengthKnown bool) *Response {
	o := &Response{
		guard: g, writer: w, control: http.NewResponseController(w), remote: r.RemoteAddr, hold: lengthKnown,
		wake: make(chan struct{}, 1), progress: make(chan struct{}, 1), done: make(chan struct{}),
	}
	o.queue = g.queues.Open(time.Now(), o.interrupt)
	go o.run()
	return o
}

// interrupt ends a write in progress.
func (o *Response) interrupt() { _ = o.control.SetWriteDeadline(time.Unix(1, 0)) }

// Write queues a copy of p. It waits only while the queue can't grow and the caller
// takes something.
func (o *Response) Write(p []byte) error {
	for len(p) > 0 {
		piece := p[:min(len(p), writePiece)]
		if err := o.writePiece(piece); err != nil {
			return err
		}
		p = p[len(piece):]
	}
	return nil
}

func (o *Response) writePiece(p []byte) error {
	var freed <-chan struct{}
	for {
		if err := o.failure(); err != nil {
			return err
		}
		err := o.queue.Add(time.Now(), pieceBytes(p))
		if err == nil {
			break
		}
		if errors.Is(err, memorybudget.ErrUnread) || o.queue.Unread(time.Now()) >= fullTimeout {
			o.fail(memorybudget.ErrUnread)
			o.interrupt()
			return memorybudget.ErrUnread
		}
		if freed == nil {
			freed = o.guard.account.Freed()
			continue
		}
		select {
		case <-freed:
		case <-o.progress:
		case <-time.After(memoryPoll):
		case <-o.done:
		}
		freed = nil
	}
	o.mu.Lock()
	o.pending = append(o.pending, append([]byte(nil), p...))
	o.mu.Unlock()
	signal(o.wake)
	return nil
}

// pieceBytes returns the memory of one piece, with what the allocator and the list
// of pieces add.
func pieceBytes(p []byte) int64 { return int64(len(p)) + 64 }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *Response) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// fail records the first error.
func (o *Response) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
}

// Finish waits until the caller has taken everything. An error means that the
// connection must be closed.
func (o *Response) Finish() error {
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	signal(o.wake)
	<-o.done
	o.queue.Close()
	return o.failure()
}

// errCancelled means that the handler ended without completing the response.
const errCancelled = errors.ConstError("the response is not completed")

// Cancel drops what the caller has not taken. It does nothing after Finish.
func (o *Response) Cancel() {
	o.mu.Lock()
	ended := o.ended
	o.mu.Unlock()
	if ended {
		return
	}
	o.fail(errCancelled)
	o.interrupt()
	// The error is errCancelled or an earlier one.
	_ = o.Finish()
}

// run hands what is queued to the writer until the response ends or fails.
func (o *Response) run() {
	defer close(o.done)
	for o.failure() == nil {
		pending, ended := o.take()
		for _, p := range pending {
			if !o.deliver(p) {
				return
			}
		}
		if len(pending) > 0 && !o.hold && !o.check(o.control.Flush()) {
			return
		}
		if len(pending) == 0 && ended {
			return
		}
		if len(pending) == 0 {
			<-o.wake
		}
	}
}

func (o *Response) take() (pending [][]byte, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending, o.pending = o.pending, nil
	return pending, o.ended
}

// deliver writes one piece.
func (o *Response) deliver(p []byte) bool {
	_ = o.control.SetWriteDeadline(time.Now().Add(o.guard.limits.UnreadTimeout))
	// An interruption before the deadline was set has had no effect.
	if o.queue.Evicted() || o.failure() != nil {
		return o.check(memorybudget.ErrUnread)
	}
	_, err := o.writer.Write(p)
	o.queue.Taken(time.Now(), pieceBytes(p))
	signal(o.progress)
	return o.check(err)
}

// check records an error of a write, and returns whether there was none.
func (o *Response) check(err error) bool {
	if err == nil {
		return true
	}
	if o.queue.Evicted() || isTimeout(err) {
		err = memorybudget.ErrUnread
	}
	o.fail(err)
	if errors.Is(o.failure(), memorybudget.ErrUnread) {
		o.guard.metrics.unread.Inc(1)
		o.guard.emit(EventResponseUnread, events.F("remote", o.remote))
	}
	return false
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
