package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playLongPrompt sends requests of long conversations, whose prompts have 20
// parts. One part, which is the 18th of those that have it, crashes engines.
func playLongPrompt(e *env) (int, error) { return playDeadlyPart(e, 16, false) }

// playTornHead sends requests with prompts of four parts. One part crashes engines
// as they write the head of the answer.
func playTornHead(e *env) (int, error) { return playDeadlyPart(e, 0, true) }

// playDeadlyPart sends sound requests, and some with a part that crashes engines,
// which is preceded by the given number of earlier turns of the conversation.
func playDeadlyPart(e *env, turns int, cutsHead bool) (int, error) {
	const (
		machines    = 4
		engines     = 18
		sessions    = 40
		soundEvery  = 25 * time.Millisecond
		deadlyEvery = 500 * time.Millisecond
		playFor     = 24 * time.Second
		settle      = 5 * time.Second
	)
	e.publish([]any{route("suggest", "streaming", "engines", 1, 8000, false)}, []any{engineService("engines")}, []any{tenant("shop", "key-shop")})
	var all []*engine
	for n := range engines {
		g, err := e.addEngine(200+n, fmt.Sprintf("engine-%d", n+1))
		if err != nil {
			return 0, err
		}
		g.harmless, g.cutsHead = !e.trouble, cutsHead
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
	time.Sleep(settle)

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]sent{}
	ask := func(id string, deadly bool) {
		session, d := rand.IntN(sessions), e.daemons[rand.IntN(machines)]
		parts := []string{sharedPart + ":60"}
		for turn := range turns {
			parts = append(parts, fmt.Sprintf("%x:40", 0x10000+session*100+turn))
		}
		turn := fmt.Sprintf("%x:40", 0x10000+session*100+17)
		if deadly {
			turn = deadlyPart + ":40"
		}
		parts = append(parts, turn, fmt.Sprintf("%x:40", 0x10000+session*100+18), fmt.Sprintf("%x:100", rand.Uint64()))
		requests.Go(func() {
			s := send(client, d, id, "key-shop", "/suggest/1", map[string]string{"X-Model": "m", "X-Token-Usage": "840,50", "X-Prefix-Hash": strings.Join(parts, ",")})
			e.log("sent at %.3f to %s: %s, status %d, %.100q %v", e.at(s.at), s.daemon.name, s.id, s.status, s.answer, s.err)
			mu.Lock()
			answers[id] = s
			mu.Unlock()
		})
	}
	ctx, stop := context.WithTimeout(context.Background(), playFor)
	defer stop()
	every := func(pause time.Duration, do func(n int)) {
		requests.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				do(n)
				time.Sleep(pause)
			}
		})
	}
	every(soundEvery, func(n int) { ask(fmt.Sprintf("sound-%04d", n), false) })
	every(deadlyEvery, func(n int) { ask(fmt.Sprintf("deadly-%04d", n), true) })
	<-ctx.Done()
	requests.Wait()

	crashes := crashTimes(all)
	reached := 0
	if len(crashes) >= 5 {
		bound := crashes[4].Add(contactMs * time.Millisecond)
		e.log("the fifth crash was at %.3f", e.at(crashes[4]))
		for _, g := range all {
			for _, a := range g.deadlyArrivals() {
				if s := answers[a.id]; s.at.After(bound) {
					e.log("BUDGET: at %.3f %s with the deadly part reaches %s", e.at(a.at), a.id, g.id)
					reached++
				}
			}
		}
	}
	sound, lost := 0, 0
	for id, s := range answers {
		if strings.HasPrefix(id, "sound") {
			sound++
			if s.status != http.StatusOK || s.err != nil {
				lost++
			}
		}
	}
	e.log("%d crashes; %d requests with the deadly part reached engines later than ContactMs after the fifth, three are allowed", len(crashes), reached)
	e.log("%d of %d sound requests were not served", lost, sound)
	if sound == 0 {
		return 0, errors.New("no sound request was sent")
	}
	if reached > 3 {
		return reached, nil
	}
	return 0, nil
}
