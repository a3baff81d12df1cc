// Package engineclient is the HTTP client of a model engine.
//
// Generations and orders are sent with oneshot, so that an engine receives each at
// most once. Reads and cancels are idempotent and share connections.
package engineclient

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
	"github.com/samphirewing/samphirewing/transport/jsoncall"
	"github.com/samphirewing/samphirewing/transport/oneshot"
)

const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 4 * time.Second
	defaultCallTimeout   = 2 * time.Second
	defaultOrderTimeout  = 2 * time.Minute
	defaultMaxFrameBytes = 64 << 10
	maxStateBytes        = 1 << 20
	maxErrorBytes        = 16 << 10
)

// Options sets the limits of calls to an engine. Zero fields take the defaults.
type Options struct {
	// ConnectTimeout bounds a dial; 2 s by default.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the time until an engine accepts a generation; 10 s by
	// default.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next frame or keep-alive of an answer;
	// 4 s by default.
	IdleTimeout time.Duration
	// CallTimeout bounds load, cache-event, state and cancel calls; 2 s by
	// default.
	CallTimeout time.Duration
	// OrderTimeout bounds an order, for which the engine may have to load weights;
	// 2 min by default.
	OrderTimeout time.Duration
	// MaxFrameBytes bounds one frame; 64 KiB by default.
	MaxFrameBytes int
	// Events receives the client's events; they are discarded by default.
	Events events.Sink
}

func (o Options) withDefaults() Options {
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, defaultHeaderTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, defaultOrderTimeout)
	o.MaxFrameBytes = cmp.Or(o.MaxFrameBytes, defaultMaxFrameBytes)
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	return o
}

// Client is the client of one engine. It is safe for concurrent use. Errors of its
// methods are those defined in package edge.
type Client struct {
	name        string
	options     Options
	generations *oneshot.Client
	orders      *oneshot.Client
	calls       *jsoncall.Client
}

var _ edge.Engine = (*Client)(nil)

// New returns a client of the engine at a base URL such as "http://127.0.0.1:8080".
// The name is used in error messages and events.
func New(name, baseURL string, options Options) *Client {
	options = options.withDefaults()
	return &Client{
		name:    name,
		options: options,
		generations: oneshot.New(baseURL, oneshot.Options{
			ConnectTimeout: options.ConnectTimeout,
			HeaderTimeout:  options.HeaderTimeout,
			IdleTimeout:    options.IdleTimeout,
		}),
		orders: oneshot.New(baseURL, oneshot.Options{
			ConnectTimeout: options.ConnectTimeout,
			HeaderTimeout:  options.OrderTimeout,
			IdleTimeout:    options.OrderTimeout,
		}),
		calls: jsoncall.New(baseURL, options.CallTimeout),
	}
}

func (c *Client) Close() { c.calls.Close() }

// Generate sends the request at most once.
func (c *Client) Generate(ctx context.Context, g edge.Generation) (edge.FrameStream, error) {
	body := enginewire.Generate{
		Attempt:     toWireAttempt(g.Attempt),
		Model:       g.Model,
		Prompt:      g.Prompt,
		MaxTokens:   g.MaxTokens,
		Seed:        g.Seed,
		Temperature: g.Temperature,
		Stop:        g.Stop,
	}
	return c.openStream(ctx, enginewire.PathGenerate, body, g.Attempt, 0, g.TraceParent)
}

// Resume continues an attempt's answer after the given sequence number.
func (c *Client) Resume(ctx context.Context, a edge.Attempt, after uint64) (edge.FrameStream, error) {
	body := enginewire.Resume{Attempt: toWireAttempt(a), After: after}
	return c.openStream(ctx, enginewire.PathResume, body, a, after, "")
}

// Cancel stops an attempt.
func (c *Client) Cancel(ctx context.Context, a edge.Attempt) error {
	return c.call(ctx, http.MethodPost, enginewire.PathCancel, toWireAttempt(a), nil)
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context) (edge.EngineLoad, error) {
	var l enginewire.Load
	if err := c.call(ctx, http.MethodGet, enginewire.PathLoad, nil, &l); err != nil {
		return edge.EngineLoad{}, err
	}
	return edge.EngineLoad{
		Age:           time.Duration(l.AgeMillis) * time.Millisecond,
		Running:       l.Running,
		Waiting:       l.Waiting,
		TokensInUse:   l.TokensInUse,
		TokenCapacity: l.TokenCapacity,
	}, nil
}

// CacheEvents returns the engine's cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]edge.EngineCacheEvent, error) {
	var answer enginewire.CacheEvents
	path := fmt.Sprintf("%s?after=%d", enginewire.PathCacheEvents, after)
	if err := c.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return nil, err
	}
	events := make([]edge.EngineCacheEvent, len(answer.Events))
	for i, e := range answer.Events {
		events[i] = edge.EngineCacheEvent(e)
	}
	return events, nil
}

// State returns the engine's state: the loaded models and adapters, its role and
// the fencing number.
func (c *Client) State(ctx context.Context) (edge.EngineState, error) {
	var s enginewire.State
	if err := c.call(ctx, http.MethodGet, enginewire.PathState, nil, &s); err != nil {
		return edge.EngineState{}, err
	}
	return edge.EngineState(s), nil
}

// Order sends the desired state at most once and returns the resulting state. It
// returns edge.ErrFenced if the engine has seen a higher fencing number.
func (c *Client) Order(ctx context.Context, o edge.EngineOrder) (edge.EngineState, error) {
	state, err := c.order(ctx, o)
	if err != nil {
		c.emitOrderError(o.Fencing, err)
	}
	return state, err
}

func (c *Client) order(ctx context.Context, o edge.EngineOrder) (edge.EngineState, error) {
	body, err := json.Marshal(enginewire.Order{
		Fencing:  o.Fencing,
		Models:   o.Models,
		Adapters: o.Adapters,
		Role:     o.Role,
	})
	if err != nil {
		return edge.EngineState{}, c.wrapError(err, edge.ErrNotSent)
	}
	response, err := c.orders.Send(ctx, post(enginewire.PathOrder, body, ""))
	if err != nil {
		return edge.EngineState{}, c.sendError(err)
	}
	data, err := response.ReadAll(maxStateBytes)
	if err != nil {
		return edge.EngineState{}, c.wrapError(err, edge.ErrIndeterminate)
	}
	if response.Status != http.StatusOK {
		return edge.EngineState{}, c.statusError(response.Status, data)
	}
	var s enginewire.State
	if err := json.Unmarshal(data, &s); err != nil {
		return edge.EngineState{}, c.wrapError(err, edge.ErrIndeterminate)
	}
	return edge.EngineState(s), nil
}

func (c *Client) openStream(ctx context.Context, path string, body any, a edge.Attempt, after uint64, traceParent string) (edge.FrameStream, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, c.wrapError(err, edge.ErrNotSent)
	}
	response, err := c.generations.Send(ctx, post(path, encoded, traceParent))
	if err != nil {
		err = c.sendError(err)
		c.emitStreamError(a, after, err)
		return nil, err
	}
	if response.Status != http.StatusOK {
		data, err := response.ReadAll(maxErrorBytes)
		if err != nil {
			return nil, c.wrapError(err, edge.ErrIndeterminate)
		}
		return nil, c.statusError(response.Status, data)
	}
	return newStream(c, response, a, after), nil
}

func post(path string, body []byte, traceParent string) oneshot.Request {
	header := http.Header{"Content-Type": {"application/json"}}
	if traceParent != "" {
		header.Set("Traceparent", traceParent)
	}
	return oneshot.Request{Method: http.MethodPost, Path: path, Header: header, Body: body}
}

// call makes an idempotent call and decodes its response into result, unless that
// is nil.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	response, err := c.calls.Call(ctx, method, path, body)
	if err != nil {
		return c.wrapError(err, edge.ErrIndeterminate)
	}
	if response.Status != http.StatusOK {
		return c.statusError(response.Status, response.Body)
	}
	if result == nil {
		return nil
	}
	if err := response.Decode(result); err != nil {
		return c.wrapError(err, edge.ErrIndeterminate)
	}
	return nil
}

func toWireAttempt(a edge.Attempt) enginewire.Attempt {
	return enginewire.Attempt{Request: a.Request, Attempt: a.Number}
}

func (c *Client) wrapError(err error, kind errors.ConstError) error {
	return fault.New(kind, errors.Annotatef(err, "engine %s", c.name))
}

func (c *Client) sendError(err error) error {
	if errors.Is(err, oneshot.ErrNotSent) {
		return c.wrapError(err, edge.ErrNotSent)
	}
	return c.wrapError(err, edge.ErrIndeterminate)
}

func (c *Client) statusError(status int, body []byte) error {
	var e enginewire.Error
	if json.Unmarshal(body, &e) != nil || e.Error == "" {
		e.Error = "no message"
	}
	return c.wrapError(errors.Errorf("status %d: %s", status, e.Error), errorForStatus(status))
}

// errorForStatus maps a status other than 200 to an error.
func errorForStatus(status int) errors.ConstError {
	if status == http.StatusPreconditionFailed {
		return edge.ErrFenced
	}
	return edge.ErrorForStatus(status)
}
