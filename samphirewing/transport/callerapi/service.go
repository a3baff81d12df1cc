package callerapi

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/samphirewing/samphirewing/state/structs"
)

func (a *api) callService(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName) {
	submission, err := a.readServiceCall(w, r, organisation)
	if err != nil {
		a.writeError(w, err)
		return
	}
	answer, err := a.backend.Submit(r.Context(), submission)
	if err != nil {
		a.writeError(w, err)
		return
	}
	answer.Attach()
	defer answer.Detach()
	setRequestHeaders(w, answer)
	for finished := false; !finished; {
		if _, finished, err = answer.Next(r.Context(), 0); err != nil {
			a.abortDisconnected(answer)
		}
	}
	a.writeServiceResult(w, answer.ID(), answer.Result())
}

func (a *api) readServiceCall(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName) (Submission, error) {
	s, err := a.readHeaders(r, organisation)
	if err != nil {
		return s, err
	}
	s.Kind = structs.WorkService
	s.Target = structs.Target(mux.Vars(r)["name"])
	if s.CallerKey, err = readText(r, HeaderIdempotencyKey, maxKeyBytes); err != nil {
		return s, err
	}
	if s.KeyIssued, err = a.readKeyIssued(r); err != nil {
		return s, err
	}
	s.Body, err = a.readBody(w, r)
	return s, err
}

// writeServiceResult responds with the service's own status and body when the
// call succeeded, and with the outcome otherwise.
func (a *api) writeServiceResult(w http.ResponseWriter, id structs.RequestID, r Result) {
	if r.Outcome != structs.OutcomeDone {
		a.writeOutcome(w, id, r)
		return
	}
	w.Header().Set(HeaderOutcome, structs.OutcomeDone.String())
	contentType := "application/octet-stream"
	if json.Valid(r.ServiceBody) {
		contentType = contentTypeJSON
	}
	a.writeBody(w, orDefault(r.ServiceStatus, http.StatusOK), contentType, r.ServiceBody)
}
