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

const (
	host   = "desk.example"
	apiKey = "key-of-the-counter"
)

// channel is one connection of a requester to a daemon.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// message is a request as a requester sends it.
type message struct {
	id, path string
	deadline time.Duration
	body     string
	header   []string
	// key replaces the usual key if it is not empty.
	key string
}

func (m message) text() string {
	key := m.key
	if key == "" {
		key = apiKey
	}
	lines := []string{
		"POST " + m.path + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + m.id, "Authorization: Bearer " + key,
		fmt.Sprintf("X-Deadline-Ms: %d", m.deadline.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(m.body)),
	}
	return strings.Join(append(lines, m.header...), "\r\n") + "\r\n\r\n" + m.body
}

// answer is what a requester has seen of the answer to a request.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the channel ended without a complete answer.
	err   error
	after time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %v (status %d, %d bytes): %v", a.after.Round(time.Millisecond), a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d after %v, %d bytes, Retry-After %q", a.status, a.after.Round(time.Millisecond), len(a.body), a.header.Get("Retry-After"))
}

// ask sends a request and reads its answer until a time after the deadline.
func (c *channel) ask(m message) (a answer) {
	started := time.Now()
	defer func() { a.after = time.Since(started) }()
	_ = c.conn.SetDeadline(started.Add(m.deadline + time.Second))
	if _, err := io.WriteString(c.conn, m.text()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// askAt asks on a new channel.
func askAt(address string, m message) answer {
	c, err := openChannel(address)
	if err != nil {
		return answer{err: fmt.Errorf("not sent: %w", err)}
	}
	defer c.conn.Close()
	return c.ask(m)
}
