package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// playLateBeat lets the store execute one beat of a runner late, after the runner
// has reported that it is draining, and before it exits.
func playLateBeat(e *env) (int, error) {
	const (
		machines = 4
		// A lost write is done 1 to 6 s later.
		lateBy = 5100 * time.Millisecond
		// The runner serves for DrainMs after its report, and some time longer.
		exitAfter = 2600 * time.Millisecond
	)
	routes := []any{route("order", "non_idempotent", "orders", 1, 800, false)}
	e.publish(routes, []any{plainService("orders")}, []any{tenant("shop", "key-shop")})
	var runners []*runner
	for n := range 3 {
		r, err := e.addRunner(200+n, fmt.Sprintf("runner-%d", n+1), "orders", "z-a", 60*time.Millisecond)
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	for n := 1; n <= machines; n++ {
		if _, err := e.addDaemon(n, []string{"z-a", "z-b"}[n%2], 0.6); err != nil {
			return 0, err
		}
	}
	if !e.awaitReady(20 * time.Second) {
		return 0, errors.New("the daemons did not become ready")
	}
	time.Sleep(10 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers []*caller
	var running sync.WaitGroup
	for _, d := range e.daemons {
		c := &caller{env: e, daemon: d, prefix: "order", key: "key-shop", path: "/order/1", every: 25 * time.Millisecond}
		callers = append(callers, c)
		running.Go(func() { c.run(ctx) })
	}
	time.Sleep(3 * time.Second)

	leaving := runners[0]
	lost := make(chan time.Time, 1)
	if e.trouble {
		leaving.mu.Lock()
		leaving.late = func(entry []byte) {
			sequence := leaving.sequence
			e.log("%s: its beat with Sequence %d gets no answer", leaving.id, sequence)
			time.AfterFunc(lateBy, func() {
				e.store.put(topicServers, leaving.id, entry)
				e.log("%s: its beat with Sequence %d is done late", leaving.id, sequence)
			})
			lost <- time.Now()
		}
		leaving.mu.Unlock()
		<-lost
	}
	// The store has been without disturbance for longer than ContactMs.
	time.Sleep(contactMs*time.Millisecond + 200*time.Millisecond)
	leavingAt := leaving.drain()
	time.Sleep(exitAfter)
	leaving.exit()
	e.log("%s exits", leaving.id)
	time.Sleep(2 * time.Second)
	stop()
	running.Wait()

	byID := map[string]sent{}
	for _, c := range callers {
		for _, s := range c.all() {
			byID[s.id] = s
			e.log("sent at %.3f to %s: %s, status %d, %q %v", e.at(s.at), s.daemon.name, s.id, s.status, s.answer, s.err)
		}
	}
	violations := 0
	for _, a := range leaving.seen() {
		if late := a.at.Sub(leavingAt); late > drainMs*time.Millisecond {
			e.log("DRAIN: at %.3f %s reaches %s, %d ms after its leaving was acknowledged, from %s", e.at(a.at), a.id, leaving.id, late.Milliseconds(), byID[a.id].daemon.name)
			violations++
			if s := byID[a.id]; s.status != 200 {
				e.log("lost: %s ran at %s and its caller got status %d", a.id, leaving.id, s.status)
			}
		}
	}
	return violations, nil
}
