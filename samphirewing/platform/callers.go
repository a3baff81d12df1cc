package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

// maxBodyBytes bounds a request's body regardless of the configuration, since the
// body is held in memory until the request ends.
const maxBodyBytes = 8 << 20

// callerHandler serves callers' requests.
type callerHandler struct {
	gateway  *gateway.Gateway
	guard    *httplimit.Guard
	stopping *atomic.Bool
}

func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sink := &httpSink{writer: w, request: r, guard: h.guard, stopping: h.stopping.Load}
	request, err := decodeRequest(r)
	if err != nil {
		sink.Fail(*err)
		return
	}
	body, err := h.readBody(w, r)
	if err != nil {
		sink.Fail(*err)
		return
	}
	defer body.Release()
	request.Body = body.Data
	// The response must not be written after the handler has returned, even by a
	// panic.
	defer sink.cancel()
	h.gateway.Serve(r.Context(), request, sink)
	body.Release()
	if !sink.finish() {
		// net/http closes the connection without completing the answer.
		panic(http.ErrAbortHandler)
	}
}

// decodeRequest decodes a caller's request without its body.
func decodeRequest(r *http.Request) (*gateway.Request, *gateway.Failure) {
	arrived := time.Now()
	target := r.RequestURI
	if rest, absolute := strings.CutPrefix(target, "http://"); absolute {
		slash := strings.IndexByte(rest, '/')
		target = rest[max(slash, 0):]
	}
	path, _, _ := strings.Cut(target, "?")
	host, _, _ := strings.Cut(r.Host, ":")
	request := &gateway.Request{
		ID: r.Header.Get(headerRequestID), Method: r.Method, Host: r.Host, RouteHost: host, Path: path, Target: target,
		Header: forwardedHeader(r.Header), Arrived: arrived, LastEventID: r.Header.Get(headerLastEvent), Resumes: resumedAttempt(r.Header), TraceParent: r.Header.Get(headerTrace),
	}
	if request.ID == "" || !strings.HasPrefix(path, "/") {
		return nil, &gateway.Failure{Kind: gateway.BadRequest, Reason: "the request has no id or path"}
	}
	request.APIKey, _ = strings.CutPrefix(r.Header.Get(headerKey), keyScheme)
	decodeNumericHeaders(r.Header, request)
	return request, nil
}

// resumedAttempt returns the attempt that a caller names as the one that brought the first
// event of its stream. Several that differ name none.
func resumedAttempt(h http.Header) string {
	values := slices.Compact(slices.Clone(h[headerResumes]))
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// decodeNumericHeaders decodes the deadline and the token counts. Malformed
// values are treated as missing, since endpoints receive the token headers
// unchanged.
func decodeNumericHeaders(h http.Header, request *gateway.Request) {
	if ms, err := strconv.ParseFloat(h.Get(headerDeadline), 64); err == nil && ms > 0 {
		request.TimeLimit = millis(ms)
	}
	prompt, output, found := strings.Cut(h.Get(headerTokenCounts), ",")
	p, promptErr := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	o, outputErr := strconv.ParseInt(strings.TrimSpace(output), 10, 64)
	if found && promptErr == nil && outputErr == nil && p >= 0 && o >= 0 {
		request.PromptTokens, request.MaxOutputTokens, request.TokensDeclared = structs.Tokens(p), structs.Tokens(o), true
	}
	request.PromptParts = decodePromptParts(h.Get(headerPromptParts))
	if hint, err := strconv.ParseInt(h.Get(headerOutputHint), 10, 64); err == nil && hint > 0 {
		request.OutputTokensHint = structs.Tokens(hint)
	}
}

// decodePromptParts decodes a list of ID:TOKENS entries without the last one,
// which belongs to the request alone. Malformed entries are skipped, since
// endpoints receive the header unchanged. maxHeaderBytes bounds the list.
func decodePromptParts(list string) []structs.PromptPart {
	last := strings.LastIndexByte(list, ',')
	if last < 0 {
		return nil
	}
	parts := make([]structs.PromptPart, 0, 1+strings.Count(list[:last], ","))
	for entry := range strings.SplitSeq(list[:last], ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if part, err := structs.ParsePromptPart(id); err == nil {
			parts = append(parts, part)
		}
	}
	return parts
}

// bodyFailures are the failures for the statuses of httplimit.BodyError. Others are
// malformed requests. None of the requests has been sent.
var bodyFailures = map[int]gateway.FailureKind{
	http.StatusRequestEntityTooLarge: gateway.TooLarge, http.StatusRequestTimeout: gateway.BodyTooSlow,
	http.StatusServiceUnavailable: gateway.NotRun, http.StatusTooManyRequests: gateway.TooManyBodies,
}

func (h *callerHandler) readBody(w http.ResponseWriter, r *http.Request) (httplimit.Body, *gateway.Failure) {
	limit := int64(maxBodyBytes)
	if configured := h.gateway.MaxBodyBytes(); configured > 0 {
		limit = min(limit, configured)
	}
	body, err := h.guard.ReadBody(w, r, limit)
	var refused *httplimit.BodyError
	if err == nil || !errors.As(err, &refused) {
		return body, nil
	}
	kind, known := bodyFailures[refused.Status]
	if !known {
		kind = gateway.BadRequest
	}
	return body, &gateway.Failure{Kind: kind, Reason: refused.Error(), RetryAfter: refused.RetryAfter}
}

// httpSink implements gateway.Sink for one HTTP answer.
type httpSink struct {
	writer   http.ResponseWriter
	request  *http.Request
	guard    *httplimit.Guard
	stopping func() bool
	// complete is set once the gateway has ended the answer. Nothing else says that it is
	// whole: a caller that closes one half of its connection still reads the other.
	complete bool
	// response is nil until the answer begins.
	response *httplimit.Response
}

func (s *httpSink) Begin(status int, header http.Header, length int64) {
	h := s.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value prevents net/http from detecting a type.
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.closeIfStopping()
	s.writer.WriteHeader(status)
	// An answer whose length was announced isn't flushed before its end.
	s.response = s.guard.NewResponse(s.writer, s.request, length >= 0)
}

// closeIfStopping asks the caller to use another connection if this daemon is
// stopping.
func (s *httpSink) closeIfStopping() {
	if s.stopping() {
		s.writer.Header().Set("Connection", "close")
	}
}

// Write queues a part of the answer; the caller may take it later.
func (s *httpSink) Write(p []byte) error { return errors.Trace(s.response.Write(p)) }

// finish waits until the caller has taken the answer. It returns false if the
// connection must be closed, since the answer is not complete.
func (s *httpSink) finish() bool {
	return s.complete && (s.response == nil || s.response.Finish() == nil)
}

// cancel ends an answer that finish has not ended.
func (s *httpSink) cancel() {
	if s.response != nil {
		s.response.Cancel()
	}
}

func (s *httpSink) End() { s.complete = true }

// Abort leaves the answer incomplete.
func (s *httpSink) Abort() {}

var failureStatus = map[gateway.FailureKind]int{
	gateway.NotReady: http.StatusServiceUnavailable, gateway.NoRoute: http.StatusNotFound,
	gateway.BadKey: http.StatusUnauthorized, gateway.BadRequest: http.StatusBadRequest,
	gateway.TooLarge: http.StatusRequestEntityTooLarge, gateway.OverQuota: http.StatusTooManyRequests,
	gateway.NotRun: http.StatusServiceUnavailable, gateway.MayHaveRun: http.StatusBadGateway,
	gateway.TimedOut: http.StatusGatewayTimeout, gateway.BodyTooSlow: http.StatusRequestTimeout,
	gateway.TooManyBodies: http.StatusTooManyRequests,
}

func (s *httpSink) Fail(f gateway.Failure) {
	s.complete = true
	h := s.writer.Header()
	if f.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprintf("%.3f", f.RetryAfter.Seconds()))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	s.closeIfStopping()
	s.writer.WriteHeader(failureStatus[f.Kind])
	fmt.Fprintf(s.writer, "%s: %s\n", f.Kind, f.Reason)
}
