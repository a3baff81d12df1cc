package platform

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	pathBlockedParts = "/blocked-parts"
	pathRollouts     = "/rollouts"
	// pathPart is the variable of a path that names a prompt part.
	pathPart = "part"
)

// operatorHandler lists and releases blocked prompt parts, and explains rollouts.
type operatorHandler struct{ gateway *gateway.Gateway }

// register adds the handler's paths to a router.
func (h *operatorHandler) register(router *mux.Router) {
	router.HandleFunc(pathBlockedParts, h.list).Methods(http.MethodGet)
	router.HandleFunc(pathRollouts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.gateway.ExplainRollouts()) }).Methods(http.MethodGet)
	router.HandleFunc(pathBlockedParts+"/{"+pathPart+"}", h.release).Methods(http.MethodDelete)
}

func (h *operatorHandler) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.gateway.BlockedParts())
}

func (h *operatorHandler) release(w http.ResponseWriter, r *http.Request) {
	part, err := structs.ParsePromptPart(mux.Vars(r)[pathPart])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.gateway.ReleasePart(part) {
		http.Error(w, "the part is not blocked; GET "+pathBlockedParts+" lists those that are", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
