// Package runner is a stand-in of the platform's endpoints: it answers opaque
// requests with streams or whole answers and counts how often each ran.
package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/standin/metastore"
)

// Options describes one stand-in endpoint.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Events is how many events a stream has; zero answers whole.
	Events int
	// Pause is the time before each event, or before the answer.
	Pause time.Duration
	// Advertise is the address that the entry names; empty names the
	// endpoint's own.
	Advertise string
	// OnStart is called with the endpoint's own address before it registers.
	OnStart func(address string)
	// ClockOffset is added to the time of day that the entry tells.
	ClockOffset time.Duration
}

// Arrival is one request that reached an endpoint.
type Arrival struct {
	Request string
	At      time.Time
	// Ran is false for a request that the endpoint rejected.
	Ran bool
}

// Faults are the fault switches. The zero value is a healthy endpoint.
type Faults struct {
	// Reject answers that the request did not run.
	Reject bool
	// LoseAnswers runs requests and closes the connection without an answer.
	LoseAnswers bool
	// Slow is added to each pause.
	Slow time.Duration
}

// Runner is one stand-in endpoint. It is safe for concurrent use.
type Runner struct {
	options  Options
	born     int64
	store    *metastore.Store
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	runs     map[string]int
	arrivals []Arrival
	running  int
	sequence int
	faults   Faults
}

// TopicEntries is the keyed topic in which endpoints register.
const TopicEntries = "keyed.servers"

// Start starts an endpoint on a free loopback port and registers it.
func Start(store *metastore.Store, o Options) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Runner{options: o, born: time.Now().Add(o.ClockOffset).UnixMilli(), store: store, listener: listener, runs: map[string]int{}}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
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

// Register writes the endpoint's entry with a state.
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
		"State": state, "ColdRemainingMs": 0, "Sequence": sequence, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.store.Put(TopicEntries, r.options.ID, entry)
}

// Unregister drops the endpoint's entry.
func (r *Runner) Unregister() { r.store.Put(TopicEntries, r.options.ID, nil) }

// SetReject makes the endpoint reject all requests without running them.
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

// Close cuts all connections, like a crash.
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

// Running returns how many requests run now.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *Runner) begin(id string) (f Faults, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{Request: id, At: time.Now(), Ran: !r.faults.Reject})
	if r.faults.Reject {
		return r.faults, false
	}
	r.runs[id]++
	r.running++
	return r.faults, true
}

func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.options.ID {
		w.Header().Set("X-Instance-Id", r.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	faults, ok := r.begin(id)
	if !ok {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	w.Header().Set("X-Server-Signature", r.options.ID+"."+id)
	wait := r.options.Pause + faults.Slow
	switch {
	case faults.LoseAnswers:
		pause(q, wait)
		panic(http.ErrAbortHandler)
	case r.options.Events == 0:
		if pause(q, wait) {
			fmt.Fprintf(w, "%s by %s for %s\n", q.RequestURI, r.options.ID, q.Header.Get("X-Tenant"))
		}
		return
	default:
		r.stream(w, q, id, wait)
	}
}

func (r *Runner) stream(w http.ResponseWriter, q *http.Request, id string, wait time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	// A missing header counts as the beginning.
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	for n := last + 1; n <= r.options.Events; n++ {
		if !pause(q, wait) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s by %s\n\n", n, n, id, r.options.ID)
		if flush.Flush() != nil {
			return
		}
	}
}

// pause waits, or returns false when the caller leaves.
func pause(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}
