// Package platformclient holds the HTTP clients of the platform: the log
// service, the membership list and the weight store.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
)

const (
	defaultTimeout = 3 * time.Second
	maxAnswerBytes = 64 << 20
	maxHeaderBytes = 16 << 10
	maxIdleConns   = 8
)

// Options bounds the calls. A zero field takes its default.
type Options struct {
	// Timeout bounds one whole call; 3 s by default.
	Timeout time.Duration
	// Events receives the client's events; they are dropped by default.
	Events events.Sink
}

func (o Options) timeout() time.Duration {
	if o.Timeout <= 0 {
		return defaultTimeout
	}
	return o.Timeout
}

// caller makes calls that are safe to repeat.
type caller struct {
	baseURL string
	http    *http.Client
}

func newCaller(baseURL string, options Options) caller {
	return caller{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		http: &http.Client{
			Timeout: options.timeout(),
			Transport: &http.Transport{
				MaxIdleConnsPerHost:    maxIdleConns,
				MaxResponseHeaderBytes: maxHeaderBytes,
				DisableCompression:     true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// call sends body as JSON, unless it is nil, and decodes the answer into
// answer, unless that is nil. The status is returned when there is one.
func (c caller) call(ctx context.Context, method, path string, body, answer any) (int, error) {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return response.StatusCode, errors.Trace(err)
	}
	if answer != nil && (response.StatusCode == http.StatusOK || response.StatusCode == http.StatusGone) {
		return response.StatusCode, errors.Trace(json.Unmarshal(data, answer))
	}
	return response.StatusCode, nil
}

func (c caller) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.baseURL+path, nil)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
}
