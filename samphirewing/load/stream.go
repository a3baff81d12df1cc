package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/protocol/sse"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/oneshot"
)

// streamedAnswer assembles the chunks of one streamed answer over all of its
// connections.
type streamedAnswer struct {
	text strings.Builder
	// lastSequence is the sequence number of the last chunk.
	lastSequence uint64
	// lastArrival is the time at which it arrived.
	lastArrival time.Time
	// duplicated is set when a chunk arrived twice, skipped when one is
	// missing.
	duplicated bool
	skipped    bool
}

// runModel makes a model request and streams its answer, over several
// connections if some break. When the answer can't be resumed, it repeats the
// request with the same key, if there is one: the system runs no key twice.
func (c *call) runModel(ctx context.Context) {
	body, err := json.Marshal(completionBody{
		Model:         c.request.Target,
		Prompt:        c.request.Prompt,
		MaxTokens:     c.request.MaxTokens,
		Seed:          c.request.Seed,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		c.settle(OutcomeInvalid, ReasonBadAnswer, err.Error())
		return
	}
	c.stream(ctx, body)
	if c.result.outcome == OutcomeLost && c.request.Key != "" && pause(ctx, reconnectPause) {
		c.result.reconnects++
		c.stream(ctx, body)
	}
}

// stream sends the request and reads the answer, reconnecting as needed.
func (c *call) stream(ctx context.Context, body []byte) {
	h := c.headers()
	if c.request.Key != "" {
		h.Set(callerapi.HeaderCallerKey, c.request.Key)
	}
	to, response := c.route(ctx, streamClient, oneshot.Request{Method: http.MethodPost, Path: pathCompletions, Header: h, Body: body})
	if response == nil {
		return
	}
	var answer streamedAnswer
	if c.readStream(response, &answer) {
		return
	}
	c.reconnect(ctx, to, &answer)
}

func streamClient(e *entry) *oneshot.Client { return e.streams }

// reconnect resumes a lost answer at the entry that accepted the request, after
// the last chunk that arrived.
func (c *call) reconnect(ctx context.Context, to *entry, answer *streamedAnswer) {
	id := c.result.id()
	for tries := 0; id != "" && tries < maxReconnects; tries++ {
		c.result.reconnects++
		if !pause(ctx, reconnectPause) {
			return
		}
		response, err := to.streams.Send(ctx, oneshot.Request{
			Method: http.MethodGet,
			Path:   fmt.Sprintf("%s%s/answer?after=%d", pathRequests, url.PathEscape(string(id)), answer.lastSequence),
			Header: c.headers(),
		})
		if err != nil {
			continue
		}
		if response.Status == http.StatusNotFound {
			response.Close()
			c.settle(OutcomeLost, ReasonConnectionLost, "the entry no longer holds the request")
			return
		}
		if response.Status != http.StatusOK {
			c.settleRefusal(response)
			return
		}
		if c.readStream(response, answer) {
			return
		}
	}
	c.caller.entries.markFailed(to.address)
}

// readStream reads the events of one connection. It returns false when the
// connection was lost before the end of the answer.
func (c *call) readStream(response *oneshot.Response, answer *streamedAnswer) bool {
	defer response.Close()
	events := sse.NewReader(response)
	for {
		event, err := events.Next()
		if err != nil {
			c.settleStreamLost(err)
			return false
		}
		switch {
		case event.Name == completions.ErrorEvent:
			c.settleErrorBody(event.Data)
			return true
		case string(event.Data) == completions.DoneMarker:
			c.settleStreamDone(answer)
			return true
		case event.ID != 0:
			if err := c.addChunk(answer, event); err != nil {
				c.settle(OutcomeLost, ReasonBadAnswer, err.Error())
				return true
			}
		}
	}
}

func (c *call) settleStreamLost(err error) {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	c.settle(OutcomeLost, ReasonConnectionLost, err.Error())
}

func (c *call) addChunk(answer *streamedAnswer, event sse.Event) error {
	var chunk completions.Answer
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return err
	}
	if event.ID <= answer.lastSequence {
		answer.duplicated = true
		return nil
	}
	answer.skipped = answer.skipped || event.ID != answer.lastSequence+1
	now := time.Now()
	if answer.lastSequence == 0 {
		c.result.firstToken = now.Sub(c.arrived)
	} else {
		c.result.gaps = append(c.result.gaps, now.Sub(answer.lastArrival))
	}
	answer.lastSequence = event.ID
	answer.lastArrival = now
	answer.text.WriteString(chunk.ChunkText())
	return nil
}

func (c *call) settleStreamDone(answer *streamedAnswer) {
	c.settle(OutcomeDone, structs.ReasonNone, "")
	switch {
	case answer.duplicated:
		c.result.verdict = VerdictDuplicated
	case answer.skipped:
		c.result.verdict = VerdictTruncated
	default:
		c.result.verdict = verifyModel(c.request, answer.text.String())
	}
}
