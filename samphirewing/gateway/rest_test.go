package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/routing"
)

// Guards against a stream that broke off and ends as complete with a piece missing, and
// against what another endpoint answers instead of its rest reaching the caller.
func TestRestOfBrokenStreamIsWholeOrTheStreamIsAborted(t *testing.T) {
	const (
		first, half, second = "id: 1\ndata: a\n\n", "id: 2\nda", "id: 2\ndata: b\n\n"
		errorHead           = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	)
	signed := func(body string) http.HandlerFunc { return answerWith(http.StatusOK, "Signed", body) }
	for name, c := range map[string]struct {
		broken string
		rest   http.HandlerFunc
		whole  bool
		want   string
	}{
		"rest":                                  {broken: first + half, rest: signed(second), whole: true, want: first + second},
		"nothing after half an event":           {broken: first + half, rest: signed(""), want: first},
		"nothing after half of the first event": {broken: "id: 1\nda", rest: signed("")},
		"nothing after half an event, unframed": {broken: first + half, rest: unframed("", false), want: first},
		"nothing after an event, unframed":      {broken: first, rest: unframed("", false), want: first},
		"nothing after an event":                {broken: first, rest: signed(""), whole: true, want: first},
		"text of an error":                      {broken: first + half, rest: signed("the engine is full\n\n"), want: first},
		"text of an error, unframed":            {broken: first, rest: unframed("the engine is full\n\n", false), want: first},
		"head of an error":                      {broken: first, rest: unframed(errorHead, false), want: first},
		"head of an error after an event":       {broken: first, rest: signed(second + errorHead), want: first + second},
		"events from the start":                 {broken: first + half, rest: signed(first + second), want: first},
		"status of an error":                    {broken: first + half, rest: answerWith(http.StatusServiceUnavailable, "Signed", "full\n\n"), want: first},
		"refusal":                               {broken: first + half, rest: answerWith(http.StatusServiceUnavailable, "Not-Run", "full\n\n"), want: first},
		"no signature":                          {broken: first + half, rest: answerWith(http.StatusOK, "", second), want: first},
		"stream without ids":                    {broken: "data: a\n\n", rest: signed("data: a\n\ndata: b\n\n"), want: "data: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(testRoute("draft", streamingRoute(routing.Resumable)))
			f.startEndpoint("a", eventsThenBreak(c.broken))
			f.startEndpoint("b", c.rest)

			sink := f.serve("/draft/x")

			assert.Equal(t, sink.body.String(), c.want)
			assert.Equal(t, sink.ended, c.whole)
			assert.Assert(t, c.whole || sink.aborted || sink.failure != nil)
		})
	}
}
