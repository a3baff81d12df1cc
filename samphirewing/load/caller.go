package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/oneshot"
)

const (
	pathCompletions = "/v1/completions"
	pathServices    = "/v1/services/"
	pathRequests    = "/v1/requests/"

	maxServiceBytes = 1 << 20
	// maxReroutes bounds how often a request that certainly wasn't run is sent
	// to another entry.
	maxReroutes = 3
	// maxReconnects bounds how often a lost answer stream is resumed and a lost
	// service call is repeated.
	maxReconnects  = 3
	reconnectPause = 200 * time.Millisecond
	// deadlineSlack is how long after the deadline a caller still waits for
	// the outcome.
	deadlineSlack = 10 * time.Second
	maxWait       = 5 * time.Minute
)

// caller sends requests like a caller of the system.
type caller struct {
	entries     *entries
	tokenPrefix string
	// runStart is sent as the issue time of the run's idempotency keys.
	runStart time.Time
}

// completionBody is the request body of a streamed completion.
type completionBody struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int64         `json:"max_tokens"`
	Seed          int64         `json:"seed"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// execute sends one request and returns its result. Latencies count from
// arrived.
func (c *caller) execute(ctx context.Context, r Request, arrived time.Time) result {
	wait := maxWait
	if r.DeadlineMs > 0 {
		wait = r.Deadline() + deadlineSlack
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	call := &call{caller: c, request: r, arrived: arrived, result: result{request: r}}
	if r.Kind == KindService {
		call.runService(ctx)
	} else {
		call.runModel(ctx)
	}
	return call.result
}

// call is one request in progress. It is used by a single goroutine.
type call struct {
	caller  *caller
	request Request
	arrived time.Time
	result  result
}

func (c *call) settle(o Outcome, reason structs.Reason, detail string) {
	c.result.outcome = o
	c.result.reason = reason
	c.result.detail = detail
	c.result.totalLatency = time.Since(c.arrived)
}

// headers returns the headers common to all requests of the call.
func (c *call) headers() http.Header {
	token := c.request.Token
	if token == "" {
		token = c.caller.tokenPrefix + string(c.request.Organisation)
	}
	h := http.Header{}
	h.Set("Authorization", "Bearer "+token)
	h.Set("Content-Type", "application/json")
	if c.request.Tier != "" {
		h.Set(callerapi.HeaderTier, string(c.request.Tier))
	}
	if c.request.DeadlineMs > 0 {
		h.Set(callerapi.HeaderDeadline, strconv.FormatInt(c.request.DeadlineMs, 10))
	}
	if c.request.WorkClass != "" {
		h.Set(callerapi.HeaderWorkClass, c.request.WorkClass)
	}
	return h
}

// route sends a request to entries until one answers with 200 or the result is
// settled. It tries another entry only when the request certainly wasn't run.
// The response is nil once the result is settled.
func (c *call) route(ctx context.Context, client func(*entry) *oneshot.Client, r oneshot.Request) (*entry, *oneshot.Response) {
	for {
		to, err := c.caller.entries.pick(ctx)
		if err != nil {
			c.settle(OutcomeNotRun, ReasonNoEntry, err.Error())
			return nil, nil
		}
		response, err := client(to).Send(ctx, r)
		if err == nil && response.Status == http.StatusOK {
			c.result.addID(response.Header)
			return to, response
		}
		if err == nil {
			c.settleRefusal(response)
		} else {
			c.settleSendError(err)
		}
		if c.isEntryAtFault() {
			c.caller.entries.markFailed(to.address)
		}
		if !c.mayReroute() {
			return to, nil
		}
		c.result.reroutes++
	}
}

// mayReroute reports whether to try another entry: the request was not run, this
// entry caused the failure, and fewer than maxReroutes reroutes were made.
func (c *call) mayReroute() bool {
	return c.result.outcome == OutcomeNotRun && c.isEntryAtFault() && c.result.reroutes < maxReroutes
}

// isEntryAtFault reports whether the entry caused the failure.
func (c *call) isEntryAtFault() bool {
	switch c.result.reason {
	case ReasonConnectionLost, ReasonBadAnswer, structs.ReasonDraining, structs.ReasonConfigStale:
		return true
	default:
		return false
	}
}

func (c *call) settleSendError(err error) {
	outcome := OutcomeLost
	if errors.Is(err, oneshot.ErrNotSent) {
		outcome = OutcomeNotRun
	}
	c.settle(outcome, ReasonConnectionLost, err.Error())
}

// settleRefusal settles the result from a response with a status other than 200.
func (c *call) settleRefusal(response *oneshot.Response) {
	c.result.addID(response.Header)
	data, err := response.ReadAll(maxServiceBytes)
	if err != nil {
		c.settle(OutcomeLost, ReasonConnectionLost, err.Error())
		return
	}
	c.settleErrorBody(data)
}

func (c *call) settleErrorBody(data []byte) {
	var body completions.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Outcome == "" {
		c.settle(OutcomeLost, ReasonBadAnswer, string(data))
		return
	}
	e := body.Error
	if e.Type == completions.ErrorInvalid || e.Type == completions.ErrorAuthentication {
		c.settle(OutcomeInvalid, structs.Reason("invalid_"+e.Param), e.Message)
		return
	}
	detail := e.Message
	if e.Detail != "" {
		detail += " (" + e.Detail + ")"
	}
	c.settle(Outcome(e.Outcome), e.Reason, detail)
}

// runService calls a plain service. When the answer is lost, it repeats the
// call with the same idempotency key, if there is one.
func (c *call) runService(ctx context.Context) {
	c.callService(ctx)
	for tries := 0; c.result.outcome == OutcomeLost && c.request.Key != "" && tries < maxReconnects; tries++ {
		c.result.reconnects++
		if !pause(ctx, reconnectPause) {
			return
		}
		c.callService(ctx)
	}
}

func (c *call) callService(ctx context.Context) {
	h := c.headers()
	if c.request.Key != "" {
		h.Set(callerapi.HeaderIdempotencyKey, c.request.Key)
		h.Set(callerapi.HeaderKeyIssued, c.caller.runStart.UTC().Format(time.RFC3339Nano))
	}
	to, response := c.route(ctx, func(e *entry) *oneshot.Client { return e.calls }, oneshot.Request{
		Method: http.MethodPost,
		Path:   pathServices + url.PathEscape(c.request.Target),
		Header: h,
		Body:   c.request.Body,
	})
	if response == nil {
		return
	}
	body, err := response.ReadAll(maxServiceBytes)
	if err != nil {
		c.caller.entries.markFailed(to.address)
		c.settle(OutcomeLost, ReasonConnectionLost, err.Error())
		return
	}
	c.settle(OutcomeDone, structs.ReasonNone, "")
	c.result.verdict = verifyService(c.request, body)
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
