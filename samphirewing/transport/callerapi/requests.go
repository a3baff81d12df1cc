package callerapi

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/state/structs"
)

// RequestStatus is the response body of GET /v1/requests/{id}.
type RequestStatus struct {
	ID    structs.RequestID `json:"id"`
	State RequestState      `json:"state"`
	// Outcome is "pending" until the request has finished.
	Outcome      string             `json:"outcome"`
	Reason       structs.Reason     `json:"reason,omitempty"`
	Remedy       string             `json:"remedy,omitempty"`
	Detail       string             `json:"detail,omitempty"`
	RetryAfterMs int64              `json:"retry_after_ms,omitempty"`
	FinishReason string             `json:"finish_reason,omitempty"`
	Usage        *completions.Usage `json:"usage,omitempty"`
}

func (a *api) lookupAnswer(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName) (Answer, bool) {
	answer, ok := a.backend.Lookup(organisation, structs.RequestID(mux.Vars(r)["id"]))
	if !ok {
		a.rejectInput(w, http.StatusNotFound, "id", "this entry holds no such request of the organisation",
			"ask the entry that took the request; answers are kept there for a while after their end")
		return nil, false
	}
	setRequestHeaders(w, answer)
	return answer, true
}

func (a *api) requestStatus(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName) {
	answer, ok := a.lookupAnswer(w, r, organisation)
	if !ok {
		return
	}
	status := RequestStatus{ID: answer.ID(), State: answer.State(), Outcome: structs.OutcomeNone.String()}
	if status.State == StateEnded {
		result := answer.Result()
		usage := completions.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
		status.Outcome = result.Outcome.String()
		status.Reason = result.Reason
		status.Remedy = result.Reason.Remedy()
		status.Detail = result.Detail
		status.RetryAfterMs = result.RetryAfter.Milliseconds()
		status.FinishReason = result.FinishReason
		status.Usage = &usage
	}
	a.writeJSON(w, http.StatusOK, status)
}

// requestAnswer streams an answer from a sequence number on. The answer of a
// plain service is sent as one body when the call has finished.
func (a *api) requestAnswer(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName) {
	after, err := readAfter(r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	answer, ok := a.lookupAnswer(w, r, organisation)
	if !ok {
		return
	}
	if answer.State() == StateEnded && answer.Result().ServiceStatus != 0 {
		a.writeServiceResult(w, answer.ID(), answer.Result())
		return
	}
	format := responseFormat{style: completions.StyleText, stream: true, created: a.options.Clock.Now().Unix()}
	if r.URL.Query().Get("style") == "chat" {
		format.style = completions.StyleChat
	}
	answer.Attach()
	defer answer.Detach()
	a.newDelivery(w, answer, format, after).stream(r.Context())
}

// readAfter returns the last sequence number that the caller received, from the
// query or from the header that event-stream clients send when they reconnect.
func readAfter(r *http.Request) (uint64, error) {
	field, text := "after", r.URL.Query().Get("after")
	if text == "" {
		field, text = HeaderLastEventID, r.Header.Get(HeaderLastEventID)
	}
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalid(field, "not a sequence number", "send the id of the last event that arrived")
	}
	return after, nil
}
