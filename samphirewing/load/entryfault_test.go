package load_test

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// entryFault is what happens to a caller's connection.
type entryFault int32

const (
	faultNone entryFault = iota
	// faultCut cuts a request's first connection after two flushes.
	faultCut
	// faultSilence makes it silent instead.
	faultSilence
	// faultLoseFirst cuts the connection of each key's first request before
	// its answer.
	faultLoseFirst
)

// faultyEntry passes requests on and brings faults about.
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

// firstOf tells whether a key is seen for the first time.
func (e *faultyEntry) firstOf(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keys == nil {
		e.keys = make(map[string]bool)
	}
	seen := e.keys[key]
	e.keys[key] = true
	return !seen
}

// faultyWriter brings the fault of one request about.
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
	case faultCut:
		panic(http.ErrAbortHandler)
	case faultSilence:
		w.entry.silence()
	}
	return err
}

func (w *faultyWriter) Write(p []byte) (int, error) {
	if w.fault == faultLoseFirst && w.key != "" && w.entry.firstOf(w.key) {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}
