package operatorapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/transport/httplimit"
)

// Path is the path to which statements are posted.
const Path = "/v1/statements"

// HeaderIncomplete is the header with the value of Response.Incomplete, "true" or
// "false".
const HeaderIncomplete = "X-Incomplete"

// The media types of responses. Text is the default; a client requests JSON with
// its Accept header.
const (
	ContentText      = "text/plain; charset=utf-8"
	ContentJSON      = "application/json"
	ContentJSONLines = "application/x-ndjson"
)

// api serves one Backend. It is safe for concurrent use.
type api struct {
	backend Backend
	options Options
}

// New returns the HTTP handler of the interface for operators.
func New(b Backend, o Options) http.Handler {
	a := &api{backend: b, options: o.withDefaults()}
	routes := mux.NewRouter()
	routes.HandleFunc(Path, a.handleStatements).Methods(http.MethodPost)
	return httplimit.WithBodyTimeout(routes, a.options.BodyTimeout)
}

// RequireOperator returns a handler that passes only requests with an operator's
// token to next. It protects other paths of the operators' listener, such as
// profiles.
func RequireOperator(o Options, next http.Handler) http.Handler {
	a := &api{options: o.withDefaults()}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := a.authenticate(w, r); ok {
			next.ServeHTTP(w, r)
		}
	})
}

// authenticate returns the name of the operator whose token the request carries.
// If the token is unknown, it responds with an error and returns false.
func (a *api) authenticate(w http.ResponseWriter, r *http.Request) (string, bool) {
	operator, ok := a.options.authenticate(httplimit.BearerToken(r))
	if ok {
		return operator, true
	}
	a.options.Events.Emit(eventAuthFailed, events.F("remote", r.RemoteAddr))
	w.Header().Set("WWW-Authenticate", "Bearer")
	failure := &Failure{Kind: FailureUnauthorised, Message: "no operator has this token; give an operator's token"}
	a.respond(w, r, Response{Results: []Result{}, Error: failure})
	return "", false
}

func (a *api) handleStatements(w http.ResponseWriter, r *http.Request) {
	operator, ok := a.authenticate(w, r)
	if !ok {
		return
	}
	s := session{backend: a.backend, options: a.options, operator: operator}
	units, err := readUnits(w, r)
	if err != nil {
		a.respond(w, r, Response{Results: []Result{}, Error: s.reportFailure(err)})
		return
	}
	if watch, ok := singleWatch(units); ok {
		a.watch(w, r, s, watch)
		return
	}
	a.respond(w, r, s.execute(r.Context(), units))
}

func readUnits(w http.ResponseWriter, r *http.Request) ([]language.Unit, error) {
	text, err := httplimit.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		return nil, &language.Error{Position: language.Position{Line: 1, Column: 1}, Detail: err.Error(), Remedy: "send the text again"}
	}
	statements, err := language.Parse(string(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return language.Units(statements)
}

func singleWatch(units []language.Unit) (language.Watch, bool) {
	if len(units) != 1 {
		return language.Watch{}, false
	}
	watch, ok := units[0].Single.(language.Watch)
	return watch, ok
}

func wantsJSON(r *http.Request) bool { return strings.Contains(r.Header.Get("Accept"), "json") }

func (a *api) respond(w http.ResponseWriter, r *http.Request, response Response) {
	status := http.StatusOK
	if response.Error != nil {
		status = response.Error.Kind.Status()
	}
	body, contentType := encode(r, response)
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderIncomplete, strconv.FormatBool(response.Incomplete))
	a.setWriteDeadline(w)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func encode(r *http.Request, response Response) (body []byte, contentType string) {
	if wantsJSON(r) {
		data, err := json.Marshal(response)
		if err != nil {
			panic(errors.Annotate(err, "encode operator's answer"))
		}
		return append(data, '\n'), ContentJSON
	}
	var b bytes.Buffer
	response.writeText(&b)
	return b.Bytes(), ContentText
}

// setWriteDeadline sets the deadline of the following writes.
func (a *api) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.options.WriteTimeout))
}

// watch repeats a query at the statement's interval until the operator
// disconnects. In JSON each result is one line.
func (a *api) watch(w http.ResponseWriter, r *http.Request, s session, statement language.Watch) {
	contentType := ContentText
	if wantsJSON(r) {
		contentType = ContentJSONLines
	}
	w.Header().Set("Content-Type", contentType)
	control := http.NewResponseController(w)
	tick := time.NewTicker(statement.Every)
	defer tick.Stop()
	show := []language.Unit{{Single: language.Show{Query: statement.Query}}}
	for {
		body, _ := encode(r, s.execute(r.Context(), show))
		if !wantsJSON(r) {
			stamp := a.options.Clock.Now().UTC().Format(time.RFC3339)
			body = append([]byte("-- "+stamp+"\n"), body...)
		}
		a.setWriteDeadline(w)
		if _, err := w.Write(body); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}
