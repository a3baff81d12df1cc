// Package caller is a stand-in for the platform's callers. It resolves
// addresses at daemons, reuses connections and reads responses as strictly as
// callers do.
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
	// Tokens is the declared token count; zero sends none.
	Tokens int
	// PromptParts is the list of the prompt's parts; empty sends none.
	PromptParts string
	Deadline    time.Duration
	// LastEventID is the last event that the caller has of a stream that it takes up,
	// Resumes the ID of the attempt that brought its first event.
	LastEventID, Resumes string
}

// Response is the outcome of a request.
type Response struct {
	Status int
	Body   []byte
	// Signed reports whether the response has an endpoint's signature.
	Signed bool
	// Err is set if the connection failed or the response was truncated.
	Err error
	// Dialled is false if no connection could be opened, so that the request
	// was not sent.
	Dialled bool
}

// Caller sends requests to daemons. It is safe for concurrent use.
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

// dialError is a failure to connect: the request was not sent.
type dialError struct{ error }

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Send sends a request to a daemon and reads the complete response.
func (c *Caller) Send(ctx context.Context, address string, r Request) Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, strings.NewReader("body"))
	if err != nil {
		return Response{Err: err}
	}
	request.Host = r.Host
	request.Header.Set("X-Attempt-Id", r.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+r.Key)
	if r.Tokens > 0 {
		request.Header.Set("X-Token-Usage", fmt.Sprintf("%d,0", r.Tokens))
	}
	if r.PromptParts != "" {
		request.Header.Set("X-Prefix-Hash", r.PromptParts)
	}
	if r.LastEventID != "" {
		request.Header.Set("Last-Event-Id", r.LastEventID)
		request.Header.Set("Resumes", r.Resumes)
	}
	response, err := c.http.Do(request)
	if err != nil {
		var dialErr *dialError
		return Response{Err: err, Dialled: !errors.As(err, &dialErr)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Body: body, Signed: response.Header.Get("X-Server-Signature") != "", Err: err, Dialled: true}
}

// Resolve returns the addresses that a daemon's directory has for a host.
func (c *Caller) Resolve(ctx context.Context, directory, host string) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/samphirewing/resolve?Name="+host, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("directory %s answered %d", directory, response.StatusCode)
	}
	var result struct{ Addresses []string }
	return result.Addresses, errors.Trace(json.NewDecoder(response.Body).Decode(&result))
}

// Event is one event of a stream. It is complete if the empty line that ends it
// was received.
type Event struct {
	ID       string
	Data     string
	Complete bool
}

// ParseEvents parses the body of a stream. The last event may be incomplete.
func ParseEvents(body []byte) []Event {
	var all []Event
	var event Event
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			event.ID = id
		} else if data, ok := strings.CutPrefix(line, "data: "); ok {
			event.Data = data
		} else if line == "" {
			event.Complete = true
			all = append(all, event)
			event = Event{}
		}
	}
	if event != (Event{}) {
		all = append(all, event)
	}
	return all
}
