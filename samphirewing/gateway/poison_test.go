package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	sharedPart structs.PromptPart = 1
	poisonPart structs.PromptPart = 7
	// crashesUntilKnown and sendsAfterwards are the stated target: once so many
	// endpoints have crashed, at most so many more requests with the part may reach
	// endpoints.
	crashesUntilKnown = 5
	sendsAfterwards   = 3
)

// crashingEndpoints are endpoints that crash when they begin to answer a request
// with the poison part: the head of the answer is sent, then all connections end
// and the address accepts none.
type crashingEndpoints struct {
	mu      sync.Mutex
	arrived int
}

func (c *crashingEndpoints) start(f *fixture, name string) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		if !strings.HasPrefix(r.URL.Path, "/s/poison") {
			fmt.Fprint(w, "id: 1\ndata: x\n\n")
			return
		}
		c.mu.Lock()
		c.arrived++
		c.mu.Unlock()
		http.NewResponseController(w).Flush()
		server.Listener.Close()
		go server.CloseClientConnections()
		<-r.Context().Done()
	}))
	f.t.Cleanup(func() { server.Close() })
	f.addEndpoint(name, strings.TrimPrefix(server.URL, "http://"))
}

func (f *fixture) serveParts(path string, parts ...structs.PromptPart) *recordingSink {
	sink := &recordingSink{}
	f.gateway.Serve(context.Background(), &Request{
		ID: "r1", Method: http.MethodPost, Host: "host", RouteHost: "host", Path: path, Target: path, Header: http.Header{},
		Arrived: time.Now(), PromptParts: parts,
	}, sink)
	return sink
}

// Guards against requests with a part that crashes endpoints being sent to one
// endpoint after the other, as new requests and as retries.
func TestPromptPartThatCrashesEndpointsIsBlocked(t *testing.T) {
	f := newFixture(t)
	endpoints := &crashingEndpoints{}
	for i := range 24 {
		endpoints.start(f, fmt.Sprintf("e%02d", i))
	}
	f.configure(testRoute("s", func(r *routing.Route) { r.Streaming, r.RetrySafety = true, routing.Resumable }))
	for i := range 20 {
		f.serveParts("/s/poison", sharedPart, poisonPart)
		sound := f.serveParts("/s/sound", sharedPart, structs.PromptPart(100+i))
		assert.Assert(t, sound.ended, "sound request %d: %v", i, sound.failure)
	}
	assert.Assert(t, endpoints.arrived <= crashesUntilKnown+sendsAfterwards, "%d requests with the part reached endpoints", endpoints.arrived)
}

// Guards against the same where answers have neither a length nor chunks, so that
// the end of a crashed endpoint's connection looks like the end of the answer.
func TestPromptPartThatCrashesEndpointsWithoutFramingIsBlocked(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int32
	for i := range 12 {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			server.Listener.Close()
			unframed("", false)(w, r)
		}))
		t.Cleanup(server.Close)
		f.addEndpoint(fmt.Sprintf("e%02d", i), strings.TrimPrefix(server.URL, "http://"))
	}
	f.configure(testRoute("s", func(r *routing.Route) { r.Streaming = true }))
	for range 12 {
		f.serveParts("/s/poison", poisonPart)
	}
	assert.Assert(t, arrived.Load() <= crashesUntilKnown+sendsAfterwards, "%d requests with the part reached endpoints", arrived.Load())
}

// crashWith starts endpoints that crash on each request once they have sent some
// bytes, and serves requests with the poison part. It returns how many arrived.
func (f *fixture) crashWith(sent string) (arrived int32) {
	var count atomic.Int32
	for i := range 12 {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			server.Listener.Close()
			fmt.Fprint(conn, sent)
			conn.Close()
		}))
		f.t.Cleanup(server.Close)
		f.addEndpoint(fmt.Sprintf("e%02d", i), strings.TrimPrefix(server.URL, "http://"))
	}
	for range 12 {
		f.serveParts("/s/poison", sharedPart, poisonPart)
	}
	return count.Load()
}

// Guards against crashes within the head of an answer, or anywhere before its first
// event, that are not counted as evidence.
func TestPromptPartIsBlockedWhereverTheAnswerBreaksOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r1\r\n"
	for name, sent := range map[string]string{
		"one byte":               "H",
		"status line":            "HTTP/1.1 200 OK\r\n",
		"half a head":            head,
		"informational head":     "HTTP/1.1 103 Early Hints\r\n\r\n",
		"bytes that are no head": "\x00\x01\x02",
		"head":                   head + "Content-Length: 100\r\n\r\n",
		"head without framing":   head + "\r\n",
		"half an event":          head + "Content-Length: 100\r\n\r\nid: 1\nda",
		"an event":               head + "Content-Length: 100\r\n\r\nid: 1\ndata: a\n\n",
		"an event, no framing":   head + "\r\nid: 1\ndata: a\n\n",
	} {
		for kind, streaming := range map[string]bool{"stream": true, "ordinary answer": false} {
			t.Run(kind+"/"+name, func(t *testing.T) {
				f := newFixture(t)
				f.configure(testRoute("s", func(r *routing.Route) { r.Streaming = streaming }))
				arrived := f.crashWith(sent)
				assert.Assert(t, arrived <= crashesUntilKnown+sendsAfterwards, "%d requests with the part reached endpoints", arrived)
			})
		}
	}
}

// Guards against crashes before the first byte of an answer, which say nothing of
// the request, being taken as evidence.
func TestCrashesBeforeTheAnswerBeginsBlockNothing(t *testing.T) {
	f := newFixture(t)
	f.configure(testRoute("s", func(r *routing.Route) { r.Streaming = true }))
	assert.Equal(t, f.crashWith(""), int32(12))
	assert.Equal(t, len(f.gateway.BlockedParts()), 0)
}

// Guards against a refusal that claims a request may have run, or that asks the
// caller back at once, when the request was stopped by its prompt.
func TestRefusalOfBlockedPromptPartIsFinal(t *testing.T) {
	f := newFixture(t)
	endpoints := &crashingEndpoints{}
	for i := range 12 {
		endpoints.start(f, fmt.Sprintf("e%02d", i))
	}
	f.configure(testRoute("s", func(r *routing.Route) { r.Streaming, r.RetrySafety = true, routing.Resumable }))
	var last *recordingSink
	for range 8 {
		last = f.serveParts("/s/poison", poisonPart)
	}
	assert.Assert(t, last.failure != nil)
	assert.Equal(t, last.failure.Kind, NotRun)
	assert.Assert(t, last.failure.RetryAfter > 5*time.Second, "retry after %v", last.failure.RetryAfter)
	assert.Assert(t, strings.Contains(last.failure.Reason, poisonPart.String()), "reason %q", last.failure.Reason)

	assert.Equal(t, f.gateway.BlockedParts()[0].Part, poisonPart.String())
	assert.Assert(t, f.gateway.ReleasePart(poisonPart))
	assert.Equal(t, len(f.gateway.BlockedParts()), 0)
}

// Guards against connections that break while their endpoint stays up, such as
// resets on the network, being taken for crashes.
func TestBrokenConnectionsDoNotBlockPromptParts(t *testing.T) {
	f := newFixture(t)
	broken := f.startEndpoint("e1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "1")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f.configure(testRoute("s", func(r *routing.Route) { r.Streaming = true }))
	for range 10 {
		f.gateway.SetEndpoints(nil) // Ends the quarantine of the endpoint.
		f.gateway.SetEndpoints(f.endpoints)
		f.serveParts("/s/poison", poisonPart)
	}
	assert.Equal(t, broken.requestCount(), 10)
}
