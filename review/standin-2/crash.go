package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["stream-ends-with-crash"] = streamEndsWithCrash
	cases["answer-ends-with-crash"] = answerEndsWithCrash
}

// streamEndsWithCrash kills one of six runners in the middle of its streams, which have
// neither a length nor chunks and end with their channels.
func streamEndsWithCrash(w *world) (verdict, error) {
	o := childOptions{Service: "atelier-llm", Slots: 12, Pieces: 20, Pause: 150 * time.Millisecond, Stream: true}
	routes := []route{
		{name: "diagnose", kind: "streaming", service: o.Service, timeout: 15 * time.Second, target: time.Second, attempts: 2, resumable: true},
		{name: "quote", kind: "streaming", service: o.Service, timeout: 15 * time.Second, target: time.Second, attempts: 2},
	}
	services := []map[string]any{{"Name": o.Service, "Engine": map[string]any{"Slots": o.Slots, "KvCapacity": 410015, "Stride": 5}}}
	return crashCase(w, "ORDER", o, routes, services, []string{"X-Model: m", "X-Token-Usage: 628,290", "X-Prefix-Hash: 5c1e07a2:60,b4:568"})
}

// answerEndsWithCrash does so with calls.
func answerEndsWithCrash(w *world) (verdict, error) {
	o := childOptions{Service: "comptoir", Slots: 6, Pieces: 4, Pause: 200 * time.Millisecond}
	routes := []route{
		{name: "book", kind: "non_idempotent", service: o.Service, timeout: 5 * time.Second, target: time.Second, attempts: 1},
		{name: "stock", kind: "idempotent", service: o.Service, timeout: 5 * time.Second, target: time.Second, attempts: 2},
	}
	return crashCase(w, "MIXED", o, routes, []map[string]any{{"Name": o.Service}}, nil)
}

const (
	crashRunners  = 6
	crashRequests = 24
)

// crashCase sends requests in turn on the routes, kills a runner that is in the middle of
// some of them, and checks that no answer that looks complete lacks a part.
func crashCase(w *world, rule string, o childOptions, routes []route, services []map[string]any, header []string) (verdict, error) {
	var runners []*child
	for n := range crashRunners {
		o.ID = fmt.Sprintf("i-%s-%d", o.Service, n+1)
		c, err := w.addChild(o)
		if err != nil {
			return verdict{}, err
		}
		runners = append(runners, c)
	}
	w.configure(routes, services)
	d, err := w.addDaemon(daemonSettings{memoryMb: 189, descriptors: 6150})
	if err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	// All runners have written their entries.
	time.Sleep(1500 * time.Millisecond)
	var mu sync.Mutex
	var all sync.WaitGroup
	var short []string
	complete := 0
	for n := range crashRequests {
		r := routes[n%len(routes)]
		id := fmt.Sprintf("%s-%d", r.name, n+1)
		all.Go(func() {
			a := askAt(d.frontend(), message{id: id, path: "/" + r.name + "/1", deadline: r.timeout, body: "brief", header: header})
			w.record.line("requester has for %s: %v, signature %q", id, a, a.header.Get("X-Server-Signature"))
			mu.Lock()
			defer mu.Unlock()
			if a.err != nil || a.status != 200 {
				return
			}
			complete++
			if a.body != o.whole(id) {
				short = append(short, fmt.Sprintf("%s (%d of %d bytes)", id, len(a.body), len(o.whole(id))))
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	// In the middle of the answers.
	time.Sleep(time.Duration(o.Pieces) * o.Pause / 2)
	if w.trouble {
		victim := runners[0]
		for _, c := range runners {
			if len(c.requests()) > len(victim.requests()) {
				victim = c
			}
		}
		victim.kill()
		w.record.line("runner %s is killed; it was at work on %s", victim.id, strings.Join(victim.requests(), ", "))
	}
	all.Wait()
	if len(short) > 0 {
		return verdict{true, fmt.Sprintf("%s: complete for the requester, but not whole: %s", rule, strings.Join(short, ", "))}, nil
	}
	return verdict{false, fmt.Sprintf("%d answers of %d are complete, all of them whole", complete, crashRequests)}, nil
}
