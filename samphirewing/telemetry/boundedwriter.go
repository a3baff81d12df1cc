package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter passes lines to a slow writer without blocking the caller. Writes
// are dropped and counted while its buffer is full; the next write to the slow
// writer reports their number. It is safe for concurrent use.
type BoundedWriter struct {
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
	finished  chan struct{}
}

// NewBoundedWriter returns a writer that buffers up to capacity writes for w.
func NewBoundedWriter(w io.Writer, capacity int) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, capacity), closing: make(chan struct{}), finished: make(chan struct{})}
	go b.run(w)
	return b
}

// Write buffers or drops p, which must consist of complete lines. It never fails.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of writes dropped since the last report.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the buffered lines and returns after the given limit at the
// latest.
func (b *BoundedWriter) Close(limit time.Duration) {
	b.closeOnce.Do(func() { close(b.closing) })
	select {
	case <-b.finished:
	case <-time.After(limit):
	}
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.finished)
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		case <-b.closing:
			for len(b.lines) > 0 {
				b.write(w, <-b.lines)
			}
			return
		}
	}
}

// write joins the buffered lines into one write.
func (b *BoundedWriter) write(w io.Writer, line []byte) {
	for len(b.lines) > 0 && len(line) < maxJoinedBytes {
		line = append(line, <-b.lines...)
	}
	if n := b.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "{\"message\":\"log-lines-dropped\",\"count\":%d}\n", n)
	}
	// A failed write of the log itself cannot be reported anywhere.
	_, _ = w.Write(line)
}

// maxJoinedBytes is the size at which no more lines are joined: the default
// capacity of a pipe on Linux.
const maxJoinedBytes = 64 << 10
