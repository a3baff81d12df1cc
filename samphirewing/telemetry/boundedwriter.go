package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter hands lines to a slow writer without ever making the caller
// wait. Lines that find its buffer full are dropped and counted; a line says
// so once there is room.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
	ended   chan struct{}
}

// NewBoundedWriter returns a writer that holds up to so many lines for w.
func NewBoundedWriter(w io.Writer, lines int) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, lines), done: make(chan struct{}), ended: make(chan struct{})}
	go b.run(w)
	return b
}

// Write takes one or more whole lines. It never fails.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many writes have been dropped since the last report.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what is held, for at most the limit.
func (b *BoundedWriter) Close(limit time.Duration) {
	b.close.Do(func() { close(b.done) })
	select {
	case <-b.ended:
	case <-time.After(limit):
	}
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.ended)
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		case <-b.done:
			for len(b.lines) > 0 {
				b.write(w, <-b.lines)
			}
			return
		}
	}
}

// write joins the lines that wait into one write.
func (b *BoundedWriter) write(w io.Writer, line []byte) {
	for len(b.lines) > 0 && len(line) < joinedBytes {
		line = append(line, <-b.lines...)
	}
	if n := b.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "{\"message\":\"log-lines-dropped\",\"count\":%d}\n", n)
	}
	// There is nowhere left to report a failed write of the log to.
	_, _ = w.Write(line)
}

// joinedBytes is the size from which lines are no longer joined: the capacity
// of a pipe on Linux.
const joinedBytes = 64 << 10
