package load_test

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// entryFault is a fault injected into callers' connections.
type entryFault int32

const (
	faultNone entryFault = iota
	// faultDisconnect drops a request's first connection after two flushes.
	faultDisconnect
	// faultSilence silences the connection at that point instead.
	faultSilence
	// faultLoseFirst drops the connection of each key's first request before
	// the answer.
	faultLoseFirst
)

// faultyEntry forwards requests and injects the current fault.
type faultyEntry struct {
	next    http.Handler
	fault   atomic.Int32
	silence func()

	mu   sync.Mutex
	keys map[string]bool
}

func (e *faultyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := entryFault(e.fault.Load())
	if r.Method != http.MethodPost || fault == faultNone {
		e.next.ServeHTTP(w, r)
		return
	}
	key := r.Header.Get(callerapi.HeaderIdempotencyKey) + r.Header.Get(callerapi.HeaderCallerKey)
	e.next.ServeHTTP(&faultyWriter{ResponseWriter: w, entry: e, fault: fault, key: key}, r)
}

// isFirst reports whether the key is seen for the first time.
func (e *faultyEntry) isFirst(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keys == nil {
		e.keys = make(map[string]bool)
	}
	seen := e.keys[key]
	e.keys[key] = true
	return !seen
}

// faultyWriter injects the fault of one request.
type faultyWriter struct {
	http.ResponseWriter
	entry   *faultyEntry
	fault   entryFault
	key     string
	flushes int
}

func (w *faultyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *faultyWriter) FlushError() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.flushes++
	if w.flushes != 2 {
		return err
	}
	switch w.fault {
	case faultDisconnect:
		panic(http.ErrAbortHandler)
	case faultSilence:
		w.entry.silence()
	}
	return err
}

func (w *faultyWriter) Write(p []byte) (int, error) {
	if w.fault == faultLoseFirst && w.key != "" && w.entry.isFirst(w.key) {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}
