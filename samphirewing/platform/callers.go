package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// maxBodyBytes bounds a request's body regardless of the configuration,
	// since the body is held in memory until the request ends.
	maxBodyBytes = 8 << 20
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 15 * time.Second
)

// callerHandler serves callers' requests.
type callerHandler struct {
	gateway  *gateway.Gateway
	stopping *atomic.Bool
}

func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sink := &httpSink{writer: w, control: http.NewResponseController(w), stopping: h.stopping.Load}
	request, err := decodeRequest(w, r)
	if err != nil {
		sink.Fail(*err)
		return
	}
	h.gateway.Serve(r.Context(), request, sink)
	if sink.aborted {
		// net/http closes the connection without completing the answer.
		panic(http.ErrAbortHandler)
	}
}

// decodeRequest reads a caller's complete request.
func decodeRequest(w http.ResponseWriter, r *http.Request) (*gateway.Request, *gateway.Failure) {
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
		Header: forwardedHeader(r.Header), Arrived: arrived, LastEventID: r.Header.Get(headerLastEvent), TraceParent: r.Header.Get(headerTrace),
	}
	if request.ID == "" || !strings.HasPrefix(path, "/") {
		return nil, &gateway.Failure{Kind: gateway.BadRequest, Reason: "the request has no id or path"}
	}
	request.APIKey, _ = strings.CutPrefix(r.Header.Get(headerKey), keyScheme)
	decodeNumericHeaders(r.Header, request)
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	request.Body = body
	return request, nil
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

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *gateway.Failure) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &gateway.Failure{Kind: gateway.TooLarge, Reason: "the body is over the limit"}
	case err != nil:
		return nil, &gateway.Failure{Kind: gateway.BadRequest, Reason: "the body can't be read: " + err.Error()}
	}
	return body, nil
}

// httpSink implements gateway.Sink for one HTTP answer.
type httpSink struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	stopping func() bool
	aborted  bool
	// lengthKnown is set if the answer's length was announced. Such an answer
	// isn't flushed before its end.
	lengthKnown bool
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
		s.lengthKnown = true
	}
	s.closeIfStopping()
	s.writer.WriteHeader(status)
}

// closeIfStopping asks the caller to use another connection if this daemon is
// stopping.
func (s *httpSink) closeIfStopping() {
	if s.stopping() {
		s.writer.Header().Set("Connection", "close")
	}
}

func (s *httpSink) Write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := s.writer.Write(p); err != nil {
		return errors.Trace(err)
	}
	if s.lengthKnown {
		return nil
	}
	return errors.Trace(s.control.Flush())
}

func (s *httpSink) End() {}

func (s *httpSink) Abort() { s.aborted = true }

var failureStatus = map[gateway.FailureKind]int{
	gateway.NotReady: http.StatusServiceUnavailable, gateway.NoRoute: http.StatusNotFound,
	gateway.BadKey: http.StatusUnauthorized, gateway.BadRequest: http.StatusBadRequest,
	gateway.TooLarge: http.StatusRequestEntityTooLarge, gateway.OverQuota: http.StatusTooManyRequests,
	gateway.NotRun: http.StatusServiceUnavailable, gateway.MayHaveRun: http.StatusBadGateway,
	gateway.TimedOut: http.StatusGatewayTimeout,
}

func (s *httpSink) Fail(f gateway.Failure) {
	h := s.writer.Header()
	if f.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprintf("%.3f", f.RetryAfter.Seconds()))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	s.closeIfStopping()
	s.writer.WriteHeader(failureStatus[f.Kind])
	fmt.Fprintf(s.writer, "%s: %s\n", f.Kind, f.Reason)
}
