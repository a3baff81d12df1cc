package callerapi

import (
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

func invalid(field, detail, remedy string) error {
	return &InvalidError{Field: field, Detail: detail, Remedy: remedy, Status: http.StatusBadRequest}
}

// readBody returns the complete body, bounded in size, time and memory. The memory
// is returned by releaseBody.
func (a *api) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := a.options.Guard.ReadBody(w, r, a.options.MaxBodyBytes)
	var bodyErr *httplimit.BodyError
	if !errors.As(err, &bodyErr) {
		if holder, ok := r.Context().Value(bodyKey{}).(*httplimit.Body); ok {
			*holder = body
		}
		return body.Data, err
	}
	if bodyErr.RetryAfter > 0 {
		return nil, structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonMemoryBound, RetryAfter: bodyErr.RetryAfter}
	}
	if bodyErr.TimedOut() {
		a.options.Events.Emit(eventBodyTimeout, events.F("remote", r.RemoteAddr))
	}
	return nil, &InvalidError{Field: "body", Detail: bodyErr.Detail, Remedy: bodyErr.Remedy, Status: bodyErr.Status}
}

// readHeaders returns a Submission with the fields that headers carry.
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

// readDeadline returns the request's deadline, which the header gives in
// milliseconds from now. It is zero when the header is absent.
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

// readText returns a header's value, which must be UTF-8 of at most limit bytes.
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

// readKeyIssued returns when an idempotency key was created, or zero.
func (a *api) readKeyIssued(r *http.Request) (time.Time, error) {
	text := r.Header.Get(HeaderKeyIssued)
	if text == "" {
		return time.Time{}, nil
	}
	issued, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return issued, invalid(HeaderKeyIssued, "not a time", "send it as 2026-01-31T08:15:00Z")
	}
	if issued.After(a.options.Clock.Now().Add(maxKeyIssueSkew)) {
		return issued, invalid(HeaderKeyIssued, "in the future", "send the time when the key was made")
	}
	return issued, nil
}

// readTraceParent returns the W3C trace context, or empty when it is malformed.
func readTraceParent(r *http.Request) string {
	const length = len("00-0123456789abcdef0123456789abcdef-0123456789abcdef-01")
	text := r.Header.Get(HeaderTraceParent)
	if len(text) != length || text[:3] != "00-" || text[35] != '-' || text[52] != '-' {
		return ""
	}
	return text
}
