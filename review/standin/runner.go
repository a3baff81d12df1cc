package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in for a runner of a plain service. It registers itself in
// the store, beats, and answers each request once it has worked on it.
type runner struct {
	env     *env
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	slots   int
	born    int64
	server  *http.Server

	mu       sync.Mutex
	state    string
	sequence int
	arrivals []arrival
	// spoiled is the share of answers with a spoiled status line.
	spoiled float64
	// late, if set, takes the next beat in place of the store.
	late func(entry []byte)
	stop chan struct{}
}

type arrival struct {
	id string
	at time.Time
}

func (e *env) addRunner(n int, id, service, zone string, work time.Duration) (*runner, error) {
	r := &runner{
		env: e, id: id, service: service, zone: zone, address: e.addr(n, portRunner), work: work, slots: 6,
		born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{}),
	}
	listener, err := listen(r.address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	r.beat()
	go r.keepBeating()
	return r, nil
}

func (r *runner) keepBeating() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
			r.beat()
		}
	}
}

// beat writes the runner's entry and returns when the store has accepted it.
func (r *runner) beat() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	entry, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": r.state,
		"ColdRemainingMs": 0, "Sequence": r.sequence, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	if late := r.late; late != nil {
		r.late = nil
		late(entry)
		return time.Time{}
	}
	return r.env.store.put(topicServers, r.id, entry)
}

// drain reports that the runner leaves, and returns the time of the
// acknowledgement.
func (r *runner) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	at := r.beat()
	r.env.log("%s: its report that it is draining is acknowledged (Sequence %d)", r.id, r.sequence)
	return at
}

// exit ends the runner with all its connections. Its entry is removed.
func (r *runner) exit() {
	close(r.stop)
	r.server.Close()
	r.env.store.put(topicServers, r.id, nil)
}

func (r *runner) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, now})
	r.mu.Unlock()
	r.env.log("%s runs %s", r.id, id)
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		return
	}
	body := fmt.Sprintf("%s by %s\n", id, r.id)
	if r.spoils() {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprintf(conn, "HTTP/1.1 000 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, id, len(body), body)
			conn.Close()
		}
		return
	}
	w.Header().Set("X-Server-Signature", r.id+"."+id)
	fmt.Fprint(w, body)
}

func (r *runner) setSpoiled(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoiled = share
}

func (r *runner) spoils() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.Float64() < r.spoiled
}
