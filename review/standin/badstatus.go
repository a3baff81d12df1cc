package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playBadStatus lets one runner after the other spoil the status line of a few of
// its answers. After a final fault, the freeze of one machine, it judges how many
// requests are served once the machines are back.
func playBadStatus(e *env) (int, error) {
	const (
		machines = 4
		spoiled  = 0.027
		spell    = 5900 * time.Millisecond
		spells   = 13
		pause    = 200 * time.Millisecond
		frozen   = 4 * time.Second
		recover  = 12 * time.Second
		judged   = 6 * time.Second
	)
	e.publish([]any{route("order", "non_idempotent", "orders", 1, 800, false)}, []any{plainService("orders")}, []any{tenant("shop", "key-shop")})
	var runners []*runner
	for n := range 3 {
		r, err := e.addRunner(200+n, fmt.Sprintf("runner-%d", n+1), "orders", "z-a", 60*time.Millisecond)
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	for n := 1; n <= machines; n++ {
		if _, err := e.addDaemon(n, "z-a", 0.6); err != nil {
			return 0, err
		}
	}
	if !e.awaitReady(20 * time.Second) {
		return 0, errors.New("the daemons did not become ready")
	}
	time.Sleep(2 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers []*caller
	var running sync.WaitGroup
	for _, d := range e.daemons {
		c := &caller{env: e, daemon: d, prefix: "order", key: "key-shop", path: "/order/1", every: 48 * time.Millisecond}
		callers = append(callers, c)
		running.Go(func() { c.run(ctx) })
	}
	time.Sleep(3 * time.Second)
	for n := range spells {
		if e.trouble {
			r := runners[n%len(runners)]
			r.setSpoiled(spoiled)
			e.log("%s spoils %.1f in 100 of its answers", r.id, spoiled*100)
		}
		time.Sleep(spell)
		for _, r := range runners {
			r.setSpoiled(0)
		}
		time.Sleep(pause)
	}
	e.log("all runners are sound")
	finalAt := time.Now()
	last := e.daemons[machines-1]
	if err := last.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return 0, err
	}
	e.log("final fault: %s is frozen", last.name)
	time.Sleep(frozen)
	if err := last.command.Process.Signal(syscall.SIGCONT); err != nil {
		return 0, err
	}
	e.log("the machines are back")
	time.Sleep(recover)
	judgedFrom := time.Now()
	time.Sleep(judged)
	stop()
	running.Wait()

	var before, beforeServed, after, afterServed int
	for _, c := range callers {
		for _, s := range c.all() {
			e.log("sent at %.3f to %s: %s, status %d, %.100q %v", e.at(s.at), s.daemon.name, s.id, s.status, s.answer, s.err)
			served := s.status == http.StatusOK && s.signed && s.err == nil
			switch {
			case s.at.Before(finalAt):
				before++
				if served {
					beforeServed++
				}
			case s.at.After(judgedFrom):
				after++
				if served {
					afterServed++
				}
			}
		}
	}
	e.log("RECOVER: served before the final fault: %d of %d; later than RecoverS after the machines are back: %d of %d", beforeServed, before, afterServed, after)
	if 4*beforeServed < before {
		return 0, errors.New("less than a quarter was served before the final fault")
	}
	if 4*afterServed < after {
		return after - afterServed, nil
	}
	return 0, nil
}
