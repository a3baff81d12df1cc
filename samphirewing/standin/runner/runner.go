// Package runner is a stand-in for the platform's endpoints. It answers opaque
// requests with an event stream or a single body, and counts how often each
// request ran.
package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/standin/metastore"
)

// Options configures one stand-in endpoint.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Events is the number of events in a stream; zero selects a single body.
	Events int
	// Delay is the time before each event of a stream, or before a single body.
	Delay time.Duration
	// Advertise is the address in the entry; the listen address by default.
	Advertise string
	// OnStart is called with the listen address before the endpoint registers.
	OnStart func(address string)
	// ClockOffset is added to the start time in the entry.
	ClockOffset time.Duration
	// Crashes reports whether the endpoint crashes when it begins to answer a
	// request with these parts, all but the last of its prompt; nil means never.
	Crashes func(parts []string) bool
	// OnCrash is called when the endpoint crashes, before its connections end.
	OnCrash func(parts []string)
}

// Arrival is one request that reached an endpoint.
type Arrival struct {
	Request string
	At      time.Time
	// Ran is false for a request that the endpoint rejected.
	Ran bool
	// Parts holds the parts of the prompt, but for the last.
	Parts []string
	// RateLimit is the limit that the answer names; zero if none.
	RateLimit float64
}

// Faults are the fault switches. The zero value is a healthy endpoint.
type Faults struct {
	// Reject rejects requests with 503 and X-Not-Executed, without running
	// them.
	Reject bool
	// LoseAnswers runs requests and closes the connection without a response.
	LoseAnswers bool
	// ExtraDelay is added to Options.Delay.
	ExtraDelay time.Duration
	// RateLimit is named in answers, in requests per second; zero names none. The
	// endpoint does not enforce it.
	RateLimit float64
}

// Runner is one stand-in endpoint. It is safe for concurrent use.
type Runner struct {
	options       Options
	startedUnixMs int64
	store         *metastore.Store
	server        *http.Server
	listener      net.Listener

	mu       sync.Mutex
	runs     map[string]int
	arrivals []Arrival
	running  int
	sequence int
	faults   Faults
}

// TopicEntries is the keyed topic of the endpoints' entries.
const TopicEntries = "keyed.servers"

// Start starts an endpoint on a free loopback port and registers it.
func Start(store *metastore.Store, o Options) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Runner{options: o, startedUnixMs: time.Now().Add(o.ClockOffset).UnixMilli(), store: store, listener: listener, runs: map[string]int{}}
	r.server = &http.Server{Handler: http.HandlerFunc(r.handleRequest)}
	// Serve returns when the endpoint is closed.
	go func() { _ = r.server.Serve(listener) }()
	if o.OnStart != nil {
		o.OnStart(r.Address())
	}
	r.Register("ready")
	return r, nil
}

// Service returns the name of the endpoint's service.
func (r *Runner) Service() string { return r.options.Service }

// Address returns the endpoint's IP:port.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Register writes the endpoint's entry with the given state.
func (r *Runner) Register(state string) {
	r.mu.Lock()
	r.sequence++
	sequence := r.sequence
	r.mu.Unlock()
	address := r.options.Advertise
	if address == "" {
		address = r.Address()
	}
	entry, err := json.Marshal(map[string]any{
		"Service": r.options.Service, "Address": address, "Zone": r.options.Zone, "Version": "v1", "Slots": r.options.Slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": sequence, "born": r.startedUnixMs,
	})
	if err != nil {
		panic(err)
	}
	r.store.Put(TopicEntries, r.options.ID, entry)
}

// Unregister deletes the endpoint's entry.
func (r *Runner) Unregister() { r.store.Put(TopicEntries, r.options.ID, nil) }

// SetReject replaces the fault switches: it sets Reject and clears the others.
func (r *Runner) SetReject(reject bool) { r.SetFaults(Faults{Reject: reject}) }

// SetFaults sets the fault switches.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Arrivals returns the requests that reached the endpoint, in order.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// Close closes all connections and leaves the entry, as a crash does.
func (r *Runner) Close() { r.server.Close() }

// Runs returns how often each request ran.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]int, len(r.runs))
	for id, n := range r.runs {
		all[id] = n
	}
	return all
}

// Running returns the number of running requests.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *Runner) startRequest(id string, parts []string) (f Faults, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{Request: id, At: time.Now(), Ran: !r.faults.Reject, Parts: parts, RateLimit: r.faults.RateLimit})
	if r.faults.Reject {
		return r.faults, false
	}
	r.runs[id]++
	r.running++
	return r.faults, true
}

func (r *Runner) finishRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Runner) handleRequest(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.options.ID {
		w.Header().Set("X-Instance-Id", r.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	parts := sharedParts(request.Header.Get("X-Prefix-Hash"))
	faults, ok := r.startRequest(id, parts)
	if faults.RateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(faults.RateLimit, 'f', -1, 64))
	}
	if !ok {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.finishRequest()
	w.Header().Set("X-Server-Signature", r.options.ID+"."+id)
	delay := r.options.Delay + faults.ExtraDelay
	switch {
	case r.options.Crashes != nil && r.options.Crashes(parts):
		wait(request, delay)
		r.crash(w, parts)
	case faults.LoseAnswers:
		wait(request, delay)
		panic(http.ErrAbortHandler)
	case r.options.Events == 0:
		if wait(request, delay) {
			fmt.Fprintf(w, "%s by %s for %s\n", request.RequestURI, r.options.ID, request.Header.Get("X-Tenant"))
		}
		return
	default:
		r.stream(w, request, id, delay)
	}
}

// sharedParts returns the IDs of a list of ID:TOKENS entries, but for the last.
func sharedParts(list string) []string {
	entries := strings.Split(list, ",")
	parts := []string{}
	for _, entry := range entries[:len(entries)-1] {
		id, _, _ := strings.Cut(entry, ":")
		parts = append(parts, id)
	}
	return parts
}

// crash sends the head of the answer and ends the endpoint.
func (r *Runner) crash(w http.ResponseWriter, parts []string) {
	if r.options.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	// An error means that the caller has left.
	_ = http.NewResponseController(w).Flush()
	if r.options.OnCrash != nil {
		r.options.OnCrash(parts)
	}
	r.server.Close()
	panic(http.ErrAbortHandler)
}

func (r *Runner) stream(w http.ResponseWriter, request *http.Request, id string, delay time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	// Without the header, the stream starts at the first event.
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for n := last + 1; n <= r.options.Events; n++ {
		if !wait(request, delay) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s by %s\n\n", n, n, id, r.options.ID)
		if controller.Flush() != nil {
			return
		}
	}
}

// wait waits for a duration. It returns false if the caller disconnects.
func wait(request *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-request.Context().Done():
		return false
	}
}
