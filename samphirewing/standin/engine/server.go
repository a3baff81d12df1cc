// Package engine is a stand-in model engine. It batches continuously, has a
// speed, a bounded prefix cache, late cache events and load reports, and
// faults that can be switched on. Its answers are a function of the request.
package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

// The paths of the debug interface.
const (
	PathDispatches = "/debug/dispatches"
	PathStats      = "/debug/stats"
)

// Server is a running stand-in engine. It is safe for concurrent use.
type Server struct {
	*netfault.StandIn[Faults]
	options   Options
	batch     *batch
	prefiller prefiller
	cache     *prefixCache
	events    *cacheEvents
	counts    *dispatchCounts
	stats     stats

	mu   sync.Mutex
	runs map[enginewire.Attempt]*run
	// finished holds the ended runs, the oldest first.
	finished []finishedRun
	state    enginewire.State
	// ordering is held while an order is carried out.
	ordering sync.Mutex
}

type finishedRun struct {
	attempt enginewire.Attempt
	at      time.Time
}

// Start starts an engine on loopback.
func Start(o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{
		StandIn: netfault.NewStandIn[Faults](),
		options: o,
		batch:   newBatch(o),
		cache:   newPrefixCache(o.CacheBlocks),
		events:  newCacheEvents(o),
		counts:  newDispatchCounts(),
		runs:    make(map[enginewire.Attempt]*run),
		state: enginewire.State{
			Models:   slices.Clone(o.Models),
			Adapters: slices.Clone(o.Adapters),
			Role:     o.Role,
		},
	}
	s.HandleDebug(PathDispatches, netfault.DumpHandler(s.Dispatches))
	s.HandleDebug(PathStats, netfault.DumpHandler(s.Stats))
	if err := s.Serve(o.Listen, s.routes()); err != nil {
		return nil, err
	}
	return s, nil
}

// Close cuts all connections and ends all work.
func (s *Server) Close() {
	s.StandIn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		r.cancel()
	}
}

// Dispatches returns how often each request was dispatched to this engine.
func (s *Server) Dispatches() []DispatchCount { return s.counts.list() }

// Stats returns the engine's sums.
func (s *Server) Stats() Stats { return s.stats.get() }

// ClearCache drops all cached prefixes.
func (s *Server) ClearCache() {
	s.cache.clear()
	s.events.publishCleared()
}

// start begins a run. It returns nil when the attempt is known already.
func (s *Server) start(g enginewire.Generate) *run {
	r := newRun(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked()
	if _, ok := s.runs[g.Attempt]; ok {
		return nil
	}
	s.runs[g.Attempt] = r
	s.batch.enter(r)
	go func() {
		s.produce(r)
		s.end(r)
	}()
	return r
}

func (s *Server) end(r *run) {
	r.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, finishedRun{attempt: r.attempt, at: time.Now()})
}

// forgetLocked drops the ended runs that are no longer retained.
func (s *Server) forgetLocked() {
	limit := time.Now().Add(-s.options.RetainAnswers)
	for len(s.finished) > 0 && s.finished[0].at.Before(limit) {
		delete(s.runs, s.finished[0].attempt)
		s.finished = s.finished[1:]
	}
}

func (s *Server) find(a enginewire.Attempt) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[a]
}

// serves tells whether a model is loaded.
func (s *Server) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.state.Models, model)
}

// Stats are sums over the life of an engine.
type Stats struct {
	Requests        int64          `json:"requests"`
	PrefilledTokens structs.Tokens `json:"prefilled_tokens"`
	CachedTokens    structs.Tokens `json:"cached_tokens"`
}

type stats struct {
	mu   sync.Mutex
	sums Stats
}

func (s *stats) addPrefill(fresh, cached structs.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sums.Requests++
	s.sums.PrefilledTokens += fresh
	s.sums.CachedTokens += cached
}

func (s *stats) get() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sums
}
