package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runner is one start of a runner. It registers in the store, runs requests and notes
// each run.
type runner struct {
	id, service, version string
	store                *store
	record               *record
	listener             net.Listener
	server               *http.Server
	born                 int64
	slots                int
	// respond answers a request that has been noted as run.
	respond responder

	// active is the number of requests in progress.
	active atomic.Int64

	mu       sync.Mutex
	state    string
	sequence int
	closed   chan struct{}
}

const heartbeat = 1200 * time.Millisecond

// startRunner starts a runner at an address; port 0 takes a free one.
func startRunner(s *store, rec *record, address, id, service, version string, respond responder) (*runner, error) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	run := &runner{id: id, service: service, version: version, store: s, record: rec, listener: l, born: time.Now().UnixMilli(), slots: 11, respond: respond, state: "ready", closed: make(chan struct{})}
	run.server = &http.Server{Handler: http.HandlerFunc(run.handle)}
	go func() { _ = run.server.Serve(l) }()
	go run.beat()
	return run, nil
}

func (run *runner) address() string { return run.listener.Addr().String() }

// beat writes the entry every heartbeat. A write that the store does not answer is
// repeated with the next one; the entry changes in the log only if its state does.
func (run *runner) beat() {
	written := ""
	for {
		run.mu.Lock()
		state := run.state
		if !run.store.isDown() && state != written {
			run.sequence++
			value, _ := json.Marshal(map[string]any{
				"Service": run.service, "Address": run.address(), "Zone": "zone-a", "Version": run.version, "Slots": run.slots,
				"State": state, "ColdRemainingMs": 0, "Sequence": run.sequence, "born": run.born,
			})
			run.store.put("keyed.servers", run.id, value)
			written = state
		}
		run.mu.Unlock()
		select {
		case <-run.closed:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (run *runner) setState(state string) {
	run.mu.Lock()
	run.state = state
	run.mu.Unlock()
}

// kill ends the runner as SIGKILL ends a process: the system closes its listener and all
// of its connections.
func (run *runner) kill() {
	close(run.closed)
	_ = run.server.Close()
}

func (run *runner) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", run.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != run.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run.record.note("run %s at %s version %s: %s %s last-event %q", id, run.id, run.version, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id"))
	run.record.countRun(id, run.id, run.version)
	w.Header().Set("X-Server-Signature", fmt.Sprintf("%s.%s", run.id, id))
	run.active.Add(1)
	defer run.active.Add(-1)
	run.respond(run, w, r)
}

// streamOf answers with events of a stream from the one after Last-Event-Id to the given
// last one, a pause before each.
func streamOf(events int, pause time.Duration) responder {
	return func(run *runner, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		control := http.NewResponseController(w)
		for n := last + 1; n <= events; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-run.closed:
				panic(http.ErrAbortHandler)
			case <-time.After(pause):
			}
			fmt.Fprintf(w, "id: %d\ndata: version %s\n\n", n, run.version)
			if control.Flush() != nil {
				return
			}
		}
	}
}

// responder answers a request that a runner has noted as run.
type responder func(run *runner, w http.ResponseWriter, r *http.Request)

func (run *runner) currentState() string {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.state
}
