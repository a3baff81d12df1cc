package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/routing"
)

// startVersion adds an endpoint that runs a version of its software.
func (f *fixture) startVersion(name, version string, handlers ...http.HandlerFunc) *fakeEndpoint {
	e := f.startEndpoint(name, handlers...)
	f.endpoints[len(f.endpoints)-1].Version = version
	f.gateway.SetEndpoints(f.endpoints)
	return e
}

// Guards against an answer that is joined from what two software versions write: a stream
// breaks off, and its rest is asked of an endpoint of another version.
func TestRestOfAStreamIsAskedOfTheVersionThatBeganIt(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	rest := answerWith(http.StatusOK, "Signed", second)
	for name, c := range map[string]struct {
		restVersion string
		whole       bool
	}{
		"same version left":  {restVersion: "v1", whole: true},
		"other version left": {restVersion: "v3"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(testRoute("draft", streamingRoute(routing.Resumable)))
			f.startVersion("a", "v1", eventsThenBreak(first))
			other := f.startVersion("b", "v2", rest)
			f.startVersion("c", c.restVersion, rest)

			sink := f.serve("/draft/x")

			assert.Equal(t, other.requestCount(), 0)
			assert.Equal(t, sink.ended, c.whole)
			if c.whole {
				assert.Equal(t, sink.body.String(), first+second)
			} else {
				assert.Equal(t, sink.body.String(), first)
				assert.Assert(t, sink.aborted)
			}
		})
	}
}

// Guards against a binding that begins too early: a stream of which the caller has no
// event may begin anew at any version.
func TestStreamWithoutAnEventMayBeginAtAnotherVersion(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("draft", streamingRoute(routing.Resumable)))
	f.startVersion("a", "v1", eventsThenBreak(""))
	f.startVersion("b", "v2", answerWith(http.StatusOK, "Signed", "id: 1\ndata: a\n\n"))
	sink := f.serve("/draft/x")
	assert.Assert(t, sink.ended)
	assert.Equal(t, sink.body.String(), "id: 1\ndata: a\n\n")
}
