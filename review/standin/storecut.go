package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// playStoreCut partitions two of 13 machines from the store while configurations
// come in quick succession, a runner leaves and a key is withdrawn. The other
// machines, which reach the store, are held to the bounds.
func playStoreCut(e *env) (int, error) {
	const (
		machines = 13
		cutFor   = 4500 * time.Millisecond
		stormGap = 310 * time.Millisecond
	)
	routes := []any{route("order", "non_idempotent", "orders", 1, 800, false)}
	services := []any{plainService("orders")}
	e.publish(routes, services, []any{tenant("shop", "key-kept"), tenant("mender", "key-withdrawn")})
	var runners []*runner
	for n := range 6 {
		r, err := e.addRunner(200+n, fmt.Sprintf("runner-%d", n+1), "orders", []string{"z-a", "z-b"}[n%2], 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	for n := 1; n <= machines; n++ {
		zone, cpu := "z-a", 0.48
		if n > 7 {
			zone = "z-b"
		}
		if n == 1 || n == 8 {
			cpu = 0.8
		}
		if _, err := e.addDaemon(n, zone, cpu); err != nil {
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
		for _, key := range []string{"key-kept", "key-withdrawn"} {
			c := &caller{env: e, daemon: d, prefix: key, key: key, path: "/order/1", every: 40 * time.Millisecond}
			callers = append(callers, c)
			running.Go(func() { c.run(ctx) })
		}
	}
	time.Sleep(5 * time.Second)

	with, without := []any{tenant("shop", "key-kept"), tenant("mender", "key-withdrawn")}, []any{tenant("shop", "key-kept"), tenant("mender")}
	for range 4 {
		e.publish(routes, services, with)
		time.Sleep(stormGap)
	}
	cut := map[*daemon]bool{e.daemons[0]: true, e.daemons[7]: true}
	if e.trouble {
		for d := range cut {
			d.path.cut()
			e.log("%s is partitioned from the store", d.name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	leaving := runners[0]
	leavingAt := leaving.drain()
	withdrawnAt := e.publish(routes, services, without)
	for healAt := time.Now().Add(cutFor - 100*time.Millisecond); time.Now().Before(healAt); {
		time.Sleep(stormGap)
		e.publish(routes, services, without)
	}
	for d := range cut {
		d.path.heal()
	}
	if e.trouble {
		e.log("the partition has healed")
	}
	time.Sleep(2 * time.Second)
	stop()
	running.Wait()

	violations := 0
	byID := map[string]sent{}
	for _, c := range callers {
		for _, s := range c.all() {
			byID[s.id] = s
			e.log("sent at %.3f to %s: %s, status %d, %q %v", e.at(s.at), s.daemon.name, s.id, s.status, s.answer, s.err)
			if s.key == "key-withdrawn" && !cut[s.daemon] && s.status == 200 && s.at.Sub(withdrawnAt) > configApplyMs*time.Millisecond {
				e.log("CONFIG: %s ran with a key that was withdrawn %d ms before it was sent, by %s, which reaches the store", s.id, s.at.Sub(withdrawnAt).Milliseconds(), s.daemon.name)
				violations++
			}
		}
	}
	served := 0
	for _, a := range leaving.seen() {
		s, found := byID[a.id]
		late := a.at.Sub(leavingAt)
		if found && !cut[s.daemon] && late > drainMs*time.Millisecond {
			e.log("DRAIN: %s reaches %s %d ms after its leaving was acknowledged, from %s, which reaches the store", a.id, leaving.id, late.Milliseconds(), s.daemon.name)
			violations++
		}
		served++
	}
	if served == 0 {
		return 0, errors.New("the leaving runner got no requests at all")
	}
	return violations, nil
}
