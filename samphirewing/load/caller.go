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
	// maxReroutes bounds how often a request that certainly wasn't run goes
	// to another entry.
	maxReroutes = 3
	// maxReconnects bounds how often a lost answer stream is taken up again.
	maxReconnects  = 3
	reconnectPause = 200 * time.Millisecond
	// deadlineSlack is how much longer than its deadline a caller waits to
	// be told the outcome.
	deadlineSlack = 10 * time.Second
	maxWait       = 5 * time.Minute
)

// caller sends requests as one of the system's callers does.
type caller struct {
	entries     *entries
	tokenPrefix string
	// runStart is when the idempotency keys of the run were made.
	runStart time.Time
}

// completionBody is the body of a streamed completion.
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

// do sends one request that arrived at the given time and returns what became
// of it.
func (c *caller) do(ctx context.Context, r Request, arrived time.Time) result {
	wait := maxWait
	if r.DeadlineMs > 0 {
		wait = r.Deadline() + deadlineSlack
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	call := &call{caller: c, request: r, arrived: arrived, result: result{request: r}}
	if r.Kind == KindService {
		call.service(ctx)
	} else {
		call.model(ctx)
	}
	return call.result
}

// call is one request on its way. It belongs to one goroutine.
type call struct {
	caller  *caller
	request Request
	arrived time.Time
	result  result
}

func (c *call) end(o Outcome, reason structs.Reason, detail string) {
	c.result.outcome = o
	c.result.reason = reason
	c.result.detail = detail
	c.result.whole = time.Since(c.arrived)
}

// headers returns what every request carries.
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

// route sends a request to entries until one has taken it or the outcome is
// settled. A request goes to another entry only when it certainly wasn't run.
// It returns nil once the result is settled.
func (c *call) route(ctx context.Context, client func(*entry) *oneshot.Client, r oneshot.Request) (*entry, *oneshot.Response) {
	for {
		to, err := c.caller.entries.pick(ctx)
		if err != nil {
			c.end(OutcomeNotRun, ReasonNoEntry, err.Error())
			return nil, nil
		}
		response, err := client(to).Send(ctx, r)
		if err == nil && response.Status == http.StatusOK {
			c.result.addID(response.Header)
			return to, response
		}
		if err == nil {
			c.refused(response)
		} else {
			c.sendFailed(err)
		}
		if c.entryAtFault() {
			c.caller.entries.failed(to.address)
		}
		if !c.mayReroute() {
			return to, nil
		}
		c.result.rerouted++
	}
}

// mayReroute tells whether another entry may be tried: the request certainly
// wasn't run, for a reason that lies with this entry.
func (c *call) mayReroute() bool {
	return c.result.outcome == OutcomeNotRun && c.entryAtFault() && c.result.rerouted < maxReroutes
}

// entryAtFault tells whether the reason lies with the entry.
func (c *call) entryAtFault() bool {
	switch c.result.reason {
	case ReasonConnectionLost, ReasonBadAnswer, structs.ReasonDraining, structs.ReasonConfigStale:
		return true
	default:
		return false
	}
}

func (c *call) sendFailed(err error) {
	outcome := OutcomeLost
	if errors.Is(err, oneshot.ErrNotSent) {
		outcome = OutcomeNotRun
	}
	c.end(outcome, ReasonConnectionLost, err.Error())
}

// refused settles the result by an answer that isn't 200.
func (c *call) refused(response *oneshot.Response) {
	c.result.addID(response.Header)
	data, err := response.ReadAll(maxServiceBytes)
	if err != nil {
		c.end(OutcomeLost, ReasonConnectionLost, err.Error())
		return
	}
	c.errorBody(data)
}

func (c *call) errorBody(data []byte) {
	var body completions.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Outcome == "" {
		c.end(OutcomeLost, ReasonBadAnswer, string(data))
		return
	}
	e := body.Error
	if e.Type == completions.ErrorInvalid || e.Type == completions.ErrorAuthentication {
		c.end(OutcomeInvalid, structs.Reason("invalid_"+e.Param), e.Message)
		return
	}
	detail := e.Message
	if e.Detail != "" {
		detail += " (" + e.Detail + ")"
	}
	c.end(Outcome(e.Outcome), e.Reason, detail)
}

// service makes a call of a plain service. A lost answer is asked for again
// with the same idempotency key, when there is one.
func (c *call) service(ctx context.Context) {
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
		c.caller.entries.failed(to.address)
		c.end(OutcomeLost, ReasonConnectionLost, err.Error())
		return
	}
	c.end(OutcomeDone, structs.ReasonNone, "")
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
