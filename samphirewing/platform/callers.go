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
	// maxBodyBytes bounds a request's body whatever the configuration allows;
	// it is held in memory until the request ends.
	maxBodyBytes = 8 << 20
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 15 * time.Second
)

// callerHandler serves callers' requests.
type callerHandler struct {
	gateway  *gateway.Gateway
	stopping *atomic.Bool
}

func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sink := &httpSink{writer: w, control: http.NewResponseController(w), closing: h.stopping.Load}
	request, err := decodeRequest(w, r)
	if err != nil {
		sink.Fail(*err)
		return
	}
	h.gateway.Serve(r.Context(), request, sink)
	if sink.broken {
		// net/http closes the connection without completing the answer.
		panic(http.ErrAbortHandler)
	}
}

// decodeRequest reads a caller's request whole.
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
		Header: passedHeader(r.Header), Arrived: arrived, LastEvent: r.Header.Get(headerLastEvent), TraceParent: r.Header.Get(headerTrace),
	}
	if request.ID == "" || !strings.HasPrefix(path, "/") {
		return nil, &gateway.Failure{Kind: gateway.BadRequest, Reason: "the request has no id or path"}
	}
	request.Key, _ = strings.CutPrefix(r.Header.Get(headerKey), keyScheme)
	decodeCounts(r.Header, request)
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	request.Body = body
	return request, nil
}

// decodeCounts reads the deadline and the token counts. Values that can't be
// read count as missing, since endpoints are sent them as they are.
func decodeCounts(h http.Header, request *gateway.Request) {
	if ms, err := strconv.ParseFloat(h.Get(headerDeadline), 64); err == nil && ms > 0 {
		request.Deadline = millis(ms)
	}
	prompt, output, found := strings.Cut(h.Get(headerTokenCounts), ",")
	p, promptErr := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	o, outputErr := strconv.ParseInt(strings.TrimSpace(output), 10, 64)
	if found && promptErr == nil && outputErr == nil && p >= 0 && o >= 0 {
		request.Prompt, request.MaxOutput, request.Declared = structs.Tokens(p), structs.Tokens(o), true
	}
	if hint, err := strconv.ParseInt(h.Get(headerOutputHint), 10, 64); err == nil && hint > 0 {
		request.OutputHint = structs.Tokens(hint)
	}
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

// httpSink writes one answer.
type httpSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	closing func() bool
	broken  bool
	// whole is set when the answer's length was announced, so that it needs no
	// flush before its end.
	whole bool
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
		// A nil value keeps net/http from guessing a type.
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
		s.whole = true
	}
	s.closeAfter()
	s.writer.WriteHeader(status)
}

// closeAfter asks the caller to use another connection when this daemon stops.
func (s *httpSink) closeAfter() {
	if s.closing() {
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
	if s.whole {
		return nil
	}
	return errors.Trace(s.control.Flush())
}

func (s *httpSink) End() {}

func (s *httpSink) Break() { s.broken = true }

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
	s.closeAfter()
	s.writer.WriteHeader(failureStatus[f.Kind])
	fmt.Fprintf(s.writer, "%s: %s\n", f.Kind, f.Reason)
}
