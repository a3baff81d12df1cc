// Package structs holds the domain types shared by all layers.
package structs

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// RequestID identifies an accepted request. It is unique across all entries.
type RequestID string

// TierName names a tier of the catalogue.
type TierName string

// Rank orders tiers: rank 0 is the most urgent, larger ranks are shed first.
type Rank int32

// OrganisationName names an organisation of the catalogue.
type OrganisationName string

// PoolName names an endpoint pool of the catalogue.
type PoolName string

// EndpointName names an endpoint of the catalogue.
type EndpointName string

// Target names the model or plain service that a request asks for.
type Target string

// WorkKind distinguishes model requests from calls of plain services.
type WorkKind int8

// The kinds of work.
const (
	WorkModel WorkKind = iota + 1
	WorkService
)

// PrefixHash identifies one block of a prompt together with all blocks
// before it.
type PrefixHash uint64

// Tokens counts model tokens.
type Tokens int64

// Request is the pool owner's view of a request: sizes and constraints, without
// the text.
type Request struct {
	ID    RequestID
	Entry instance.Process
	Pool  PoolName
	Kind  WorkKind
	// Target is the model or service asked for.
	Target       Target
	Tier         TierName
	Rank         Rank
	Organisation OrganisationName
	// Weight is the organisation's share inside its tier; 1 is usual.
	Weight float64
	// CallerKey is the caller's own key for this request, or empty. The owner
	// refuses a second grant for the same key.
	CallerKey string
	// WorkClass is an optional label of the kind of work, such as "label" or
	// "layout", by which output lengths are estimated.
	WorkClass       string
	PromptTokens    Tokens
	MaxOutputTokens Tokens
	// Prefix holds one hash for each complete block of the prompt, in order.
	Prefix []PrefixHash
	// Deadline is on the local clock of the process that holds this value.
	Deadline time.Time
	// TraceParent is the W3C trace context of the entry's span, or empty.
	TraceParent string
}

// Outcome states how a request ended. All interfaces use the same four names.
type Outcome int8

// The outcomes. OutcomeNotRun is used only if it is certain that no byte of the
// request was sent to an endpoint.
const (
	OutcomeNone Outcome = iota
	OutcomeDone
	OutcomeNotRun
	OutcomeFailed
	OutcomeUnknown
)

// String returns the name used in all interfaces, or "pending" for OutcomeNone.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeFailed:
		return "failed"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "pending"
	}
}

// Reason states why a request was refused or failed.
type Reason string

// The reasons. Each except ReasonNone has a text in remedies.
const (
	ReasonNone                Reason = ""
	ReasonQueueFull           Reason = "queue_full"
	ReasonDeadlineInQueue     Reason = "deadline_passed_in_queue"
	ReasonDeadlineRunning     Reason = "deadline_passed_while_running"
	ReasonNoEndpoint          Reason = "no_endpoint_serves_target"
	ReasonKeyGranted          Reason = "caller_key_already_granted"
	ReasonKeyUnsettled        Reason = "caller_key_unsettled"
	ReasonKeyExpired          Reason = "caller_key_expired"
	ReasonCallerLeft          Reason = "caller_left"
	ReasonDraining            Reason = "entry_draining"
	ReasonConfigStale         Reason = "configuration_behind"
	ReasonOwnerUnreachable    Reason = "pool_owner_unreachable"
	ReasonLogUnavailable      Reason = "log_unavailable"
	ReasonRetryBudget         Reason = "retry_budget_spent"
	ReasonConnectFailed       Reason = "endpoint_connect_failed"
	ReasonEngineError         Reason = "engine_error"
	ReasonStreamBroken        Reason = "answer_stream_broken"
	ReasonFrameMismatch       Reason = "frame_of_another_request"
	ReasonMemoryBound         Reason = "entry_memory_bound"
	ReasonEntryLost           Reason = "entry_lost"
	ReasonServiceError        Reason = "service_error"
	ReasonAnswerLost          Reason = "service_answer_lost"
	ReasonCanceledByOwner     Reason = "cancelled_for_higher_tier"
	ReasonOrganisationRemoved Reason = "organisation_removed"
	ReasonEndpointRejected    Reason = "endpoint_rejected"
)

var remedies = map[Reason]string{
	ReasonQueueFull:           "retry after the stated delay, or use a more urgent tier",
	ReasonDeadlineInQueue:     "retry with a later deadline, or when load is lower",
	ReasonDeadlineRunning:     "retry with a later deadline or a smaller output limit",
	ReasonNoEndpoint:          "ask the operator to declare an endpoint that serves this target",
	ReasonKeyGranted:          "fetch the first request's answer by its id; use a new key for new work",
	ReasonKeyUnsettled:        "an operator resolves the key after asking the service",
	ReasonKeyExpired:          "issue a new key; this one is older than the deduplication window",
	ReasonCallerLeft:          "none; the caller closed its connection",
	ReasonDraining:            "fetch the entry list again and use another address",
	ReasonConfigStale:         "use another entry; this one is catching up with the configuration",
	ReasonOwnerUnreachable:    "retry after the stated delay",
	ReasonLogUnavailable:      "retry with the same key when the log service is back",
	ReasonRetryBudget:         "retry after the stated delay",
	ReasonConnectFailed:       "retry after the stated delay",
	ReasonEngineError:         "look at the engine's own message; retry only if the work may run again",
	ReasonStreamBroken:        "the request may have run; retry only if it may run again",
	ReasonFrameMismatch:       "the request may have run; report the event to the operator",
	ReasonMemoryBound:         "retry after the stated delay or through another entry",
	ReasonEntryLost:           "the request may have run; retry only if it may run again",
	ReasonServiceError:        "look at the service's own message",
	ReasonAnswerLost:          "an operator resolves the key after asking the service",
	ReasonCanceledByOwner:     "retry after the stated delay",
	ReasonOrganisationRemoved: "ask the operator to create the organisation again",
	ReasonEndpointRejected:    "look at the endpoint's own message",
}

// Remedy returns what the recipient of the reason can do about it, or an empty
// string if it has no remedy.
func (r Reason) Remedy() string { return remedies[r] }

// Refusal is the error for a refused request.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay after which a retry is useful; zero means that
	// waiting does not help.
	RetryAfter time.Duration
}

// Error returns the reason and its remedy.
func (r Refusal) Error() string {
	return string(r.Reason) + ": " + r.Reason.Remedy()
}
