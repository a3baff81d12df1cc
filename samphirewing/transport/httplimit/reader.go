package httplimit

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
)

const (
	// minSegment and maxSegment bound the pieces in which memory for a body is
	// reserved. Pieces grow with what has arrived.
	minSegment = 4 << 10
	maxSegment = 256 << 10
	// memoryPoll is the time between two attempts to reserve memory if none is freed.
	memoryPoll = 50 * time.Millisecond
	// deadlineStep is by how much a read deadline must change to be set again.
	deadlineStep = 250 * time.Millisecond
	// refusalTime is how long a client may go on sending after a refusal, so that it
	// can read the response.
	refusalTime = 300 * time.Millisecond
	// refusedRetryAfter is the delay after which a refused request may be sent again.
	// Stalled bodies have given way by then.
	refusedRetryAfter = time.Second
)

// Body is a complete request body. Release must be called when it is no longer used.
type Body struct {
	Data []byte
	hold *memorybudget.Body
}

// Release returns the body's memory.
func (b Body) Release() {
	if b.hold != nil {
		b.hold.Release()
	}
}

// ReadBody reads a complete body of at most limit bytes. Its memory is reserved as it
// arrives. Errors are of type *BodyError; the connection is closed after the response
// to them.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (Body, error) {
	if r.ContentLength == 0 {
		return Body{}, nil
	}
	control := http.NewResponseController(w)
	body, err := g.readBody(w, r, control, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
		_ = control.SetReadDeadline(time.Now().Add(refusalTime))
		return Body{}, g.refusal(err, r, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (g *Guard) readBody(w http.ResponseWriter, r *http.Request, control *http.ResponseController, limit int64) (Body, error) {
	if r.ContentLength > limit {
		return Body{}, &http.MaxBytesError{Limit: limit}
	}
	peer, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		peer = r.RemoteAddr
	}
	hold, err := g.bodies.Begin(time.Now(), peer, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	if err != nil {
		return Body{}, err
	}
	reader := bodyReader{hold: hold, account: g.account, control: control, source: http.MaxBytesReader(w, r.Body, limit), length: r.ContentLength}
	data, err := reader.readAll()
	if err != nil {
		if hold.Evicted() {
			err = memorybudget.ErrStalled
		}
		hold.Release()
		return Body{}, err
	}
	hold.Complete()
	return Body{Data: data, hold: hold}, nil
}

// refusal counts and logs an error of readBody and returns it as a *BodyError.
func (g *Guard) refusal(err error, r *http.Request, limit int64) error {
	remote := events.F("remote", r.RemoteAddr)
	var status int
	switch {
	case errors.Is(err, memorybudget.ErrTooManyPeer):
		status = http.StatusTooManyRequests
	case errors.Is(err, memorybudget.ErrNoMemory), errors.Is(err, memorybudget.ErrTooMany), errors.Is(err, memorybudget.ErrStalled):
		status = http.StatusServiceUnavailable
	default:
		if errors.Is(err, os.ErrDeadlineExceeded) {
			g.metrics.bodiesTooSlow.Inc(1)
			g.emit(EventBodyTooSlow, remote)
		}
		return newBodyError(err, limit)
	}
	g.metrics.bodiesRefused.Inc(1)
	g.emit(EventBodyRefused, remote, events.F("reason", err))
	return &BodyError{Detail: "not accepted", Remedy: err.Error(), Status: status, RetryAfter: refusedRetryAfter}
}

// bodyReader reads one body.
type bodyReader struct {
	hold    *memorybudget.Body
	account *memorybudget.Account
	control *http.ResponseController
	source  io.Reader
	// length is the announced length, or negative.
	length   int64
	received int64
	reserved int64
	deadline time.Time
	segments [][]byte
}

// readAll reads the body into segments, and joins them when it is complete.
func (b *bodyReader) readAll() ([]byte, error) {
	for {
		size := min(max(b.received, minSegment), maxSegment)
		if b.length >= 0 {
			// One byte more than the body, to see its end.
			size = min(size, b.length-b.received+1)
		}
		segment, err := b.readSegment(size)
		b.segments = append(b.segments, segment)
		if err == io.EOF {
			return b.join()
		}
		if err != nil {
			return nil, err
		}
	}
}

// readSegment reads up to size bytes. The error is io.EOF at the body's end.
func (b *bodyReader) readSegment(size int64) ([]byte, error) {
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	segment := make([]byte, 0, size)
	for len(segment) < cap(segment) {
		if err := b.extendDeadline(); err != nil {
			return segment, err
		}
		n, err := b.source.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		b.received += int64(n)
		if n > 0 {
			if stalled := b.hold.Received(time.Now(), int64(n)); stalled != nil {
				return segment, stalled
			}
		}
		if err != nil {
			return segment, err
		}
	}
	return segment, nil
}

// extendDeadline sets the read deadline that the minimum rate implies.
func (b *bodyReader) extendDeadline() error {
	deadline := b.hold.Deadline()
	if deadline.Sub(b.deadline) < deadlineStep {
		return nil
	}
	b.deadline = deadline
	// A writer without deadlines is a test's.
	_ = b.control.SetReadDeadline(deadline)
	if b.hold.Evicted() {
		return memorybudget.ErrStalled
	}
	return nil
}

// reserve waits until n bytes are reserved, for a limited time.
func (b *bodyReader) reserve(n int64) error {
	var giveUp <-chan time.Time
	var freed <-chan struct{}
	for {
		err := b.hold.Reserve(time.Now(), n)
		if err == nil {
			b.reserved += n
			return nil
		}
		if !errors.Is(err, memorybudget.ErrNoMemory) {
			return err
		}
		if giveUp == nil {
			giveUp = time.After(b.hold.WaitLimit())
		}
		if freed == nil {
			freed = b.account.Freed()
			continue
		}
		select {
		case <-freed:
		case <-time.After(memoryPoll):
		case <-giveUp:
			return memorybudget.ErrNoMemory
		}
		freed = nil
	}
}

// join returns the segments as one slice and returns the memory that is not needed.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.segments) == 1 {
		return b.segments[0], nil
	}
	before := b.reserved
	if err := b.reserve(b.received); err != nil {
		return nil, err
	}
	data := make([]byte, 0, b.received)
	for i, segment := range b.segments {
		data = append(data, segment...)
		b.segments[i] = nil
	}
	b.hold.Shrink(before)
	return data, nil
}
