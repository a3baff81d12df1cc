package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "dead01"
	sharedPart = "5c1e07a2"
)

// engine is a stand-in for a model runner that crashes when it begins to write an
// answer to a request with the deadly part. It starts again after some seconds.
type engine struct {
	env     *env
	id      string
	address string

	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int
	up       bool
	// harmless engines do not crash.
	harmless bool
	// cutsHead is set for engines that crash within the head of the answer, and
	// not after it.
	cutsHead bool
	deadly   []arrival
	crashes  []time.Time
}

const engineBackAfter = 4 * time.Second

func (e *env) addEngine(n int, id string) (*engine, error) {
	g := &engine{env: e, id: id, address: e.addr(n, portRunner)}
	if err := g.begin(); err != nil {
		return nil, err
	}
	go func() {
		for {
			time.Sleep(heartbeat)
			g.beat()
		}
	}()
	return g, nil
}

func (g *engine) begin() error {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.server, g.born, g.sequence, g.up = &http.Server{Handler: http.HandlerFunc(g.serve)}, time.Now().UnixMilli(), 0, true
	server := g.server
	g.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	g.beat()
	return nil
}

func (g *engine) beat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return
	}
	g.sequence++
	entry, err := json.Marshal(map[string]any{
		"Service": "engines", "Address": g.address, "Zone": "z-a", "Version": "v1", "Slots": 11, "State": "ready", "ColdRemainingMs": 0,
		"Stage": "combined", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "Sequence": g.sequence, "born": g.born,
	})
	if err != nil {
		panic(err)
	}
	g.env.store.put(topicServers, g.id, entry)
}

func (g *engine) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != g.id {
		w.Header().Set("X-Instance-Id", g.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	deadly := strings.Contains(request.Header.Get("X-Prefix-Hash"), deadlyPart)
	if deadly {
		g.mu.Lock()
		g.deadly = append(g.deadly, arrival{id, time.Now()})
		g.mu.Unlock()
	}
	g.env.log("%s runs %s", g.id, id)
	select {
	case <-time.After(20 * time.Millisecond):
	case <-request.Context().Done():
		return
	}
	if deadly && !g.harmless && g.cutsHead {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Si", id)
			g.crash(id)
			conn.Close()
		}
		return
	}
	w.Header().Set("X-Server-Signature", g.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	if deadly && !g.harmless {
		g.crash(id)
		panic(http.ErrAbortHandler)
	}
	for n := range 5 {
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// crash ends the engine with all its connections, and starts it again later.
func (g *engine) crash(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return
	}
	g.up = false
	g.crashes = append(g.crashes, time.Now())
	g.env.log("%s crashes on %s", g.id, id)
	g.server.Close()
	time.AfterFunc(engineBackAfter, func() {
		if err := g.begin(); err != nil {
			g.env.log("%s can't start again: %v", g.id, err)
		}
	})
}

func (g *engine) deadlyArrivals() []arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]arrival(nil), g.deadly...)
}

// crashTimes returns when engines crashed, in order.
func crashTimes(all []*engine) (times []time.Time) {
	for _, g := range all {
		g.mu.Lock()
		times = append(times, g.crashes...)
		g.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
