package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["deadly-after-first-event"] = deadlyAfterFirstEvent }

const (
	deadlyRunners = 6
	// restartAfter is how long a crashed runner is away.
	restartAfter = 3 * time.Second
	contact      = 3 * time.Second
	// soundGap and deadlyGap are the times between two requests. One in 21 is deadly.
	soundGap, deadlyGap  = 30 * time.Millisecond, 600 * time.Millisecond
	calmTime, deadlyTime = 8 * time.Second, 40 * time.Second
	// minCompared is how many sound requests the rule compares at least.
	minCompared = 20
)

// deadlyAfterFirstEvent sends requests with a part that crashes each runner which begins to
// write an answer on it. The first event still arrives.
func deadlyAfterFirstEvent(w *world) (verdict, error) {
	var mu sync.Mutex
	var crashes []time.Time
	var all []*child
	closing := atomic.Bool{}
	defer closing.Store(true)
	start := func(o childOptions) error {
		c, err := w.addChild(o)
		if err == nil {
			mu.Lock()
			all = append(all, c)
			mu.Unlock()
		}
		return err
	}
	for n := range deadlyRunners {
		o := childOptions{ID: fmt.Sprintf("i-llm-%d", n+1), Service: "atelier-llm", Slots: 12, Pieces: 12, Pause: 40 * time.Millisecond, Stream: true, Chunked: true, DeadlyPart: "dead"}
		if err := start(o); err != nil {
			return verdict{}, err
		}
		go func() {
			for {
				mu.Lock()
				var c *child
				for _, other := range all {
					if other.id == o.ID {
						c = other
					}
				}
				mu.Unlock()
				<-c.exits
				if closing.Load() {
					return
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				time.Sleep(restartAfter)
				if closing.Load() || start(o) != nil {
					return
				}
			}
		}()
	}
	w.configure([]route{{name: "quote", kind: "streaming", service: "atelier-llm", timeout: 15 * time.Second, target: 400 * time.Millisecond, attempts: 2, resumable: true}}, []map[string]any{
		{"Name": "atelier-llm", "Engine": map[string]any{"Slots": 12, "KvCapacity": 410015, "Stride": 5}}})
	var daemons []*daemon
	for range 2 {
		d, err := w.addDaemon(daemonSettings{memoryMb: 189, descriptors: 6150})
		if err != nil {
			return verdict{}, err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)

	var requests sync.WaitGroup
	sent := map[string]time.Time{}
	send := func(n int, kind, parts string) {
		id := fmt.Sprintf("%s-%d", kind, n)
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		requests.Go(func() {
			a := askAt(daemons[n%len(daemons)].frontend(), message{id: id, path: "/quote/1", deadline: 15 * time.Second, body: "brief",
				header: []string{"X-Model: m", "X-Token-Usage: 628,60", "X-Prefix-Hash: " + parts}})
			w.record.line("requester has for %s: %v", id, a)
		})
	}
	calmUntil := time.Now().Add(calmTime)
	end := calmUntil.Add(deadlyTime)
	nextDeadly := calmUntil
	for n := 0; time.Now().Before(end); n++ {
		send(n, "sound", fmt.Sprintf("5c1e07a2:60,%x:568", 1<<20+n))
		if w.trouble && time.Now().After(nextDeadly) {
			nextDeadly = nextDeadly.Add(deadlyGap)
			send(n, "deadly", fmt.Sprintf("5c1e07a2:60,dead:200,%x:368", 1<<24+n))
		}
		time.Sleep(soundGap)
	}
	requests.Wait()

	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 5 {
		if !w.trouble {
			return verdict{false, fmt.Sprintf("%d crashes", len(crashes))}, nil
		}
		return verdict{false, fmt.Sprintf("there were only %d crashes", len(crashes))}, nil
	}
	fifth := crashes[4]
	first := map[string]time.Time{}
	late := 0
	for _, c := range all {
		for _, b := range c.requestsBegun() {
			if at, known := first[b.id]; !known || b.at.Before(at) {
				first[b.id] = b.at
			}
			if strings.HasPrefix(b.id, "deadly-") && b.at.After(fifth.Add(contact)) {
				late++
			}
		}
	}
	share := func(from, until time.Time) (began, of int) {
		for id, at := range sent {
			if !strings.HasPrefix(id, "sound-") || at.Before(from) || at.After(until) {
				continue
			}
			of++
			if _, ran := first[id]; ran {
				began++
			}
		}
		return began, of
	}
	calmBegan, calm := share(calmUntil.Add(-calmTime), calmUntil)
	laterBegan, later := share(fifth.Add(2*contact), end)
	w.record.line("%d crashes, the fifth at %.1f s; %d deadly requests reached runners later than 3 s after it", len(crashes), fifth.Sub(w.record.started).Seconds(), late)
	w.record.line("sound requests that began: %d of %d in calm, %d of %d from 6 s after the fifth crash", calmBegan, calm, laterBegan, later)
	result := fmt.Sprintf("%d crashes; %d deadly requests reached runners later than ContactMs after the fifth; of the sound ones began %d of %d in calm and %d of %d later", len(crashes), late, calmBegan, calm, laterBegan, later)
	lost := calm >= minCompared && later >= minCompared && 2*laterBegan*calm < calmBegan*later
	switch {
	case lost:
		return verdict{true, "LOST and BUDGET: " + result}, nil
	case late > 3:
		return verdict{true, "BUDGET: " + result}, nil
	}
	return verdict{false, result}, nil
}
