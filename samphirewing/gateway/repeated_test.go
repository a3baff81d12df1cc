package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/routing"
)

// repeatingEndpoint answers the first request on each connection with a refusal, and
// each later one with that refusal once more and then its own answer. The connections
// are kept.
func repeatingEndpoint(refusal string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		refused := fmt.Sprintf(refusal, r.Header.Get("Id"))
		answer := refused
		for {
			fmt.Fprint(buffered, answer)
			if buffered.Flush() != nil {
				return
			}
			next, err := http.ReadRequest(buffered.Reader)
			if err != nil {
				return
			}
			_, _ = buffered.Discard(int(next.ContentLength))
			answer = refused + "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: " + next.Header.Get("Id") + "\r\nContent-Length: 3\r\n\r\nran"
		}
	}
}

// Guards against callers who are told "not run" of a request that an endpoint has run,
// and against such a request running twice, since the endpoint has written an earlier
// refusal once more.
func TestRepeatedRefusalIsNotToldOfTheNextRequest(t *testing.T) {
	for name, refusal := range map[string]string{
		"not run":                   "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: %s\r\nContent-Length: 4\r\n\r\nfull",
		"not run, no body":          "HTTP/1.1 429 Full\r\nNot-Run: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
		"not run, chunked":          "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"passed on":                 "HTTP/1.1 503 Full\r\nSigned: 1\r\nId: %s\r\nContent-Length: 4\r\n\r\nfull",
		"passed on, without a body": "HTTP/1.1 500 Failed\r\nSigned: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(testRoute("confirm", func(r *routing.Route) { r.RetrySafety, r.MaxEndpoints = routing.AtMostOnce, 1 }))
			endpoint := f.startEndpoint("a", repeatingEndpoint(refusal))
			for n := range 20 {
				sink := &recordingSink{}
				before := endpoint.requestCount()
				f.gateway.Serve(context.Background(), &Request{
					ID: fmt.Sprint("r", n), Method: http.MethodPost, Host: "host", RouteHost: "host", Path: "/confirm/x", Target: "/confirm/x",
					Header: http.Header{}, Body: []byte("body"), Arrived: time.Now(),
				}, sink)
				// Requests on kept connections, which the endpoint runs, are not counted.
				if first := endpoint.requestCount() > before; !first && sink.failure != nil {
					assert.Assert(t, sink.failure.Kind == MayHaveRun, "%v", sink.failure)
				} else if !first {
					assert.Equal(t, sink.status, http.StatusOK)
					assert.Equal(t, sink.body.String(), "ran")
				}
			}
		})
	}
}
