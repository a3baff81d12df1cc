// Package serviceclient is the HTTP client of one plain service.
package serviceclient

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/oneshot"
)

const (
	// PathCall is followed by the service's name.
	PathCall = "/v1/call/"

	defaultAnswerTimeout  = 30 * time.Second
	defaultMaxAnswerBytes = 1 << 20
)

// Options bounds the calls. A zero field takes its default.
type Options struct {
	// ConnectTimeout bounds a dial; 2 s by default.
	ConnectTimeout time.Duration
	// ResponseTimeout is the longest silence before and inside an answer; 30 s
	// by default.
	ResponseTimeout time.Duration
	// MaxAnswerBytes bounds an answer; 1 MiB by default.
	MaxAnswerBytes int64
	// Events receives the client's events; they are dropped by default.
	Events events.Sink
}

// Envelope is the body of a call. Payload is the caller's body, base64 in
// JSON; Key is never sent as a header, since HTTP libraries take such a header
// for a licence to repeat the request.
type Envelope struct {
	Key     string `json:"key"`
	Payload []byte `json:"payload"`
}

// Client is the client of one service. It is safe for concurrent use.
type Client struct {
	name    string
	options Options
	http    *oneshot.Client
}

var _ edge.Service = (*Client)(nil)

// New returns the client of the service endpoint at a base URL such as
// "http://127.0.0.1:8080". The name stands in error messages.
func New(name, baseURL string, options Options) *Client {
	options.ResponseTimeout = cmp.Or(options.ResponseTimeout, defaultAnswerTimeout)
	options.MaxAnswerBytes = cmp.Or(options.MaxAnswerBytes, defaultMaxAnswerBytes)
	if options.Events == nil {
		options.Events = events.Discard{}
	}
	return &Client{name: name, options: options, http: oneshot.New(baseURL, oneshot.Options{
		ConnectTimeout: options.ConnectTimeout,
		HeaderTimeout:  options.ResponseTimeout,
		IdleTimeout:    options.ResponseTimeout,
	})}
}

// Call sends the call once. A status of 2xx is an answer. 4xx and 503 say
// that the service did not take the call, any other status that it ran and
// failed; the answer is returned beside the error then.
func (c *Client) Call(ctx context.Context, call edge.ServiceCall) (edge.ServiceResponse, error) {
	request, err := encode(call)
	if err != nil {
		return edge.ServiceResponse{}, c.fault(err, edge.ErrNotSent)
	}
	response, err := c.http.Send(ctx, request)
	if errors.Is(err, oneshot.ErrNotSent) {
		return edge.ServiceResponse{}, c.fault(err, edge.ErrNotSent)
	}
	if err != nil {
		return edge.ServiceResponse{}, c.lost(call, err)
	}
	body, err := response.ReadAll(c.options.MaxAnswerBytes)
	if err != nil {
		return edge.ServiceResponse{}, c.lost(call, err)
	}
	answer := edge.ServiceResponse{Status: response.Status, Body: body}
	return answer, c.statusFault(response.Status)
}

func encode(call edge.ServiceCall) (oneshot.Request, error) {
	body, err := json.Marshal(Envelope{Key: call.Key, Payload: call.Body})
	if err != nil {
		return oneshot.Request{}, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if call.TraceParent != "" {
		header.Set("Traceparent", call.TraceParent)
	}
	path := PathCall + url.PathEscape(call.Service)
	return oneshot.Request{Method: http.MethodPost, Path: path, Header: header, Body: body}, nil
}

func (c *Client) statusFault(status int) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	return c.fault(errors.Errorf("status %d", status), edge.StatusKind(status))
}

// lost reports an answer that was lost after sending.
func (c *Client) lost(call edge.ServiceCall, err error) error {
	c.options.Events.Emit(eventAnswerLost,
		events.F("endpoint", c.name),
		events.F("service", call.Service),
		events.F("key", call.Key),
		events.F("error", err.Error()))
	return c.fault(err, edge.ErrIndeterminate)
}

func (c *Client) fault(err error, kind errors.ConstError) error {
	return fault.New(kind, errors.Annotatef(err, "service %s", c.name))
}
