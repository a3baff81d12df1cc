package telemetry

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	writing  chan struct{}
	released chan struct{}
	mu       sync.Mutex
	output   strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	select {
	case w.writing <- struct{}{}:
	default:
	}
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.Write(p)
}

// Requests must not be delayed when the reader of the log stops reading.
func TestWriteNeverBlocksOnUnderlyingWriter(t *testing.T) {
	blocked := &blockedWriter{writing: make(chan struct{}, 1), released: make(chan struct{})}
	w := NewBoundedWriter(blocked, 10)
	_, err := io.WriteString(w, "first\n")
	assert.NilError(t, err)
	<-blocked.writing
	for range 1000 {
		n, err := io.WriteString(w, "line\n")
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Equal(t, w.Dropped(), int64(990))
	close(blocked.released)
	w.Close(10 * time.Second)
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	assert.Assert(t, strings.Contains(blocked.output.String(), "log-lines-dropped"))
	assert.Assert(t, strings.Contains(blocked.output.String(), "line\n"))
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var output strings.Builder
	w := NewBoundedWriter(&output, 100)
	for range 50 {
		_, err := io.WriteString(w, "x\n")
		assert.NilError(t, err)
	}
	w.Close(10 * time.Second)
	assert.Equal(t, strings.Count(output.String(), "x\n"), 50)
}
