package platform

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// dialect encodes requests for endpoints and reads their answers.
type dialect struct{}

// Encode returns the request as it goes to the endpoint.
func (dialect) Encode(r *gateway.Request, a gateway.Attempt) forward.Request {
	header := r.Header.Clone()
	header[headerRequestID] = []string{r.ID}
	header[headerExpectInstance] = []string{string(a.Endpoint.Name)}
	header[headerDeadline] = []string{strconv.FormatInt(a.Remaining.Milliseconds(), 10)}
	if a.Organisation != "" {
		header[headerTenant] = []string{string(a.Organisation)}
	}
	if a.LastEvent != "" {
		header[headerLastEvent] = []string{a.LastEvent}
	}
	if a.TraceParent != "" {
		header.Set(headerTrace, a.TraceParent)
	}
	return forward.Request{ID: r.ID, Method: r.Method, Host: r.Host, Target: r.Target, Header: header, Body: r.Body}
}

// NotRun tells whether the answer states that the request didn't run.
func (dialect) NotRun(a *forward.Response) bool {
	return a.Status == http.StatusMisdirectedRequest || len(a.Header[headerNotExecuted]) > 0
}

// Genuine tells whether the answer carries an endpoint's signature and its
// plain bytes.
func (dialect) Genuine(a *forward.Response) bool {
	return a.Header.Get(headerSignature) != "" && a.Header.Get("Content-Encoding") == ""
}

// passedHeader returns a caller's header without what concerns one connection
// or is the system's to set.
func passedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !required(name) {
				delete(out, name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	for _, name := range reservedHeaders {
		delete(out, http.CanonicalHeaderKey(name))
	}
	return out
}

// required headers are passed on even when a caller names them as its
// connection's own.
func required(name string) bool {
	switch name {
	case headerRequestID, headerTokenCounts, "X-Model", "X-Prefix-Hash":
		return true
	}
	return false
}
