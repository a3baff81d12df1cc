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

// answerText collects the pieces of one streamed answer over all of its
// connections.
type answerText struct {
	text strings.Builder
	// last is the sequence number of the last piece.
	last uint64
	// lastAt is when it came.
	lastAt time.Time
	// doubled is set when a piece came twice, skipped when one was left out.
	doubled bool
	skipped bool
}

// model makes a model request and streams its answer, on more than one
// connection when it must. An answer that is lost for good is asked for again
// with the same key, when there is one: the system runs no key twice.
func (c *call) model(ctx context.Context) {
	body, err := json.Marshal(completionBody{
		Model:         c.request.Target,
		Prompt:        c.request.Prompt,
		MaxTokens:     c.request.MaxTokens,
		Seed:          c.request.Seed,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		c.end(OutcomeInvalid, ReasonBadAnswer, err.Error())
		return
	}
	c.stream(ctx, body)
	if c.result.outcome == OutcomeLost && c.request.Key != "" && pause(ctx, reconnectPause) {
		c.result.reconnects++
		c.stream(ctx, body)
	}
}

// stream sends the request once and reads the answer.
func (c *call) stream(ctx context.Context, body []byte) {
	h := c.headers()
	if c.request.Key != "" {
		h.Set(callerapi.HeaderCallerKey, c.request.Key)
	}
	to, response := c.route(ctx, streamClient, oneshot.Request{Method: http.MethodPost, Path: pathCompletions, Header: h, Body: body})
	if response == nil {
		return
	}
	var answer answerText
	if c.readStream(response, &answer) {
		return
	}
	c.reconnect(ctx, to, &answer)
}

func streamClient(e *entry) *oneshot.Client { return e.streams }

// reconnect takes a lost answer up again at the entry that holds it, after
// the last piece that arrived.
func (c *call) reconnect(ctx context.Context, to *entry, answer *answerText) {
	id := c.result.id()
	for tries := 0; id != "" && tries < maxReconnects; tries++ {
		c.result.reconnects++
		if !pause(ctx, reconnectPause) {
			return
		}
		response, err := to.streams.Send(ctx, oneshot.Request{
			Method: http.MethodGet,
			Path:   fmt.Sprintf("%s%s/answer?after=%d", pathRequests, url.PathEscape(string(id)), answer.last),
			Header: c.headers(),
		})
		if err != nil {
			continue
		}
		if response.Status == http.StatusNotFound {
			response.Close()
			c.end(OutcomeLost, ReasonConnectionLost, "the entry no longer holds the request")
			return
		}
		if response.Status != http.StatusOK {
			c.refused(response)
			return
		}
		if c.readStream(response, answer) {
			return
		}
	}
	c.caller.entries.failed(to.address)
}

// readStream reads one connection's events. It returns false when the
// connection was lost before the answer's end.
func (c *call) readStream(response *oneshot.Response, answer *answerText) bool {
	defer response.Close()
	events := sse.NewReader(response)
	for {
		event, err := events.Next()
		if err != nil {
			c.streamLost(err)
			return false
		}
		switch {
		case event.Name == completions.ErrorEvent:
			c.errorBody(event.Data)
			return true
		case string(event.Data) == completions.DoneMarker:
			c.streamDone(answer)
			return true
		case event.ID != 0:
			if err := c.addPiece(answer, event); err != nil {
				c.end(OutcomeLost, ReasonBadAnswer, err.Error())
				return true
			}
		}
	}
}

func (c *call) streamLost(err error) {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	c.end(OutcomeLost, ReasonConnectionLost, err.Error())
}

func (c *call) addPiece(answer *answerText, event sse.Event) error {
	var chunk completions.Answer
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return err
	}
	if event.ID <= answer.last {
		answer.doubled = true
		return nil
	}
	answer.skipped = answer.skipped || event.ID != answer.last+1
	now := time.Now()
	if answer.last == 0 {
		c.result.firstToken = now.Sub(c.arrived)
	} else {
		c.result.gaps = append(c.result.gaps, now.Sub(answer.lastAt))
	}
	answer.last = event.ID
	answer.lastAt = now
	answer.text.WriteString(chunk.ChunkText())
	return nil
}

func (c *call) streamDone(answer *answerText) {
	c.end(OutcomeDone, structs.ReasonNone, "")
	switch {
	case answer.doubled:
		c.result.verdict = VerdictDoubled
	case answer.skipped:
		c.result.verdict = VerdictCut
	default:
		c.result.verdict = verifyModel(c.request, answer.text.String())
	}
}
