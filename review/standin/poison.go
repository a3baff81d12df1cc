package main

import (
	"encoding/json"
	"errors"
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
	select {
	case <-time.After(20 * time.Millisecond):
	case <-request.Context().Done():
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

// playPoisonRestart kills all daemons while the store is down, after they have
// learned that a part of a prompt crashes engines.
func playPoisonRestart(e *env) (int, error) {
	const (
		machines     = 4
		engines      = 10
		storeDownFor = 4500 * time.Millisecond
		killAfter    = 300 * time.Millisecond
		restartAfter = time.Second
	)
	e.publish([]any{route("suggest", "streaming", "engines", 1, 8000, false)}, []any{engineService("engines")}, []any{tenant("shop", "key-shop")})
	var all []*engine
	for n := range engines {
		g, err := e.addEngine(200+n, fmt.Sprintf("engine-%d", n+1))
		if err != nil {
			return 0, err
		}
		all = append(all, g)
	}
	for n := 1; n <= machines; n++ {
		if _, err := e.addDaemon(n, "z-a", 0.6); err != nil {
			return 0, err
		}
	}
	if !e.awaitReady(20 * time.Second) {
		return 0, errors.New("the daemons did not become ready")
	}
	time.Sleep(5 * time.Second)

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]sent{}
	ask := func(d *daemon, id string, parts string) {
		requests.Go(func() {
			s := send(client, d, id, "key-shop", "/suggest/1", map[string]string{"X-Model": "m", "X-Token-Usage": "600,50", "X-Prefix-Hash": parts})
			e.log("sent at %.3f to %s: %s, status %d, %q %v", e.at(s.at), s.daemon.name, s.id, s.status, s.answer, s.err)
			mu.Lock()
			answers[id] = s
			mu.Unlock()
		})
	}
	deadly := func(wave string) {
		for n, d := range e.daemons {
			ask(d, fmt.Sprintf("deadly-%s-%d", wave, n+1), fmt.Sprintf("%s:60,%s:200,%s%d:300", sharedPart, deadlyPart, wave, n))
		}
	}
	sound := func(wave string) {
		for n, d := range e.daemons {
			ask(d, fmt.Sprintf("sound-%s-%d", wave, n+1), fmt.Sprintf("%s:60,%s%d:300", sharedPart, wave, n))
		}
	}
	for n := 0; n < 12; n++ {
		sound(fmt.Sprintf("a%d", n))
		if n%2 == 0 {
			deadly(fmt.Sprintf("a%d", n))
		}
		time.Sleep(time.Second)
	}
	requests.Wait()
	known := crashTimes(all)
	if len(known) < 5 {
		return 0, fmt.Errorf("%d crashes at first, five are needed", len(known))
	}
	for _, d := range e.daemons {
		for _, line := range e.grepLogs(d, "prompt-part") {
			e.log("log of %s: %s", d.name, line)
		}
	}

	if e.trouble {
		e.store.setDown(true)
		e.log("the store is down")
		time.Sleep(killAfter)
		for _, d := range e.daemons {
			d.kill()
		}
		e.log("all daemons are killed")
		time.Sleep(restartAfter)
		for _, d := range e.daemons {
			if err := d.run(false); err != nil {
				return 0, err
			}
		}
		time.Sleep(storeDownFor - restartAfter - killAfter)
		e.store.setDown(false)
		e.log("the store is back")
	}
	if !e.awaitReady(20 * time.Second) {
		return 0, errors.New("the daemons did not become ready again")
	}
	// The machines are in touch again.
	time.Sleep(contactMs*time.Millisecond + time.Second)
	from := time.Now()
	for n := range 8 {
		sound(fmt.Sprintf("b%d", n))
		deadly(fmt.Sprintf("b%d", n))
		time.Sleep(500 * time.Millisecond)
	}
	requests.Wait()

	reached := 0
	for _, g := range all {
		for _, a := range g.deadlyArrivals() {
			if a.at.After(from) {
				e.log("BUDGET: at %.3f %s with the deadly part reaches %s", e.at(a.at), a.id, g.id)
				reached++
			}
		}
	}
	e.log("%d crashes before, %d in all; %d requests with the deadly part reached engines later than ContactMs after the fifth, three are allowed", len(known), len(crashTimes(all)), reached)
	if reached > 3 {
		return reached, nil
	}
	return 0, nil
}
