package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/state/structs"
)

const contentTypeJSON = "application/json"

// setWriteDeadline sets the deadline of the following writes.
func (a *api) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.options.WriteTimeout))
}

func (a *api) writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		a.options.Events.Emit(eventSubmitFault, events.F("error", err.Error()))
		http.Error(w, "internal fault", http.StatusInternalServerError)
		return
	}
	a.writeBody(w, status, contentTypeJSON, append(data, '\n'))
}

func (a *api) writeBody(w http.ResponseWriter, status int, contentType string, data []byte) {
	a.setWriteDeadline(w)
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (a *api) rejectToken(w http.ResponseWriter) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	body := completions.NewInvalidError("Authorization", "no organisation has this token", "send the organisation's bearer token")
	body.Error.Type = completions.ErrorAuthentication
	a.writeJSON(w, http.StatusUnauthorized, body)
}

func (a *api) rejectInput(w http.ResponseWriter, status int, field, detail, remedy string) {
	a.options.Events.Emit(eventInvalidRequest, events.F("field", field), events.F("detail", detail))
	w.Header().Set(HeaderOutcome, structs.OutcomeNotRun.String())
	w.Header().Set(HeaderShouldRetry, "false")
	a.writeJSON(w, status, completions.NewInvalidError(field, detail, remedy))
}

// writeError responds with the reason why a request was not accepted.
func (a *api) writeError(w http.ResponseWriter, err error) {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		a.rejectInput(w, invalid.Status, invalid.Field, invalid.Detail, invalid.Remedy)
		return
	}
	var field *completions.FieldError
	if errors.As(err, &field) {
		a.rejectInput(w, http.StatusBadRequest, field.Field, field.Detail, field.Remedy)
		return
	}
	var refusal structs.Refusal
	if errors.As(err, &refusal) {
		a.writeOutcome(w, "", Result{Outcome: refusal.Outcome, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter})
		return
	}
	a.options.Events.Emit(eventSubmitFault, events.F("error", err.Error()))
	a.writeOutcome(w, "", Result{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonEntryLost})
}

// outcomeBody returns the error body of a request with an outcome other than
// done.
func outcomeBody(id structs.RequestID, r Result) completions.ErrorBody {
	body := completions.NewOutcomeError(r.Outcome, r.Reason, r.RetryAfter)
	body.Error.RequestID = string(id)
	body.Error.Detail = r.Detail
	body.Error.ServiceStatus = r.ServiceStatus
	body.Error.ServiceBody = string(r.ServiceBody)
	return body
}

// writeOutcome responds with an outcome other than done. It must be called before
// any byte of the response is sent. Only a request that was not run is marked as
// retryable.
func (a *api) writeOutcome(w http.ResponseWriter, id structs.RequestID, r Result) {
	h := w.Header()
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(r.RetryAfter.Seconds())), 10))
	}
	h.Set(HeaderShouldRetry, strconv.FormatBool(r.Outcome == structs.OutcomeNotRun && r.RetryAfter > 0))
	a.writeJSON(w, httpStatus(r.Outcome, r.Reason), outcomeBody(id, r))
}

// httpStatus maps an outcome other than done to an HTTP status.
func httpStatus(o structs.Outcome, reason structs.Reason) int {
	switch reason {
	case structs.ReasonQueueFull, structs.ReasonRetryBudget:
		return http.StatusTooManyRequests
	case structs.ReasonKeyGranted, structs.ReasonKeyUnsettled:
		return http.StatusConflict
	case structs.ReasonKeyExpired:
		return http.StatusGone
	case structs.ReasonDeadlineInQueue, structs.ReasonDeadlineRunning:
		return http.StatusGatewayTimeout
	}
	if o == structs.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
