package completions

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// ErrorType tells classes of errors apart. A type other than the first two is
// an outcome.
type ErrorType string

// The classes of errors.
const (
	ErrorInvalid        ErrorType = "invalid_request_error"
	ErrorAuthentication ErrorType = "authentication_error"
	ErrorNotRun         ErrorType = "not_run"
	ErrorFailed         ErrorType = "failed"
	ErrorUnknown        ErrorType = "unknown"
)

// ErrorBody is the body of each answer that is not a success, and the data of
// the event that ends a failed stream.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says how a request ended and what to do about it.
type ErrorDetail struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	// Outcome is not_run, failed or unknown.
	Outcome string         `json:"outcome"`
	Reason  structs.Reason `json:"reason,omitempty"`
	Remedy  string         `json:"remedy,omitempty"`
	// Param is the field or header at fault.
	Param  string `json:"param,omitempty"`
	Detail string `json:"detail,omitempty"`
	// RetryAfterMs is zero when no time helps.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// ServiceStatus and ServiceBody are a plain service's own answer.
	ServiceStatus int    `json:"service_status,omitempty"`
	ServiceBody   string `json:"service_body,omitempty"`
}

// NewOutcomeError returns the body for a request that did not end as done.
func NewOutcomeError(outcome structs.Outcome, reason structs.Reason, retryAfter time.Duration) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:      outcome.String() + ": " + string(reason) + "; " + reason.Remedy(),
		Type:         ErrorType(outcome.String()),
		Outcome:      outcome.String(),
		Reason:       reason,
		Remedy:       reason.Remedy(),
		RetryAfterMs: retryAfter.Milliseconds(),
	}}
}

// NewInvalidError returns the body for a fault in what the caller sent. Such a
// request was not run.
func NewInvalidError(field, detail, remedy string) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message: field + ": " + detail + "; " + remedy,
		Type:    ErrorInvalid,
		Outcome: structs.OutcomeNotRun.String(),
		Param:   field,
		Detail:  detail,
		Remedy:  remedy,
	}}
}
