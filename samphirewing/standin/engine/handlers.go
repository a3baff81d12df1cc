package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

const maxBodyBytes = 16 << 20

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathGenerate, s.handleGenerate)
	mux.HandleFunc("POST "+enginewire.PathResume, s.handleResume)
	mux.HandleFunc("POST "+enginewire.PathCancel, s.handleCancel)
	mux.HandleFunc("GET "+enginewire.PathLoad, s.handleLoad)
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, s.handleCacheEvents)
	mux.HandleFunc("POST "+enginewire.PathOrder, s.handleOrder)
	mux.HandleFunc("GET "+enginewire.PathState, s.handleState)
	return mux
}

func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		netfault.WriteError(w, http.StatusBadRequest, err.Error())
		return body, false
	}
	return body, true
}

func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request) {
	g, ok := decodeBody[enginewire.Generate](w, r)
	if !ok {
		return
	}
	s.counts.recordArrival(g.Request)
	switch {
	case s.Faults().Reject:
		netfault.WriteError(w, http.StatusServiceUnavailable, "rejected by a fault switch")
		return
	case !s.hasModel(g.Model):
		netfault.WriteError(w, http.StatusNotFound, fmt.Sprintf("model %q isn't loaded", g.Model))
		return
	case g.Request == "" || g.MaxTokens <= 0:
		netfault.WriteError(w, http.StatusBadRequest, "request and max_tokens are needed")
		return
	}
	started := s.startRun(g)
	if started == nil {
		netfault.WriteError(w, http.StatusConflict, "the attempt has run already")
		return
	}
	s.counts.recordRun(g.Request)
	s.serveFrames(w, r, started, 0, s.Faults().CutAfterFrames)
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	body, ok := decodeBody[enginewire.Resume](w, r)
	if !ok {
		return
	}
	found := s.findRun(body.Attempt)
	if found == nil {
		netfault.WriteError(w, http.StatusNotFound, "the attempt isn't known")
		return
	}
	s.serveFrames(w, r, found, body.After, 0)
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	body, ok := decodeBody[enginewire.Attempt](w, r)
	if !ok {
		return
	}
	if found := s.findRun(body); found != nil {
		found.cancel()
	}
	netfault.WriteJSON(w, http.StatusOK, body)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	sample := s.batch.loadHistory.lagged()
	netfault.WriteJSON(w, http.StatusOK, enginewire.Load{
		AgeMillis:     scaleDuration(s.options.LoadLag, s.options.Speedup).Milliseconds(),
		Running:       sample.running,
		Waiting:       sample.waiting,
		TokensInUse:   sample.tokens,
		TokenCapacity: s.options.TokenCapacity,
	})
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		netfault.WriteError(w, http.StatusBadRequest, "after must be a sequence number")
		return
	}
	events := []enginewire.CacheEvent{}
	if !s.Faults().HideEvents {
		events = s.events.publishedAfter(after)
	}
	netfault.WriteJSON(w, http.StatusOK, enginewire.CacheEvents{Events: events})
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	netfault.WriteJSON(w, http.StatusOK, s.currentState())
}

func (s *Server) currentState() enginewire.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return enginewire.State{
		Models:   slices.Clone(s.state.Models),
		Adapters: slices.Clone(s.state.Adapters),
		Role:     s.state.Role,
		Fencing:  s.state.Fencing,
	}
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, ok := decodeBody[enginewire.Order](w, r)
	if !ok {
		return
	}
	if s.Faults().IgnoreOrders {
		netfault.WriteJSON(w, http.StatusOK, s.currentState())
		return
	}
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	before := s.currentState()
	if s.options.CheckFencing && o.Fencing < before.Fencing {
		message := fmt.Sprintf("fencing number %d is older than %d", o.Fencing, before.Fencing)
		netfault.WriteError(w, http.StatusPreconditionFailed, message)
		return
	}
	s.applyOrder(o, before)
	netfault.WriteJSON(w, http.StatusOK, s.currentState())
}

// applyOrder sets the state that an order asks for. It takes OrderTime if the
// order changes the models, adapters or role. A change of models or adapters
// clears the prefix cache.
func (s *Server) applyOrder(o enginewire.Order, before enginewire.State) {
	reload := !slices.Equal(o.Models, before.Models) || !slices.Equal(o.Adapters, before.Adapters)
	if (reload || o.Role != before.Role) && s.options.OrderTime > 0 {
		time.Sleep(scaleDuration(s.options.OrderTime, s.options.Speedup))
	}
	s.mu.Lock()
	s.state = enginewire.State{
		Models:   slices.Clone(o.Models),
		Adapters: slices.Clone(o.Adapters),
		Role:     o.Role,
		Fencing:  max(o.Fencing, before.Fencing),
	}
	s.mu.Unlock()
	if reload {
		s.ClearCache()
	}
}
