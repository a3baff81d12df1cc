package platform

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// directoryTTLSeconds is how long callers may cache a list of addresses. Some
// cache it three times as long; a stopping daemon remains reachable for that
// time.
const directoryTTLSeconds = 1

// directory serves the list of daemon addresses to callers.
type directory struct {
	// addresses returns the addresses for callers of a failure domain.
	addresses func(instance.FailureDomain) []string
}

func (d *directory) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(pathResolve, d.resolve).Methods(http.MethodGet)
	return router
}

func (d *directory) resolve(w http.ResponseWriter, r *http.Request) {
	addresses := d.addresses(instance.FailureDomain(r.URL.Query().Get(queryZone)))
	if len(addresses) == 0 {
		http.Error(w, "no daemon is ready", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, struct {
		Addresses []string
		TtlS      int
	}{addresses, directoryTTLSeconds})
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has left.
	_, _ = w.Write(body)
}

// readinessHandler serves the platform's readiness check.
func readinessHandler(ready func() bool) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(pathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return router
}
