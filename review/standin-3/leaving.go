package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

const (
	leavingRunners = 7
	leavingClients = 42
	leavingEvents  = 50
	leavingPause   = 100 * time.Millisecond
	// noticeTime is the time between a runner's notice that it leaves and its end.
	noticeTime = 2 * time.Second
)

// unframed answers with a stream that has neither a length nor chunks and ends with its
// connection. If the runner is killed, the system closes the connection.
func unframed(events int, pause time.Duration) responder {
	return func(run *runner, w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		leaving := ""
		if run.currentState() == "draining" {
			leaving = "Server-Leaving: 1\r\n"
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n%sConnection: close\r\n\r\n", r.Header.Get("X-Attempt-Id"), w.Header().Get("X-Server-Signature"), leaving)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := last + 1; n <= events; n++ {
			select {
			case <-run.closed:
				return
			case <-time.After(pause):
			}
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: version %s\n\n", n, run.version); err != nil {
				return
			}
		}
	}
}

// playLeaving lets one of seven runners leave while streams are in progress. The
// disruption ends its process two seconds after its notice; without it, the runner stays
// until its streams have ended.
func playLeaving(e *environment) (outcome, error) {
	e.publish(1, route("draft", "streaming", "engines", 2, true, 15*time.Second))
	for i := range leavingRunners {
		if _, err := e.addRunner(fmt.Sprintf("engine-%d", i), "engines", "v1", unframed(leavingEvents, leavingPause)); err != nil {
			return outcome{}, err
		}
	}
	d, err := e.startDaemon(1, 414)
	if err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole, short, broken := 0, 0, 0
	for c := range leavingClients {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 5 * time.Second / leavingClients)
			for n := range 2 {
				id := fmt.Sprintf("draft-%d-%d", c, n)
				conn, err := net.DialTimeout("tcp", d.frontend(), time.Second)
				if err != nil {
					continue
				}
				r := sendOn(e.record, conn, call{id: id, method: "POST", path: "/draft/1", body: "brief", deadline: 15 * time.Second})
				conn.Close()
				events := strings.Count(r.body, "\n\n")
				mu.Lock()
				switch {
				case r.status != http.StatusOK || !r.whole:
					broken++
				case events == leavingEvents:
					whole++
				default:
					short++
					e.record.note("%s ended as complete after %d of %d events", id, events, leavingEvents)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	leaving := e.runners[0]
	for _, run := range e.runners {
		if run.active.Load() > leaving.active.Load() {
			leaving = run
		}
	}
	e.record.note("%s says that it leaves, with %d streams in progress", leaving.id, leaving.active.Load())
	leaving.setState("draining")
	if e.trouble {
		time.Sleep(noticeTime)
		e.record.note("%s is gone, with %d streams in progress", leaving.id, leaving.active.Load())
		leaving.kill()
	}
	clients.Wait()
	return outcome{broken: short > 0, summary: fmt.Sprintf("%d streams were whole, %d were broken off, and %d ended as complete before their last event", whole, broken, short)}, nil
}
