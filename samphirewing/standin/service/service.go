// Package service is a stand-in for a plain service. It counts the runs of each
// idempotency key, and can lose the response after a call has taken effect.
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

// PathRuns is the debug path of the run counts.
const PathRuns = "/debug/runs"

const maxBodyBytes = 4 << 20

// Options configures one stand-in service.
type Options struct {
	// Name labels the service for its owner; the service doesn't use it.
	Name string
	// Listen is the listen address; a free loopback port by default.
	Listen string
	// Services are the names of the services that it serves; all if empty.
	Services []string
	// CallDuration is the duration of a call.
	CallDuration time.Duration
}

// Faults are the fault switches. The zero value is a healthy service.
type Faults struct {
	// RefuseConnects makes the operating system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent: bytes are discarded in both
	// directions.
	SwallowNew bool `json:"swallow_new,omitempty"`
	// Reject answers calls with 503 before they take effect.
	Reject bool `json:"reject,omitempty"`
	// Fail answers calls with 500 after they have taken effect.
	Fail bool `json:"fail,omitempty"`
	// LoseAnswers is the number of calls whose connection is aborted after they
	// have taken effect; -1 for all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SlowMillis is added to the duration of each call, in milliseconds.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// Hang delays responses after the call has taken effect, until it is
	// cleared.
	Hang bool `json:"hang,omitempty"`
}

// ConnectionFaults returns the switches that all stand-ins share.
func (f Faults) ConnectionFaults() netfault.ConnectionFaults {
	return netfault.ConnectionFaults{RefuseConnects: f.RefuseConnects, SwallowNew: f.SwallowNew}
}

// RunCount is the number of runs of an idempotency key.
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

// Start starts a service on Options.Listen.
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

// Runs returns the run counts, sorted by service and key.
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

// Answer returns the response body of a call. It is a pure function of its
// arguments.
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
	s.recordRun(runKey{service: name, key: envelope.Key})
	s.sleep(r, s.options.CallDuration+time.Duration(faults.SlowMillis)*time.Millisecond)
	s.respond(w, r, Answer(name, envelope.Key, envelope.Payload))
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

func (s *Server) recordRun(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[k]++
}

func (s *Server) sleep(r *http.Request, d time.Duration) {
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

func (s *Server) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	if !s.waitWhileHung(r) {
		return
	}
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if s.Faults().Fail {
		netfault.WriteError(w, http.StatusInternalServerError, "failed by a fault switch")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// waitWhileHung waits while the Hang switch is set. It returns false if the
// caller disconnects.
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

// loseAnswer reports whether to lose the response, and decrements a positive
// LoseAnswers.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.Faults()
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		return s.SetFaults(f) == nil
	}
	return f.LoseAnswers < 0
}
