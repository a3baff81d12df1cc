package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

// startVersions adds endpoints, named in the order of their versions.
func (f *fixture) startVersions(versions []string, handlers ...http.HandlerFunc) (all []*fakeEndpoint) {
	for i, version := range versions {
		e := &fakeEndpoint{handlers: handlers[i : i+1]}
		server := httptest.NewServer(e)
		f.t.Cleanup(server.Close)
		f.endpoints = append(f.endpoints, endpointset.Endpoint{
			Name: structs.EndpointName(string(rune('a' + i))), Pool: testPool, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4, Version: version,
		})
		all = append(all, e)
	}
	f.gateway.SetEndpoints(f.endpoints)
	return all
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
			endpoints := f.startVersions([]string{"v1", "v2", c.restVersion}, eventsThenBreak(first), rest, rest)

			sink := f.serve("/draft/x")

			assert.Equal(t, endpoints[1].requestCount(), 0)
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
	f.startVersions([]string{"v1", "v2"}, eventsThenBreak(""), answerWith(http.StatusOK, "Signed", "id: 1\ndata: a\n\n"))
	sink := f.serve("/draft/x")
	assert.Assert(t, sink.ended)
	assert.Equal(t, sink.body.String(), "id: 1\ndata: a\n\n")
}
