package callerapi

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

// Request and response headers specific to this interface.
const (
	HeaderTier           = "X-Tier"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderCallerKey      = "X-Caller-Key"
	HeaderWorkClass      = "X-Work-Class"
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "X-Outcome"
	HeaderShouldRetry    = "X-Should-Retry"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderKeyIssued      = "Idempotency-Issued"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderTraceParent    = "Traceparent"
)

// api serves one Backend. It is safe for concurrent use.
type api struct {
	backend Backend
	options Options
}

// authenticatedHandler handles a request of an authenticated organisation.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName)

// New returns the HTTP handler of the interface for callers.
func New(b Backend, o Options) http.Handler {
	a := &api{backend: b, options: o.withDefaults()}
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/entries", a.listEntries).Methods(http.MethodGet)
	routes.HandleFunc("/v1/models", a.authenticate(a.listModels)).Methods(http.MethodGet)
	routes.HandleFunc("/v1/chat/completions", a.authenticate(a.completeChat)).Methods(http.MethodPost)
	routes.HandleFunc("/v1/completions", a.authenticate(a.completeText)).Methods(http.MethodPost)
	routes.HandleFunc("/v1/services/{name}", a.authenticate(a.callService)).Methods(http.MethodPost)
	routes.HandleFunc("/v1/requests/{id}", a.authenticate(a.requestStatus)).Methods(http.MethodGet)
	routes.HandleFunc("/v1/requests/{id}/answer", a.authenticate(a.requestAnswer)).Methods(http.MethodGet)
	routes.NotFoundHandler = http.HandlerFunc(a.notFound)
	routes.MethodNotAllowedHandler = http.HandlerFunc(a.methodNotAllowed)
	return httplimit.WithBodyTimeout(releaseBody(a.rejectUnexpectedBody(routes)), a.options.BodyTimeout)
}

// bodyKey is the key of a request's *httplimit.Body in its context.
type bodyKey struct{}

// releaseBody returns the memory of a request's body when the request ends.
func releaseBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body httplimit.Body
		defer func() { body.Release() }()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), bodyKey{}, &body)))
	})
}

// rejectUnexpectedBody rejects requests that carry a body although their method
// takes none.
func (a *api) rejectUnexpectedBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 && r.Method != http.MethodPost {
			a.rejectInput(w, http.StatusBadRequest, "body", "this method takes no body", "send the request without a body")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) authenticate(next authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		organisation, ok := a.backend.Authenticate(httplimit.BearerToken(r))
		if !ok {
			a.options.Events.Emit(eventAuthFailed, events.F("remote", r.RemoteAddr))
			a.rejectToken(w)
			return
		}
		next(w, r, organisation)
	}
}

// entryListBody is the response body of GET /v1/entries.
type entryListBody struct {
	Entries  []entryBody `json:"entries"`
	MaxAgeMs int64       `json:"keep_for_ms"`
}

type entryBody struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Weight        int    `json:"weight"`
}

func (a *api) listEntries(w http.ResponseWriter, r *http.Request) {
	list := a.backend.Entries(r.Context())
	body := entryListBody{
		Entries:  make([]entryBody, 0, len(list.Entries)),
		MaxAgeMs: list.MaxAge.Milliseconds(),
	}
	for _, e := range list.Entries {
		body.Entries = append(body.Entries, entryBody{
			Instance:      string(e.Instance),
			Address:       e.Address,
			FailureDomain: string(e.FailureDomain),
			Weight:        e.Weight,
		})
	}
	a.writeJSON(w, http.StatusOK, body)
}

func (a *api) listModels(w http.ResponseWriter, _ *http.Request, organisation structs.OrganisationName) {
	a.writeJSON(w, http.StatusOK, completions.NewModelList(a.backend.Models(organisation)))
}

func (a *api) notFound(w http.ResponseWriter, _ *http.Request) {
	a.rejectInput(w, http.StatusNotFound, "path", "no such address", "use an address of the callers' interface, such as /v1/chat/completions")
}

func (a *api) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	a.rejectInput(w, http.StatusMethodNotAllowed, "method", "not allowed on this address", "use POST for requests and GET for everything else")
}
