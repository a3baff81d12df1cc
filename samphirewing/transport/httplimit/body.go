package httplimit

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// BodyError is a body that was refused.
type BodyError struct {
	Detail string
	Remedy string
	// Status is the HTTP status to answer with, a 4xx.
	Status int
}

// Error returns the fault and the remedy.
func (e *BodyError) Error() string { return "body: " + e.Detail + "; " + e.Remedy }

// TimedOut reports whether the body did not arrive in time.
func (e *BodyError) TimedOut() bool { return e.Status == http.StatusRequestTimeout }

// WithBodyTimeout bounds the time that a body may take, also where the handler answers
// without reading it. Requests without a body keep an open read side, by which
// the server notices that the client leaves.
func WithBodyTimeout(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody returns the whole body, at most limit bytes, and lifts the time
// bound that Guard set. It returns a *BodyError.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	data, err := readSized(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, bodyError(err, limit)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, nil
}

// readSized reads to the end, without growing the buffer when the length is
// known.
func readSized(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, err
	}
	// Reading the end lets the server watch the connection from here on.
	_, err := io.Copy(io.Discard, body)
	return data, err
}

func tooLarge(limit int64) error {
	return &BodyError{
		Detail: "larger than " + strconv.FormatInt(limit, 10) + " bytes",
		Remedy: "send less in one request",
		Status: http.StatusRequestEntityTooLarge,
	}
}

func bodyError(err error, limit int64) error {
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BodyError{Detail: "did not arrive in time", Remedy: "send it without pauses", Status: http.StatusRequestTimeout}
	default:
		return &BodyError{Detail: "cut off", Remedy: "send as many bytes as Content-Length says", Status: http.StatusBadRequest}
	}
}

// BearerToken returns the token of the Authorization header, or empty.
func BearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
