// Package httpcall sends HTTP requests whose answers may be large and arrive over slow
// links. A time limit for the whole call would cut off an answer that arrives steadily,
// and begin it again at its first byte.
package httpcall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// StallTimeout and TransferTimeout bound the time without a byte of an answer that
	// has begun, and that for all of it. A megabyte takes 0.84 s on a link of 10 Mbit/s
	// that carries nothing else.
	StallTimeout    = 700 * time.Millisecond
	TransferTimeout = 4 * time.Second
)

// Answer is the answer to a call.
type Answer struct {
	Status  int
	Header  http.Header
	Content []byte
	// BegunAt is when the answer began to arrive. It says nothing of what has happened
	// at the server since.
	BegunAt time.Time
}

// Do sends a request and reads at most so many bytes of its answer. limit bounds the time
// until it begins.
func Do(client *http.Client, request *http.Request, limit time.Duration, maxBytes int64) (Answer, error) {
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	timer := time.AfterFunc(limit, cancel)
	defer timer.Stop()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	defer response.Body.Close()
	answer := Answer{Status: response.StatusCode, Header: response.Header, BegunAt: time.Now()}
	body := &transfer{source: io.LimitReader(response.Body, maxBytes), timer: timer, until: answer.BegunAt.Add(TransferTimeout)}
	body.extend()
	answer.Content, err = io.ReadAll(body)
	return answer, errors.Trace(err)
}

// transfer reads an answer and moves the timer that ends its call as bytes arrive.
type transfer struct {
	source io.Reader
	timer  *time.Timer
	until  time.Time
}

// Read implements io.Reader.
func (t *transfer) Read(p []byte) (int, error) {
	n, err := t.source.Read(p)
	if n > 0 {
		t.extend()
	}
	return n, err
}

func (t *transfer) extend() { t.timer.Reset(min(StallTimeout, time.Until(t.until))) }
