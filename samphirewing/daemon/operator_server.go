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

// The paths of the operator listener beside the statements.
const (
	pathHealth = "/health"
	pathReady  = "/ready"
	// pathReadyBookings tells whether calls that may not be repeated are taken;
	// it is not part of pathReady, because model requests go on without the log.
	pathReadyBookings = "/ready/bookings"
	pathProfile       = "/debug/pprof/"
	pathMetrics       = "/metrics"
)

// operatorHandler joins statements, health, metrics and profiles.
func (d *Daemon) operatorHandler() (http.Handler, error) {
	operators, err := operatorsOf(d.settings.Operators)
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
		writeStatus(w, d.BookingsOpen(r.Context()), "ready")
	})
	options := operatorapi.Options{Operators: operators, Events: d.events, Clock: d.clock}
	router.Handle(pathMetrics, operatorapi.RequireOperator(options, telemetry.Handler(d.meter.registry)))
	router.PathPrefix(pathProfile).Handler(operatorapi.RequireOperator(options, profiles()))
	router.PathPrefix("/").Handler(operatorapi.New(operatorBackend{daemon: d}, options))
	return router, nil
}

func operatorsOf(credentials []OperatorCredential) ([]operatorapi.Operator, error) {
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

func writeStatus(w http.ResponseWriter, ok bool, word string) {
	w.Header().Set("Content-Type", operatorapi.ContentText)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		word = "not " + word
	}
	_, _ = w.Write([]byte(word + "\n"))
}

func profiles() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc(pathProfile, pprof.Index)
	handler.HandleFunc(pathProfile+"cmdline", pprof.Cmdline)
	handler.HandleFunc(pathProfile+"profile", pprof.Profile)
	handler.HandleFunc(pathProfile+"symbol", pprof.Symbol)
	handler.HandleFunc(pathProfile+"trace", pprof.Trace)
	return handler
}

func (d *Daemon) newOperatorServer(handler http.Handler) *http.Server {
	return callerapi.NewServer(handler, callerapi.ServerOptions{Events: d.events})
}
