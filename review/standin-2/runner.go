package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a sound runner: it runs so many requests at once, queues a few more, and
// drops a request when its channel closes.
type runner struct {
	options  runnerOptions
	listener net.Listener
	slots    chan struct{}
	record   *record

	mu       sync.Mutex
	sequence int
	waiting  int
	born     int64
	// arrived counts how often each request reached the runner.
	arrived map[string]int
}

type runnerOptions struct {
	id, service string
	slots       int
	// work is the time of one call, or between two events. workOf replaces it for calls,
	// if it is not nil.
	work   time.Duration
	workOf func(path string) time.Duration
	// events is the number of events of a stream; zero is a call.
	events int
}

// queuedPerSlot bounds how many requests wait at a runner.
const queuedPerSlot = 1

func startRunner(ip string, s *store, log *record, o runnerOptions) (*runner, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &runner{options: o, listener: listener, slots: make(chan struct{}, o.slots), record: log, born: time.Now().UnixMilli(), arrived: map[string]int{}}
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = server.Serve(listener) }()
	r.heartbeat(s)
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.heartbeat(s)
		}
	}()
	return r, nil
}

func (r *runner) heartbeat(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	s.put("keyed.servers", r.options.id, map[string]any{
		"Service": r.options.service, "Address": r.listener.Addr().String(), "Zone": "z-a", "Version": "v1", "Slots": r.options.slots,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": r.sequence, "born": r.born,
	})
}

// timesArrived returns how often a request reached the runner.
func (r *runner) timesArrived(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived[id]
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.options.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrived[id]++
	r.mu.Unlock()
	if !r.takeSlot(request) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		r.record.line("runner %s rejects %s", r.options.id, id)
		return
	}
	defer func() { <-r.slots }()
	r.record.line("runner %s begins %s", r.options.id, id)
	w.Header().Set("X-Server-Signature", r.options.id+"."+id)
	if r.options.events == 0 {
		work := r.options.work
		if r.options.workOf != nil {
			work = r.options.workOf(request.URL.Path)
		}
		if pause(request, work) {
			fmt.Fprintf(w, "done %s by %s\n", id, r.options.id)
			r.record.line("runner %s ends %s", r.options.id, id)
		}
		return
	}
	r.stream(w, request, id)
}

func (r *runner) stream(w http.ResponseWriter, request *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= r.options.events; n++ {
		if !pause(request, r.options.work) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	r.record.line("runner %s ends %s", r.options.id, id)
}

// takeSlot waits for a slot. It returns false if the queue is full or the caller leaves.
func (r *runner) takeSlot(request *http.Request) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	full := r.waiting >= queuedPerSlot*r.options.slots
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.slots <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

// pause returns false if the caller leaves before the time is over.
func pause(request *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-request.Context().Done():
		return false
	}
}
