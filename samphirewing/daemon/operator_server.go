package daemon

import (
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/operatorapi"
)

// Paths of the operator listener, apart from statements.
const (
	pathHealth = "/health"
	pathReady  = "/ready"
	// pathReadyBookings reports whether calls that are not repeatable are accepted.
	// It is separate from pathReady, because model requests are served while the
	// log is unavailable.
	pathReadyBookings = "/ready/bookings"
	pathProfiles      = "/debug/pprof/"
	pathMetrics       = "/metrics"
)

// operatorHandler serves statements, health, metrics and profiles.
func (d *Daemon) operatorHandler() (http.Handler, error) {
	operators, err := parseOperators(d.settings.Operators)
	if err != nil {
		return nil, err
	}
	router := mux.NewRouter()
	router.HandleFunc(pathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, true, "alive")
	})
	router.HandleFunc(pathReady, func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, d.Ready(), "ready")
	})
	router.HandleFunc(pathReadyBookings, func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, d.AcceptsBookings(r.Context()), "ready")
	})
	options := operatorapi.Options{Operators: operators, Events: d.events, Clock: d.clock}
	router.Handle(pathMetrics, operatorapi.RequireOperator(options, telemetry.Handler(d.meter.registry)))
	router.PathPrefix(pathProfiles).Handler(operatorapi.RequireOperator(options, pprofHandler()))
	router.PathPrefix("/").Handler(operatorapi.New(operatorBackend{daemon: d}, options))
	return router, nil
}

func parseOperators(credentials []OperatorCredential) ([]operatorapi.Operator, error) {
	var operators []operatorapi.Operator
	for _, c := range credentials {
		o, err := operatorapi.ParseOperator(c.Name + "=" + c.TokenHash)
		if err != nil {
			return nil, errors.Annotate(err, "--operators")
		}
		operators = append(operators, o)
	}
	return operators, nil
}

func writeStatus(w http.ResponseWriter, ok bool, status string) {
	w.Header().Set("Content-Type", operatorapi.ContentText)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		status = "not " + status
	}
	_, _ = w.Write([]byte(status + "\n"))
}

func pprofHandler() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc(pathProfiles, pprof.Index)
	handler.HandleFunc(pathProfiles+"cmdline", pprof.Cmdline)
	handler.HandleFunc(pathProfiles+"profile", pprof.Profile)
	handler.HandleFunc(pathProfiles+"symbol", pprof.Symbol)
	handler.HandleFunc(pathProfiles+"trace", pprof.Trace)
	return handler
}

func (d *Daemon) newOperatorServer(handler http.Handler) *http.Server {
	return callerapi.NewServer(handler, callerapi.ServerOptions{Events: d.events})
}
