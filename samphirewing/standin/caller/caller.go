// Package caller is a stand-in of the platform's callers: it asks daemons for
// addresses, keeps connections open and reads answers as strictly as callers
// do.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Request is one request of a caller.
type Request struct {
	ID   string
	Host string
	Path string
	Key  string
	// Tokens is the size that the caller declares; zero declares none.
	Tokens   int
	Deadline time.Duration
}

// Answer is what a caller got.
type Answer struct {
	Status int
	Body   []byte
	// Signed tells whether an endpoint's signature came with the answer.
	Signed bool
	// Err is set when the connection failed or the answer ended early.
	Err error
	// Dialled is false when no connection could be made, so that the request
	// was not sent.
	Dialled bool
}

// Caller is one caller. It is safe for concurrent use.
type Caller struct{ http http.Client }

// Dialer opens a connection to a daemon's published address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a caller that connects with dial.
func New(dial Dialer) *Caller {
	return &Caller{http: http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
		DisableCompression: true, MaxIdleConnsPerHost: 4,
	}}}
}

// dialError marks a request that was not sent.
type dialError struct{ error }

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Ask sends a request to a daemon and reads the answer whole.
func (c *Caller) Ask(ctx context.Context, address string, r Request) Answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, strings.NewReader("body"))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = r.Host
	request.Header.Set("X-Attempt-Id", r.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+r.Key)
	if r.Tokens > 0 {
		request.Header.Set("X-Token-Usage", fmt.Sprintf("%d,0", r.Tokens))
	}
	answer, err := c.http.Do(request)
	if err != nil {
		var undialled *dialError
		return Answer{Err: err, Dialled: !errors.As(err, &undialled)}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return Answer{Status: answer.StatusCode, Body: body, Signed: answer.Header.Get("X-Server-Signature") != "", Err: err, Dialled: true}
}

// Resolve asks a daemon's directory for addresses.
func (c *Caller) Resolve(ctx context.Context, directory, host string) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/samphirewing/resolve?Name="+host, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("directory %s answered %d", directory, answer.StatusCode)
	}
	var list struct{ Addresses []string }
	return list.Addresses, errors.Trace(json.NewDecoder(answer.Body).Decode(&list))
}

// Event is one event of a stream.
type Event struct {
	Number   string
	Data     string
	Complete bool
}

// Events splits the body of a stream.
func Events(body []byte) []Event {
	var all []Event
	var e Event
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		line := lines.Text()
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			e.Number = number
		} else if data, ok := strings.CutPrefix(line, "data: "); ok {
			e.Data = data
		} else if line == "" {
			e.Complete = true
			all = append(all, e)
			e = Event{}
		}
	}
	if e != (Event{}) {
		all = append(all, e)
	}
	return all
}
