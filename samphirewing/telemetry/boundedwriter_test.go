package telemetry

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter takes nothing until it is released.
type blockedWriter struct {
	entered  chan struct{}
	released chan struct{}
	mu       sync.Mutex
	text     strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// A reader of the log that stops reading must not hold up any request.
func TestLogNeverWaitsForItsReader(t *testing.T) {
	blocked := &blockedWriter{entered: make(chan struct{}, 1), released: make(chan struct{})}
	w := NewBoundedWriter(blocked, 10)
	_, err := io.WriteString(w, "first\n")
	assert.NilError(t, err)
	<-blocked.entered
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
	assert.Assert(t, strings.Contains(blocked.text.String(), "log-lines-dropped"))
	assert.Assert(t, strings.Contains(blocked.text.String(), "line\n"))
}

func TestHeldLinesAreWrittenAtTheEnd(t *testing.T) {
	var text strings.Builder
	w := NewBoundedWriter(&text, 100)
	for range 50 {
		_, err := io.WriteString(w, "x\n")
		assert.NilError(t, err)
	}
	w.Close(10 * time.Second)
	assert.Equal(t, strings.Count(text.String(), "x\n"), 50)
}
