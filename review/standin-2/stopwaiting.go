package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop-while-waiting"] = stopWhileWaiting }

// stopWhileWaiting stops a daemon while orders and streams wait there for a place at a
// runner, which is at work on two large ones. A request that waits has been sent nowhere,
// so it can be refused truthfully at any time.
func stopWhileWaiting(w *world) (verdict, error) {
	const (
		largeWork, smallWork, timeout, target = 9 * time.Second, 60 * time.Millisecond, 14 * time.Second, 10 * time.Second
		// Requesters wait four times the target for the first event of a stream.
		streamTimeout, streamTarget, streamPatience = 15 * time.Second, 2 * time.Second, 8 * time.Second
	)
	err := w.addRunner(runnerOptions{id: "i-orders-1", service: "orders-app", slots: 2, workOf: func(path string) time.Duration {
		if strings.HasSuffix(path, "/large") {
			return largeWork
		}
		return smallWork
	}})
	if err != nil {
		return verdict{}, err
	}
	if err := w.addRunner(runnerOptions{id: "i-llm-1", service: "atelier-llm", slots: 2, work: 300 * time.Millisecond, events: 40}); err != nil {
		return verdict{}, err
	}
	w.configure([]route{
		{name: "confirm", kind: "non_idempotent", service: "orders-app", timeout: timeout, target: target, attempts: 1},
		{name: "diagnose", kind: "streaming", service: "atelier-llm", timeout: streamTimeout, target: streamTarget, attempts: 1},
	}, []map[string]any{{"Name": "orders-app"}, {"Name": "atelier-llm", "Engine": map[string]any{"Slots": 2, "KvCapacity": 410015, "Stride": 5}}})
	d, err := w.addDaemon(daemonSettings{memoryMb: 189, descriptors: 6150})
	if err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var lost []string
	ask := func(m message, patience time.Duration) {
		all.Go(func() {
			id := m.id
			w.record.line("requester sends %s", id)
			a := askAt(d.frontend(), m)
			arrived := w.runners[0].timesArrived(id) + w.runners[1].timesArrived(id)
			w.record.line("requester has for %s: %v; it has reached the runner %d times", id, a, arrived)
			if a.err != nil && arrived == 0 && a.after < patience {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, id)
			}
		})
	}
	send := func(id, path string) {
		ask(message{id: id, path: path, deadline: timeout, body: "order"}, timeout)
	}
	stream := func(id string) {
		ask(message{id: id, path: "/diagnose/1", deadline: streamTimeout, body: "brief", header: []string{"X-Model: m", "X-Token-Usage: 628,200", "X-Prefix-Hash: 5c1e07a2:60,b4:568"}}, streamPatience)
	}
	stream("stream-1")
	stream("stream-2")
	send("large-1", "/confirm/large")
	send("large-2", "/confirm/large")
	time.Sleep(300 * time.Millisecond)
	for n := range 4 {
		send(fmt.Sprintf("before-%d", n+1), "/confirm/small")
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.record.line("SIGTERM to %s", d.name)
		d.signal(syscall.SIGTERM)
		go func() {
			<-d.exited
			w.record.line("%s has exited", d.name)
		}()
	}
	time.Sleep(time.Second)
	// Requesters may use the address for three times the TTL of their list.
	for n := range 2 {
		send(fmt.Sprintf("after-%d", n+1), "/confirm/small")
	}
	time.Sleep(1300 * time.Millisecond)
	for n := range 2 {
		stream(fmt.Sprintf("stream-after-%d", n+1))
	}
	all.Wait()
	if len(lost) > 0 {
		return verdict{true, fmt.Sprintf("LOST: %s were read and not passed on, and their channels ended without an answer", strings.Join(lost, ", "))}, nil
	}
	return verdict{false, "each request that reached no runner has been answered"}, nil
}
