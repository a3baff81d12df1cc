// Package engine is a stand-in for a model engine. It simulates continuous
// batching, prefill and decode rates, a bounded prefix cache, and delayed cache
// events and load reports, and has fault switches. Its answers are a function
// of the request.
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
	options     Options
	batch       *batch
	prefillUnit prefillUnit
	cache       *prefixCache
	events      *cacheEvents
	counts      *dispatchCounts
	stats       stats

	mu   sync.Mutex
	runs map[enginewire.Attempt]*run
	// finished holds the finished runs, oldest first.
	finished []finishedRun
	state    enginewire.State
	// orderMu serialises orders.
	orderMu sync.Mutex
}

type finishedRun struct {
	attempt    enginewire.Attempt
	finishedAt time.Time
}

// Start starts an engine on Options.Listen.
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

// Close closes all connections and cancels all runs.
func (s *Server) Close() {
	s.StandIn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		r.cancel()
	}
}

// Dispatches returns the dispatch counts of each request.
func (s *Server) Dispatches() []DispatchCount { return s.counts.list() }

// Stats returns the engine's totals.
func (s *Server) Stats() Stats { return s.stats.get() }

// ClearCache empties the prefix cache and publishes a cache event.
func (s *Server) ClearCache() {
	s.cache.clear()
	s.events.publishCleared()
}

// startRun starts a run. It returns nil if the attempt already has one.
func (s *Server) startRun(g enginewire.Generate) *run {
	r := newRun(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictFinishedLocked()
	if _, ok := s.runs[g.Attempt]; ok {
		return nil
	}
	s.runs[g.Attempt] = r
	s.batch.add(r)
	go func() {
		s.execute(r)
		s.finish(r)
	}()
	return r
}

func (s *Server) finish(r *run) {
	r.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, finishedRun{attempt: r.attempt, finishedAt: time.Now()})
}

// evictFinishedLocked drops the runs that finished more than RetainAnswers ago.
func (s *Server) evictFinishedLocked() {
	cutoff := time.Now().Add(-s.options.RetainAnswers)
	for len(s.finished) > 0 && s.finished[0].finishedAt.Before(cutoff) {
		delete(s.runs, s.finished[0].attempt)
		s.finished = s.finished[1:]
	}
}

func (s *Server) findRun(a enginewire.Attempt) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[a]
}

// hasModel reports whether a model is loaded.
func (s *Server) hasModel(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.state.Models, model)
}

// Stats are totals since the engine's start.
type Stats struct {
	Requests        int64          `json:"requests"`
	PrefilledTokens structs.Tokens `json:"prefilled_tokens"`
	CachedTokens    structs.Tokens `json:"cached_tokens"`
}

type stats struct {
	mu     sync.Mutex
	totals Stats
}

func (s *stats) addPrefill(uncached, cached structs.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Requests++
	s.totals.PrefilledTokens += uncached
	s.totals.CachedTokens += cached
}

func (s *stats) get() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}
