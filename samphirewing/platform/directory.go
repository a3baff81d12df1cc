package platform

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// directoryAge is how long callers may keep a list of addresses, in seconds.
// Some keep it three times as long; a stopping daemon stays reachable so long.
const directoryAge = 1

// directory answers callers in search of an address.
type directory struct {
	// addresses returns the callers' addresses of the daemons that serve.
	addresses func() []string
}

func (d *directory) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(pathResolve, d.resolve).Methods(http.MethodGet)
	return router
}

func (d *directory) resolve(w http.ResponseWriter, _ *http.Request) {
	list := d.addresses()
	if len(list) == 0 {
		http.Error(w, "no daemon is ready", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, struct {
		Addresses []string
		TtlS      int
	}{list, directoryAge})
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_, _ = w.Write(body)
}

// readinessHandler answers the platform's readiness check.
func readinessHandler(ready func() bool) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(pathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return router
}
