// Package service is a stand-in plain service. It counts how often each
// idempotency key ran, and can lose answers after the effect.
package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/transport/serviceclient"
)

// PathRuns is the debug path of the counts.
const PathRuns = "/debug/runs"

const maxBodyBytes = 4 << 20

// Options describes one stand-in service.
type Options struct {
	// Name stands in answers.
	Name string
	// Listen is the address to listen on; a free loopback port by default.
	Listen string
	// Services are the served targets; all when empty.
	Services []string
	// Time is how long a call runs.
	Time time.Duration
}

// Faults are the fault switches. The zero value is a healthy service.
type Faults struct {
	// RefuseConnects makes the system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent: bytes vanish both ways.
	SwallowNew bool `json:"swallow_new,omitempty"`
	// Reject answers 503 before the effect.
	Reject bool `json:"reject,omitempty"`
	// Fail answers 500 after the effect.
	Fail bool `json:"fail,omitempty"`
	// LoseAnswers cuts the connection after the effect of that many calls;
	// -1 of all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SlowMillis is added to the time of each call.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// Hang keeps the answer back after the effect until it is cleared.
	Hang bool `json:"hang,omitempty"`
}

// ConnectionFaults returns the switches that all stand-ins share.
func (f Faults) ConnectionFaults() netfault.ConnectionFaults {
	return netfault.ConnectionFaults{RefuseConnects: f.RefuseConnects, SwallowNew: f.SwallowNew}
}

// RunCount tells how often the effect of a key took place.
type RunCount struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Runs    int    `json:"runs"`
}

// Server is a running stand-in service. It is safe for concurrent use.
type Server struct {
	*netfault.StandIn[Faults]
	options Options

	mu   sync.Mutex
	runs map[runKey]int
}

type runKey struct {
	service string
	key     string
}

// Start starts a service on loopback.
func Start(o Options) (*Server, error) {
	s := &Server{StandIn: netfault.NewStandIn[Faults](), options: o, runs: make(map[runKey]int)}
	s.HandleDebug(PathRuns, netfault.DumpHandler(s.Runs))
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+serviceclient.PathCall+"{service}", s.handleCall)
	if err := s.Serve(o.Listen, routes); err != nil {
		return nil, err
	}
	return s, nil
}

// Runs returns how often each key ran, by service and key.
func (s *Server) Runs() []RunCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]RunCount, 0, len(s.runs))
	for k, n := range s.runs {
		all = append(all, RunCount{Service: k.service, Key: k.key, Runs: n})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Service != all[j].Service {
			return all[i].Service < all[j].Service
		}
		return all[i].Key < all[j].Key
	})
	return all
}

// Answer returns the body that the stand-in answers a call with.
func Answer(service, key string, payload []byte) []byte {
	sum := xxhash.New()
	_, _ = fmt.Fprintf(sum, "%s\n%s\n", service, key)
	_, _ = sum.Write(payload)
	body, _ := json.Marshal(answerBody{Service: service, Key: key, Confirmation: fmt.Sprintf("%016x", sum.Sum64())})
	return body
}

type answerBody struct {
	Service      string `json:"service"`
	Key          string `json:"key"`
	Confirmation string `json:"confirmation"`
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	var envelope serviceclient.Envelope
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&envelope); err != nil {
		netfault.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	name := r.PathValue("service")
	faults := s.Faults()
	if faults.Reject {
		netfault.WriteError(w, http.StatusServiceUnavailable, "rejected by a fault switch")
		return
	}
	if !s.serves(name) {
		netfault.WriteError(w, http.StatusNotFound, fmt.Sprintf("service %q isn't served here", name))
		return
	}
	s.run(runKey{service: name, key: envelope.Key})
	s.wait(r, s.options.Time+time.Duration(faults.SlowMillis)*time.Millisecond)
	s.answer(w, r, Answer(name, envelope.Key, envelope.Payload))
}

func (s *Server) serves(name string) bool {
	if len(s.options.Services) == 0 {
		return true
	}
	for _, served := range s.options.Services {
		if strings.EqualFold(served, name) {
			return true
		}
	}
	return false
}

func (s *Server) run(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[k]++
}

func (s *Server) wait(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	if !s.waitWhileHung(r) {
		return
	}
	if s.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	if s.Faults().Fail {
		netfault.WriteError(w, http.StatusInternalServerError, "failed by a fault switch")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// waitWhileHung returns false when the caller left.
func (s *Server) waitWhileHung(r *http.Request) bool {
	for {
		faults, changed := s.WatchFaults()
		if !faults.Hang {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// takeLostAnswer counts LoseAnswers down.
func (s *Server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.Faults()
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		return s.SetFaults(f) == nil
	}
	return f.LoseAnswers < 0
}
