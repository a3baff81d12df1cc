// Package jsoncall makes idempotent HTTP calls with JSON bodies.
//
// Connections are shared, and net/http may retry a call when its connection was
// closed while idle. Calls that may run at most once must use package oneshot.
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	maxResponseBytes = 64 << 20
	maxHeaderBytes   = 16 << 10
	maxIdleConns     = 8
)

// Client calls one server. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client for a base URL such as "http://127.0.0.1:8080". The timeout
// bounds each call, including its response.
func New(baseURL string, timeout time.Duration) *Client {
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		http: &http.Client{
			Timeout: timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost:    maxIdleConns,
				MaxResponseHeaderBytes: maxHeaderBytes,
				DisableCompression:     true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Response is a complete response of any status.
type Response struct {
	Status int
	Body   []byte
}

// Decode decodes the body into v.
func (r Response) Decode(v any) error { return errors.Annotate(json.Unmarshal(r.Body, v), "answer") }

// Call sends body as JSON, unless it is nil, and returns the response.
func (c *Client) Call(ctx context.Context, method, path string, body any) (Response, error) {
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	if len(data) > maxResponseBytes {
		return Response{}, errors.Errorf("answer is larger than %d bytes", maxResponseBytes)
	}
	return Response{Status: response.StatusCode, Body: data}, nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.baseURL+path, nil)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
}
