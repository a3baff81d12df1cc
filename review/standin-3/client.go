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

// call is one attempt of a client.
type call struct {
	id, method, path string
	body             string
	deadline         time.Duration
	// lastEvent and resumes are set for a stream that is taken up.
	lastEvent, resumes string
	headers            string
}

// result is what the client has received.
type result struct {
	status int
	header http.Header
	body   string
	// whole is set if the answer is complete as HTTP frames it.
	whole bool
	err   error
}

const (
	host   = "shop.example"
	apiKey = "key-of-the-shop"
)

// send makes one attempt on a new connection.
func send(rec *record, address string, c call) result {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	return sendOn(rec, conn, c)
}

func sendOn(rec *record, conn net.Conn, c call) result {
	return exchangeOn(rec, conn, c, func(string) {})
}

// exchangeOn makes one attempt on a connection. began is called with the signature when
// the head of the answer has arrived.
func exchangeOn(rec *record, conn net.Conn, c call, began func(signature string)) result {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", c.method, c.path, host, c.id, c.deadline.Milliseconds(), apiKey)
	if c.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", c.lastEvent, c.resumes)
	}
	b.WriteString(c.headers)
	if c.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	rec.note("send %s to %s: %s %s last-event %q", c.id, conn.RemoteAddr(), c.method, c.path, c.lastEvent)
	_ = conn.SetDeadline(time.Now().Add(c.deadline + 500*time.Millisecond))
	var r result
	defer func() {
		rec.note("answer to %s: status %d, %d bytes, whole %v, signature %q, error %v", c.id, r.status, len(r.body), r.whole, r.header.Get("X-Server-Signature"), r.err)
	}()
	if _, r.err = io.WriteString(conn, b.String()); r.err != nil {
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	r.status, r.header = response.StatusCode, response.Header
	began(r.header.Get("X-Server-Signature"))
	body, err := io.ReadAll(response.Body)
	r.body, r.whole, r.err = string(body), err == nil, err
	return r
}
