package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = playRefused }

const (
	// failingFor and failedOf are the length of the disruption and the part of the
	// requests that fail: one in three.
	failingFor = 4 * time.Second
	failedOf   = 3
	bookPause  = 60 * time.Millisecond
)

// playRefused sends bookings that may run once at most to a service whose runners fail
// part of them after they have run, with the status 503 and without the header that says
// that a request has not run. The client repeats what it was answered 503 for, since that
// promises that the request has not run.
func playRefused(e *environment) (outcome, error) {
	e.publish(1, route("book", "non_idempotent", "orders", 1, false, 3*time.Second))
	var failing atomic.Bool
	var count atomic.Int64
	for i := range 3 {
		if _, err := e.addRunner(fmt.Sprintf("orders-%d", i), "orders", "v1", func(run *runner, w http.ResponseWriter, r *http.Request) {
			time.Sleep(15 * time.Millisecond)
			if failing.Load() && count.Add(1)%failedOf == 0 {
				run.record.note("%s fails %s with 503 after running it", run.id, r.Header.Get("X-Attempt-Id"))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprintln(w, "booked")
		}); err != nil {
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
	failing.Store(e.trouble)
	book := func(id string) result {
		return send(e.record, d.frontend(), call{id: id, method: "POST", path: "/book/1", body: "order", deadline: 3 * time.Second})
	}
	sent, refused, repeated := 0, 0, 0
	for end := time.Now().Add(failingFor); time.Now().Before(end); time.Sleep(bookPause) {
		id := fmt.Sprintf("book-%d", sent)
		sent++
		if r := book(id); r.status == http.StatusServiceUnavailable && len(e.record.runsOf(id)) > 0 {
			refused++
			if again := id + "-again"; book(again).err == nil && len(e.record.runsOf(again)) > 0 {
				repeated++
			}
		}
	}
	return outcome{broken: refused > 0, summary: fmt.Sprintf("of %d bookings, %d were answered 503 though they had run; the client sent these again, and %d of them ran again", sent, refused, repeated)}, nil
}
