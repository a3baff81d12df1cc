package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// sent is one request of a caller, and how it ended.
type sent struct {
	id      string
	daemon  *daemon
	key     string
	at      time.Time
	status  int
	signed  bool
	answer  string
	err     error
	elapsed time.Duration
}

// caller sends requests at a steady rate to one daemon.
type caller struct {
	env    *env
	daemon *daemon
	prefix string
	key    string
	path   string
	every  time.Duration
	client http.Client

	mu   sync.Mutex
	sent []sent
}

func (c *caller) run(ctx context.Context) {
	var running sync.WaitGroup
	ticker := time.NewTicker(c.every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case <-ticker.C:
			id := fmt.Sprintf("%s-%d-%05d", c.prefix, c.daemon.n, n)
			running.Go(func() {
				s := send(&c.client, c.daemon, id, c.key, c.path, nil)
				c.mu.Lock()
				c.sent = append(c.sent, s)
				c.mu.Unlock()
			})
		}
	}
}

func (c *caller) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.sent...)
}

// send sends one request and reads its whole answer.
func send(client *http.Client, d *daemon, id, key, path string, header map[string]string) sent {
	const deadline = 1500 * time.Millisecond
	s := sent{id: id, daemon: d, key: key, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend()+path, strings.NewReader("body"))
	if err != nil {
		s.err = err
		return s
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(answer.Body)
		answer.Body.Close()
		s.status, s.signed, s.answer = answer.StatusCode, answer.Header.Get("X-Server-Signature") != "", strings.TrimSpace(string(body))
	}
	s.err, s.elapsed = err, time.Since(s.at)
	return s
}
