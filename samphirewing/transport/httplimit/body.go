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

// BodyError reports that a request body was rejected.
type BodyError struct {
	Detail string
	Remedy string
	// Status is the HTTP status to answer with: a 4xx, or 503.
	Status int
	// RetryAfter is the delay after which the same request may be accepted; zero if
	// it never is.
	RetryAfter time.Duration
}

func (e *BodyError) Error() string { return "body: " + e.Detail + "; " + e.Remedy }

// TimedOut reports whether the body did not arrive in time.
func (e *BodyError) TimedOut() bool { return e.Status == http.StatusRequestTimeout }

// WithBodyTimeout bounds the time to receive a request body, also if the handler
// responds without reading it. For requests without a body it sets no read deadline,
// because the server detects the client's disconnect by a pending read.
func WithBodyTimeout(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody returns the complete body, at most limit bytes, and clears the deadline
// set by WithBodyTimeout. Errors are of type *BodyError.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	data, err := readSized(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, newBodyError(err, limit)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, nil
}

// readSized reads the body to EOF. If the length is known, it allocates the buffer
// only once.
func readSized(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, err
	}
	// net/http detects a disconnect only after the body has been read to EOF.
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

func newBodyError(err error, limit int64) error {
	var tooLargeErr *http.MaxBytesError
	switch {
	case errors.As(err, &tooLargeErr):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BodyError{Detail: "did not arrive in time", Remedy: "send it without pauses", Status: http.StatusRequestTimeout}
	default:
		return &BodyError{Detail: "cut off", Remedy: "send as many bytes as Content-Length says", Status: http.StatusBadRequest}
	}
}

// BearerToken returns the bearer token of the Authorization header, or empty.
func BearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
