package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["inplace"] = playInPlace }

const (
	inPlaceRunners = 8
	inPlaceClients = 64
	inPlaceEvents  = 20
	inPlacePause   = 60 * time.Millisecond
	// inPlaceOutage is the length of the store's outage.
	inPlaceOutage = 4500 * time.Millisecond
	// crashedAtOnce is the number of runners that crash together: a quarter.
	crashedAtOnce = 2
	crashedFor    = 500 * time.Millisecond
)

// playInPlace crashes two idle runners, which come back under their ids with the next
// version of their software. Then clients send resumable streams, and twice two other
// runners crash while these are in progress. The disruption is an outage of the store meanwhile.
func playInPlace(e *environment) (outcome, error) {
	e.publish(1, route("draft", "streaming", "engines", 2, true, 10*time.Second))
	stream := streamOf(inPlaceEvents, inPlacePause)
	for i := range inPlaceRunners {
		if _, err := e.addRunner(fmt.Sprintf("engine-%d", i), "engines", "v1", stream); err != nil {
			return outcome{}, err
		}
	}
	for n := 1; n <= 4; n++ {
		d, err := e.startDaemon(n, 414)
		if err != nil {
			return outcome{}, err
		}
		if err := d.awaitReady(10 * time.Second); err != nil {
			return outcome{}, err
		}
	}
	// The daemons record the version at which streams begin.
	time.Sleep(3 * time.Second)
	if e.trouble {
		e.record.note("the store is down")
		e.store.setDown(true)
		time.AfterFunc(inPlaceOutage, func() {
			e.record.note("the store is back")
			e.store.setDown(false)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if err := e.crash(0, crashedAtOnce, crashedFor, "v2", stream); err != nil {
		return outcome{}, err
	}
	time.Sleep(300 * time.Millisecond)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var mixed []string
	streams, taken := 0, 0
	for c := range inPlaceClients {
		clients.Go(func() {
			// Clients don't act in step.
			time.Sleep(time.Duration(c) * time.Second / inPlaceClients)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("draft-%d-%d", c, n)
				versions, again := playStream(e, id, c%4, 10*time.Second)
				mu.Lock()
				streams++
				taken += again
				if len(versions) > 1 {
					mixed = append(mixed, fmt.Sprintf("%s %v", id, versions))
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	for first := crashedAtOnce; first <= 2*crashedAtOnce; first += crashedAtOnce {
		if err := e.crash(first, first+crashedAtOnce, crashedFor, "v1", stream); err != nil {
			return outcome{}, err
		}
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	for _, m := range mixed {
		e.record.note("mixed %s", m)
	}
	return outcome{broken: len(mixed) > 2, summary: fmt.Sprintf("of %d streams, %d hold events of two versions; clients took streams up %d times", streams, len(mixed), taken)}, nil
}

// crash ends some of the runners at once and starts them again under their ids.
func (e *environment) crash(from, to int, down time.Duration, version string, respond responder) error {
	for _, run := range e.runners[from:to] {
		e.record.note("%s crashes", run.id)
		run.kill()
	}
	time.Sleep(down)
	for _, run := range e.runners[from:to] {
		next, err := startRunner(e.store, e.record, run.address(), run.id, run.service, version, respond)
		if err != nil {
			return err
		}
		e.record.note("%s is back at version %s", next.id, next.version)
	}
	return nil
}

// playStream reads one stream as a client does: it takes a stream that has broken off up
// at another daemon. It returns the versions of the events and how often it was taken up.
func playStream(e *environment, id string, at int, deadline time.Duration) (versions []string, taken int) {
	end := time.Now().Add(deadline)
	seen, last := map[string]bool{}, ""
	for try := 0; try < 6 && time.Until(end) > time.Second; try++ {
		c := call{id: id, method: "POST", path: "/draft/1", body: "brief", deadline: time.Until(end)}
		if try > 0 {
			c.id = fmt.Sprintf("%s-%d", id, try)
		}
		if last != "" {
			c.lastEvent, c.resumes = last, id
			taken++
		}
		r := send(e.record, e.daemons[(at+try)%len(e.daemons)].frontend(), c)
		if r.status == 200 {
			for event := range strings.SplitSeq(r.body, "\n\n") {
				number, version, ok := strings.Cut(strings.TrimPrefix(event, "id: "), "\ndata: version ")
				if !ok {
					continue
				}
				if last == "" {
					// The stream is named by the attempt that brought its first event.
					id = c.id
				}
				last = number
				if !seen[version] {
					seen[version] = true
					versions = append(versions, version)
				}
			}
			if r.whole {
				return versions, taken
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return versions, taken
}
