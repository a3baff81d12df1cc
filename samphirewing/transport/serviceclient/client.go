// Package serviceclient is the HTTP client of a plain service.
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

	defaultResponseTimeout  = 30 * time.Second
	defaultMaxResponseBytes = 1 << 20
)

// Options configures a client. Zero fields take the defaults.
type Options struct {
	// ConnectTimeout bounds a dial; 2 s by default.
	ConnectTimeout time.Duration
	// ResponseTimeout bounds the wait for the response header, and then for more
	// bytes of the body; 30 s by default.
	ResponseTimeout time.Duration
	// MaxResponseBytes bounds the response body; 1 MiB by default.
	MaxResponseBytes int64
	// Events receives the client's events; they are discarded by default.
	Events events.Sink
}

// Envelope is the body of a call. Payload is the caller's body, encoded as base64 in
// JSON. Key is the idempotency key; it is never sent as a header, since HTTP
// libraries retry requests that have such a header.
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

// New returns a client of the service endpoint at a base URL such as
// "http://127.0.0.1:8080". The name is used in error messages and events.
func New(name, baseURL string, options Options) *Client {
	options.ResponseTimeout = cmp.Or(options.ResponseTimeout, defaultResponseTimeout)
	options.MaxResponseBytes = cmp.Or(options.MaxResponseBytes, defaultMaxResponseBytes)
	if options.Events == nil {
		options.Events = events.Discard{}
	}
	return &Client{name: name, options: options, http: oneshot.New(baseURL, oneshot.Options{
		ConnectTimeout: options.ConnectTimeout,
		HeaderTimeout:  options.ResponseTimeout,
		IdleTimeout:    options.ResponseTimeout,
	})}
}

// Call sends the call once. A 2xx status is a success. Any other status is returned
// as the response together with an error: edge.ErrRejected for 3xx, 4xx and 503,
// which mean that the service did not accept the call, and edge.ErrFailed otherwise.
func (c *Client) Call(ctx context.Context, call edge.ServiceCall) (edge.ServiceResponse, error) {
	request, err := encode(call)
	if err != nil {
		return edge.ServiceResponse{}, c.wrapError(err, edge.ErrNotSent)
	}
	response, err := c.http.Send(ctx, request)
	if errors.Is(err, oneshot.ErrNotSent) {
		return edge.ServiceResponse{}, c.wrapError(err, edge.ErrNotSent)
	}
	if err != nil {
		return edge.ServiceResponse{}, c.reportLostResponse(call, err)
	}
	body, err := response.ReadAll(c.options.MaxResponseBytes)
	if err != nil {
		return edge.ServiceResponse{}, c.reportLostResponse(call, err)
	}
	answer := edge.ServiceResponse{Status: response.Status, Body: body}
	return answer, c.statusError(response.Status)
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

func (c *Client) statusError(status int) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	return c.wrapError(errors.Errorf("status %d", status), edge.ErrorForStatus(status))
}

// reportLostResponse emits the event for a response that was lost after the call
// was sent, and returns the error.
func (c *Client) reportLostResponse(call edge.ServiceCall, err error) error {
	c.options.Events.Emit(eventAnswerLost,
		events.F("endpoint", c.name),
		events.F("service", call.Service),
		events.F("key", call.Key),
		events.F("error", err.Error()))
	return c.wrapError(err, edge.ErrIndeterminate)
}

func (c *Client) wrapError(err error, kind errors.ConstError) error {
	return fault.New(kind, errors.Annotatef(err, "service %s", c.name))
}
