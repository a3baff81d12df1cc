package completions

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// ErrorType is the value of the error body's type field.
type ErrorType string

// The error types. All but the first two are the names of outcomes.
const (
	ErrorInvalid        ErrorType = "invalid_request_error"
	ErrorAuthentication ErrorType = "authentication_error"
	ErrorNotRun         ErrorType = "not_run"
	ErrorFailed         ErrorType = "failed"
	ErrorUnknown        ErrorType = "unknown"
)

// ErrorBody is the body of an unsuccessful answer, and the data of the event
// that ends a failed stream.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and its remedy.
type ErrorDetail struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	// Outcome is not_run, failed or unknown.
	Outcome string         `json:"outcome"`
	Reason  structs.Reason `json:"reason,omitempty"`
	Remedy  string         `json:"remedy,omitempty"`
	// Param is the invalid field or header.
	Param  string `json:"param,omitempty"`
	Detail string `json:"detail,omitempty"`
	// RetryAfterMs is zero if waiting does not help.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// ServiceStatus and ServiceBody are the answer of a plain service.
	ServiceStatus int    `json:"service_status,omitempty"`
	ServiceBody   string `json:"service_body,omitempty"`
}

// NewOutcomeError returns the body for a request whose outcome is not done.
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

// NewInvalidError returns the body for an invalid request. The outcome of such a
// request is not_run.
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
