// Package engineclient is the HTTP client of one model engine.
//
// Generations and orders go through oneshot, so that an engine sees each at
// most once. Reads and cancels are safe to repeat and share connections.
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

// Options bounds the calls to one engine. A zero field takes its default.
type Options struct {
	// ConnectTimeout bounds a dial; 2 s by default.
	ConnectTimeout time.Duration
	// HeaderTimeout is how long an engine may take to accept a generation;
	// 10 s by default.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest silence of an answer, keep-alives counted
	// as sound; 4 s by default.
	IdleTimeout time.Duration
	// CallTimeout bounds load, cache event, state and cancel calls; 2 s by
	// default.
	CallTimeout time.Duration
	// OrderTimeout bounds an order, which may load weights; 2 min by default.
	OrderTimeout time.Duration
	// MaxFrameBytes bounds one frame; 64 KiB by default.
	MaxFrameBytes int
	// Events receives the client's events; they are dropped by default.
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

// Client is the client of one engine. It is safe for concurrent use.
type Client struct {
	name    string
	options Options
	answers *oneshot.Client
	orders  *oneshot.Client
	calls   *jsoncall.Client
}

var _ edge.Engine = (*Client)(nil)

// New returns the client of the engine at a base URL such as
// "http://127.0.0.1:8080". The name stands in error messages.
func New(name, baseURL string, options Options) *Client {
	options = options.withDefaults()
	return &Client{
		name:    name,
		options: options,
		answers: oneshot.New(baseURL, oneshot.Options{
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

// Close closes the idle connections.
func (c *Client) Close() { c.calls.Close() }

// Generate dispatches the request at most once.
func (c *Client) Generate(ctx context.Context, g edge.Generation) (edge.FrameStream, error) {
	body := enginewire.Generate{
		Attempt:     wireAttempt(g.Attempt),
		Model:       g.Model,
		Prompt:      g.Prompt,
		MaxTokens:   g.MaxTokens,
		Seed:        g.Seed,
		Temperature: g.Temperature,
		Stop:        g.Stop,
	}
	return c.openStream(ctx, enginewire.PathGenerate, body, g.Attempt, 0, g.TraceParent)
}

// Resume continues the answer of an attempt after a sequence number.
func (c *Client) Resume(ctx context.Context, a edge.Attempt, after uint64) (edge.FrameStream, error) {
	body := enginewire.Resume{Attempt: wireAttempt(a), After: after}
	return c.openStream(ctx, enginewire.PathResume, body, a, after, "")
}

// Cancel stops an attempt.
func (c *Client) Cancel(ctx context.Context, a edge.Attempt) error {
	return c.call(ctx, http.MethodPost, enginewire.PathCancel, wireAttempt(a), nil)
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

// CacheEvents returns the published cache events after a sequence number.
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

// State returns what the engine has loaded.
func (c *Client) State(ctx context.Context) (edge.EngineState, error) {
	var s enginewire.State
	if err := c.call(ctx, http.MethodGet, enginewire.PathState, nil, &s); err != nil {
		return edge.EngineState{}, err
	}
	return edge.EngineState(s), nil
}

// Order sends the desired state at most once and returns the state that the
// engine reports afterwards. It returns edge.ErrFenced when the engine has
// seen a higher fencing number.
func (c *Client) Order(ctx context.Context, o edge.EngineOrder) (edge.EngineState, error) {
	state, err := c.order(ctx, o)
	if err != nil {
		c.reportOrder(o.Fencing, err)
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
		return edge.EngineState{}, c.fault(err, edge.ErrNotSent)
	}
	response, err := c.orders.Send(ctx, post(enginewire.PathOrder, body, ""))
	if err != nil {
		return edge.EngineState{}, c.sendFault(err)
	}
	data, err := response.ReadAll(maxStateBytes)
	if err != nil {
		return edge.EngineState{}, c.fault(err, edge.ErrIndeterminate)
	}
	if response.Status != http.StatusOK {
		return edge.EngineState{}, c.statusFault(response.Status, data)
	}
	var s enginewire.State
	if err := json.Unmarshal(data, &s); err != nil {
		return edge.EngineState{}, c.fault(err, edge.ErrIndeterminate)
	}
	return edge.EngineState(s), nil
}

func (c *Client) openStream(ctx context.Context, path string, body any, a edge.Attempt, after uint64, trace string) (edge.FrameStream, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, c.fault(err, edge.ErrNotSent)
	}
	response, err := c.answers.Send(ctx, post(path, encoded, trace))
	if err != nil {
		err = c.sendFault(err)
		c.reportStream(a, after, err)
		return nil, err
	}
	if response.Status != http.StatusOK {
		data, err := response.ReadAll(maxErrorBytes)
		if err != nil {
			return nil, c.fault(err, edge.ErrIndeterminate)
		}
		return nil, c.statusFault(response.Status, data)
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

// call makes a call that is safe to repeat and decodes its answer, unless
// that is nil.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	got, err := c.calls.Call(ctx, method, path, body)
	if err != nil {
		return c.fault(err, edge.ErrIndeterminate)
	}
	if got.Status != http.StatusOK {
		return c.statusFault(got.Status, got.Body)
	}
	if answer == nil {
		return nil
	}
	if err := got.Decode(answer); err != nil {
		return c.fault(err, edge.ErrIndeterminate)
	}
	return nil
}

func wireAttempt(a edge.Attempt) enginewire.Attempt {
	return enginewire.Attempt{Request: a.Request, Attempt: a.Number}
}

func (c *Client) fault(err error, kind errors.ConstError) error {
	return fault.New(kind, errors.Annotatef(err, "engine %s", c.name))
}

func (c *Client) sendFault(err error) error {
	if errors.Is(err, oneshot.ErrNotSent) {
		return c.fault(err, edge.ErrNotSent)
	}
	return c.fault(err, edge.ErrIndeterminate)
}

func (c *Client) statusFault(status int, body []byte) error {
	var e enginewire.Error
	if json.Unmarshal(body, &e) != nil || e.Error == "" {
		e.Error = "no message"
	}
	return c.fault(errors.Errorf("status %d: %s", status, e.Error), statusKind(status))
}

// statusKind maps an answer that isn't 200.
func statusKind(status int) errors.ConstError {
	if status == http.StatusPreconditionFailed {
		return edge.ErrFenced
	}
	return edge.StatusKind(status)
}
