package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["halfclose"] = playHalfClose }

const (
	halfBookings = 20
	halfStreams  = 10
	halfEvents   = 20
)

// playHalfClose sends bookings and streams, each as the only request of its connection.
// The disruption is that the client closes its sending half when it has sent the request,
// or some time later, and reads the answer nevertheless.
func playHalfClose(e *environment) (outcome, error) {
	e.publish(1, route("draft", "streaming", "engines", 2, true, 10*time.Second), route("book", "non_idempotent", "orders", 1, false, 3*time.Second))
	for i := range 3 {
		if _, err := e.addRunner(fmt.Sprintf("orders-%d", i), "orders", "v1", func(_ *runner, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			fmt.Fprintln(w, "booked")
		}); err != nil {
			return outcome{}, err
		}
		if _, err := e.addRunner(fmt.Sprintf("engine-%d", i), "engines", "v1", streamOf(halfEvents, 25*time.Millisecond)); err != nil {
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
	unsigned, unrun, short := 0, 0, 0
	for i := range halfBookings {
		id := fmt.Sprintf("book-%d", i)
		// By turns at once and while the runner is at work.
		r := e.sendAndHalfClose(d.frontend(), call{id: id, method: "POST", path: "/book/1", body: "order", deadline: 3 * time.Second}, time.Duration(i%2)*40*time.Millisecond)
		if r.status/100 == 2 && r.whole && r.header.Get("X-Server-Signature") == "" {
			unsigned++
			if len(e.record.runsOf(id)) == 0 {
				unrun++
			}
		}
	}
	for i := range halfStreams {
		r := e.sendAndHalfClose(d.frontend(), call{id: fmt.Sprintf("draft-%d", i), method: "POST", path: "/draft/1", body: "brief", deadline: 10 * time.Second}, 200*time.Millisecond)
		if r.status/100 == 2 && r.whole && strings.Count(r.body, "\n\n") < halfEvents {
			short++
		}
	}
	return outcome{broken: unsigned+short > 0, summary: fmt.Sprintf("%d of %d bookings were answered 200 without a runner's signature, %d of them had reached no runner; %d of %d streams ended as complete before their last event", unsigned, halfBookings, unrun, short, halfStreams)}, nil
}

// sendAndHalfClose sends a request on a new connection and reads the answer. With the
// disruption, it closes the sending half a while after the request.
func (e *environment) sendAndHalfClose(address string, c call, after time.Duration) (r result) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	e.record.note("send %s to %s: %s %s", c.id, address, c.method, c.path)
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", c.method, c.path, host, c.id, c.deadline.Milliseconds(), apiKey, len(c.body), c.body)
	if e.trouble {
		time.Sleep(after)
		e.record.note("%s: the client closes its sending half", c.id)
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	defer func() {
		e.record.note("answer to %s: status %d, %d bytes, whole %v, signature %q, error %v", c.id, r.status, len(r.body), r.whole, r.header.Get("X-Server-Signature"), r.err)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil, err: err}
}
