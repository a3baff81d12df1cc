package callerapi

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/state/structs"
)

func invalid(field, detail, remedy string) error {
	return &InvalidError{Field: field, Detail: detail, Remedy: remedy, Status: http.StatusBadRequest}
}

// readBody returns the whole body, bounded in size and time.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := a.options.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	data, err := readSized(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, a.bodyError(err, limit)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, nil
}

// readSized reads to the end, without growing the buffer when the length is known.
func readSized(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	if err != nil {
		return nil, err
	}
	// Reading the end lets the server watch the connection from here on.
	var end [1]byte
	if _, err := body.Read(end[:]); err != io.EOF {
		return nil, err
	}
	return data, nil
}

func bodyTooLarge(limit int64) error {
	return &InvalidError{
		Field:  "body",
		Detail: "larger than " + strconv.FormatInt(limit, 10) + " bytes",
		Remedy: "shorten the prompt or payload",
		Status: http.StatusRequestEntityTooLarge,
	}
}

func (a *api) bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.options.Events.Emit(eventBodyTimeout)
		return &InvalidError{
			Field:  "body",
			Detail: "did not arrive within " + a.options.BodyTimeout.String(),
			Remedy: "send the body without pauses",
			Status: http.StatusRequestTimeout,
		}
	default:
		return invalid("body", "cut off", "send as many bytes as Content-Length says")
	}
}

// readHeaders returns a Submission with what the headers say.
func (a *api) readHeaders(r *http.Request, organisation structs.OrganisationName) (Submission, error) {
	s := Submission{Organisation: organisation, Tier: structs.TierName(r.Header.Get(HeaderTier))}
	var err error
	if s.Deadline, err = a.readDeadline(r); err != nil {
		return s, err
	}
	if s.WorkClass, err = readText(r, HeaderWorkClass, maxWorkClassBytes); err != nil {
		return s, err
	}
	s.TraceParent = readTraceParent(r)
	return s, nil
}

// readDeadline reads the time that the caller allows, in milliseconds from now.
func (a *api) readDeadline(r *http.Request) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, invalid(HeaderDeadline, "not a whole number", "send the milliseconds that the answer may take")
	}
	if ms <= 0 {
		return time.Time{}, invalid(HeaderDeadline, "already past", "send a number above 0")
	}
	if ms > a.options.MaxDeadline.Milliseconds() {
		return time.Time{}, invalid(HeaderDeadline, "longer than "+a.options.MaxDeadline.String(), "send a smaller number")
	}
	return a.options.Clock.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// readText reads a header of printable text.
func readText(r *http.Request, header string, limit int) (string, error) {
	text := r.Header.Get(header)
	if len(text) > limit {
		return "", invalid(header, "longer than "+strconv.Itoa(limit)+" bytes", "shorten it")
	}
	if !utf8.ValidString(text) {
		return "", invalid(header, "not valid UTF-8", "send printable text")
	}
	return text, nil
}

// readKeyIssued reads when an idempotency key was made.
func (a *api) readKeyIssued(r *http.Request) (time.Time, error) {
	text := r.Header.Get(HeaderKeyIssued)
	if text == "" {
		return time.Time{}, nil
	}
	issued, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return issued, invalid(HeaderKeyIssued, "not a time", "send it as 2026-01-31T08:15:00Z")
	}
	if issued.After(a.options.Clock.Now().Add(maxKeyAhead)) {
		return issued, invalid(HeaderKeyIssued, "in the future", "send the time when the key was made")
	}
	return issued, nil
}

// readTraceParent returns a well-formed W3C trace context, or empty.
func readTraceParent(r *http.Request) string {
	const length = len("00-0123456789abcdef0123456789abcdef-0123456789abcdef-01")
	text := r.Header.Get(HeaderTraceParent)
	if len(text) != length || text[:3] != "00-" || text[35] != '-' || text[52] != '-' {
		return ""
	}
	return text
}
