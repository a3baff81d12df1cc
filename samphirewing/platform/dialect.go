package platform

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// dialect implements gateway.Dialect for the platform's endpoints.
type dialect struct{}

// Encode returns the request to send to the endpoint.
func (dialect) Encode(r *gateway.Request, a gateway.Attempt) forward.Request {
	header := r.Header.Clone()
	header[headerRequestID] = []string{r.ID}
	header[headerExpectInstance] = []string{string(a.Endpoint.Name)}
	header[headerDeadline] = []string{strconv.FormatInt(a.Remaining.Milliseconds(), 10)}
	if a.Organisation != "" {
		header[headerTenant] = []string{string(a.Organisation)}
	}
	if a.LastEventID != "" {
		header[headerLastEvent] = []string{a.LastEventID}
	}
	if a.TraceParent != "" {
		header.Set(headerTrace, a.TraceParent)
	}
	return forward.Request{ID: r.ID, Method: r.Method, Host: r.Host, Target: r.Target, Header: header, Body: r.Body}
}

// NotRun reports whether the answer states that the request did not run.
func (dialect) NotRun(a *forward.Response) bool {
	return a.Status == http.StatusMisdirectedRequest || len(a.Header[headerNotExecuted]) > 0
}

// RateLimit returns the rate limit that the answer names, infinity if it names
// none. Text that is not a number, and negative numbers, are malformed.
func (dialect) RateLimit(a *forward.Response) (perSecond float64, ok bool) {
	values := a.Header[headerRateLimit]
	if len(values) == 0 {
		return math.Inf(1), true
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		return 0, false
	}
	return perSecond, true
}

// Leaving reports whether the answer says that the endpoint leaves.
func (dialect) Leaving(a *forward.Response) bool {
	return strings.TrimSpace(a.Header.Get(headerLeaving)) == leavingValue
}

// maxBackoff bounds the backoff that an endpoint may ask for, so that a faulty one
// is tried again some time.
const maxBackoff = 10 * time.Minute

// Backoff returns for how long a 503 asks for no requests. It accepts seconds, also
// fractions. Anything else, such as a date or a negative number, asks for nothing.
func (dialect) Backoff(a *forward.Response) time.Duration {
	if a.Status != http.StatusServiceUnavailable {
		return 0
	}
	s, err := strconv.ParseFloat(strings.TrimSpace(a.Header.Get(headerRetryAfter)), 64)
	tooLarge := errors.Is(err, strconv.ErrRange)
	if !tooLarge && (err != nil || math.IsNaN(s) || math.IsInf(s, 0)) {
		return 0
	}
	return seconds(min(max(s, 0), maxBackoff.Seconds()))
}

// Genuine reports whether the answer carries an endpoint's signature and has no
// content encoding.
func (dialect) Genuine(a *forward.Response) bool {
	return a.Header.Get(headerSignature) != "" && a.Header.Get("Content-Encoding") == ""
}

// forwardedHeader returns a caller's header without connection-specific and
// reserved fields.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !isRequiredHeader(name) {
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

// isRequiredHeader reports whether a header is forwarded even if the caller
// lists it in Connection.
func isRequiredHeader(name string) bool {
	switch name {
	case headerRequestID, headerTokenCounts, headerPromptParts, "X-Model":
		return true
	}
	return false
}
