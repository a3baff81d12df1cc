package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["config-missed"] = configMissed }

const (
	stormDaemons = 20
	stormRounds  = 6
	// stormGap is the least time between the two changes of a round; it grows by stormStep
	// with each round. Changes of a config_storm follow each other faster.
	stormGap  = 420 * time.Millisecond
	stormStep = 20 * time.Millisecond
	// stormRoutes make a configuration of some 230 KB.
	stormRoutes = 1200
	// staleFor is how long after the last round the daemons are asked again.
	staleFor = 20 * time.Second
)

// configMissed changes a large configuration twice in quick succession, and asks all
// daemons some time later with the newest key, and with the one before, which the newest
// version has taken away.
func configMissed(w *world) (verdict, error) {
	if err := w.addRunner(runnerOptions{id: "i-desk-1", service: "licence-desk", slots: 40, work: 5 * time.Millisecond}); err != nil {
		return verdict{}, err
	}
	version := 0
	change := func() {
		version++
		w.store.put("keyed.op", "config", stormConfiguration(version))
		w.record.line("configuration %d is written and acknowledged", version)
	}
	change()
	// The smallest and the largest machines of siamlens-wire-grown.
	small := daemonSettings{memoryMb: 184, descriptors: 4100, large: true, linkMbps: 10, cpuShare: 0.192}
	big := daemonSettings{memoryMb: 536, descriptors: 8192, large: true, linkMbps: 200, cpuShare: 0.8}
	_, _, configApply := small.bounds()
	for n := range stormDaemons {
		settings := small
		if n == 0 {
			settings = big
		}
		if _, err := w.addDaemon(settings); err != nil {
			return verdict{}, err
		}
	}
	for _, d := range w.daemons {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(5 * time.Second)
	wrong, broken, worst := 0, 0, 0
	for round := range stormRounds {
		change()
		if w.trouble {
			time.Sleep(stormGap + time.Duration(round)*stormStep)
			change()
		}
		time.Sleep(configApply + 500*time.Millisecond)
		stale := askAll(w, fmt.Sprintf("round %d", round+1), version)
		wrong += len(stale)
		if len(stale) > 0 {
			broken++
			worst = max(worst, len(stale))
		}
	}
	time.Sleep(staleFor)
	left := len(askAll(w, fmt.Sprintf("%v after round %d", staleFor, stormRounds), version))
	if wrong > 0 {
		return verdict{true, fmt.Sprintf("CONFIG: 3.5 s after the ack of the newest version, up to %d of %d daemons refused its key and ran requests with the dropped one, in %d of %d rounds; %v after the last round %d of them still did",
			worst, len(w.daemons), broken, stormRounds, staleFor, left)}, nil
	}
	return verdict{false, fmt.Sprintf("%d daemons had the newest version in all %d rounds", len(w.daemons), stormRounds)}, nil
}

// askAll asks all daemons with the key of the newest version and with the one before, and
// returns those that answer as an older version says.
func askAll(w *world, when string, version int) (stale []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, d := range w.daemons {
		all.Go(func() {
			ask := func(kind string, v int) int {
				a := askAt(d.frontend(), message{id: fmt.Sprintf("%s-%d-%s-%d", kind, version, d.name, time.Now().UnixNano()), path: "/buy/1", deadline: 2 * time.Second, body: "order", key: stormKey(v)})
				if a.err != nil {
					w.record.line("%s: %v", d.name, a)
				}
				return a.status
			}
			newest, dropped := ask("newest", version), ask("dropped", version-1)
			w.record.line("%s: %s answers %d to the key of version %d and %d to the dropped key of version %d", when, d.name, newest, version, dropped, version-1)
			if newest == 401 || dropped == 200 {
				mu.Lock()
				defer mu.Unlock()
				stale = append(stale, d.name)
			}
		})
	}
	all.Wait()
	return stale
}

// stormKey is the only key of a version.
func stormKey(version int) string { return fmt.Sprintf("key-of-version-%d", version) }

func stormConfiguration(version int) map[string]any {
	routes := []map[string]any{}
	for n := range stormRoutes {
		prefix := "/buy/"
		if n > 0 {
			prefix = fmt.Sprintf("/idle-%d/", n)
		}
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("r-%d", n), "Host": host, "PathPrefix": prefix, "RouteType": "non_idempotent", "TimeoutMs": 2000,
			"TargetLatencyMs": 150, "Priority": 0, "Service": "licence-desk", "MaxAttempts": 1, "Resumable": false,
		})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": "licence-desk"}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
		"Tenants": []map[string]any{{"Name": "agency", "ApiKeys": []string{stormKey(version)}, "UncachedTokens": 200}},
	}
}
