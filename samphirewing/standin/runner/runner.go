// Package runner is a stand-in for the platform's endpoints. It answers opaque
// requests with an event stream or a single body, and counts how often each
// request ran.
package runner

import (
	"cmp"
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
	// Version is the version in the entry; "v1" by default. With ShowVersion, the
	// events of streams name it too.
	Version     string
	ShowVersion bool
	// Events is the number of events in a stream; zero selects a single body.
	Events int
	// Padding is the number of bytes added to each event of a stream, or to a single
	// body.
	Padding int
	// Delay is the time before each event of a stream, or before a single body.
	Delay time.Duration
	// Advertise is the address in the entry; the listen address by default.
	Advertise string
	// OnStart is called with the listen address before the endpoint registers.
	OnStart func(address string)
	// Heartbeat is the time between two writes of the entry; zero writes it only
	// when its state changes.
	Heartbeat time.Duration
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
	// Leaving is set if the answer says that the endpoint leaves.
	Leaving bool
	// Backoff is the time for which the answer asks for no requests.
	Backoff time.Duration
	// Failed is set if the answer is a failure.
	Failed bool
	// Slow is set if the answer is delayed beyond Options.Delay.
	Slow bool
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
	// Leaving makes all answers say that the endpoint leaves. Those of an endpoint
	// whose entry says so do, too.
	Leaving bool
	// Backoff is named in rejections, as the time for which the endpoint wants no
	// requests. The endpoint does not enforce it.
	Backoff time.Duration
	// OddStatus gives one in oddStatusEvery answers the status 000.
	OddStatus bool
	// FailEvery answers one in so many requests with 500, after running it; zero
	// answers none. FailPrefix restricts this to paths with a prefix.
	FailEvery  int
	FailPrefix string
	// Unframed makes streams end with their connection, with neither a length nor
	// chunks.
	Unframed bool
}

// oddStatusEvery is the number of answers of which one has an odd status.
const oddStatusEvery = 4

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
	// failCandidates counts the requests of which Faults.FailEvery selects some.
	failCandidates int
	faults         Faults
	// state is the state in the entry; empty while there is none.
	state string
	// closed is closed with the endpoint.
	closed chan struct{}
}

// reportPath is where an endpoint tells its state, without a slot.
const reportPath = "/samphirewing/report"

// stateDraining is the state of an endpoint that leaves.
const stateDraining = "draining"

// TopicEntries is the keyed topic of the endpoints' entries.
const TopicEntries = "keyed.servers"

// Start starts an endpoint on a free loopback port and registers it.
func Start(store *metastore.Store, o Options) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Runner{options: o, startedUnixMs: time.Now().Add(o.ClockOffset).UnixMilli(), store: store, listener: listener, runs: map[string]int{}, closed: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.handleRequest)}
	// Serve returns when the endpoint is closed.
	go func() { _ = r.server.Serve(listener) }()
	if o.OnStart != nil {
		o.OnStart(r.Address())
	}
	r.Register("ready")
	if o.Heartbeat > 0 {
		go r.sendHeartbeats()
	}
	return r, nil
}

// sendHeartbeats writes the entry again and again until the endpoint is closed.
func (r *Runner) sendHeartbeats() {
	ticker := time.NewTicker(r.options.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.closed:
			return
		case <-ticker.C:
			r.mu.Lock()
			if r.state != "" {
				r.store.Put(TopicEntries, r.options.ID, r.nextEntryLocked(r.state))
			}
			r.mu.Unlock()
		}
	}
}

// Service returns the name of the endpoint's service.
func (r *Runner) Service() string { return r.options.Service }

// Address returns the endpoint's IP:port.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Register writes the endpoint's entry with the given state.
func (r *Runner) Register(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.store.Put(TopicEntries, r.options.ID, r.nextEntryLocked(state))
}

// RegisterLate writes the entry with the given state, which the store executes
// only after a delay. The endpoint goes on as if the write had failed.
func (r *Runner) RegisterLate(state string, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.nextEntryLocked(state)
	time.AfterFunc(delay, func() { r.store.Put(TopicEntries, r.options.ID, entry) })
}

func (r *Runner) nextEntryLocked(state string) []byte {
	r.sequence++
	address := r.options.Advertise
	if address == "" {
		address = r.Address()
	}
	entry, err := json.Marshal(map[string]any{
		"Service": r.options.Service, "Address": address, "Zone": r.options.Zone, "Version": cmp.Or(r.options.Version, "v1"), "Slots": r.options.Slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": r.sequence, "born": r.startedUnixMs,
	})
	if err != nil {
		panic(err)
	}
	return entry
}

// Rewrite writes the entry, or its deletion, once more, as after a restore of the store.
func (r *Runner) Rewrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		r.store.Put(TopicEntries, r.options.ID, nil)
		return
	}
	r.store.Put(TopicEntries, r.options.ID, r.nextEntryLocked(r.state))
}

// Unregister deletes the endpoint's entry.
func (r *Runner) Unregister() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = ""
	r.store.Put(TopicEntries, r.options.ID, nil)
}

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
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
	default:
		close(r.closed)
	}
	r.server.Close()
}

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

func (r *Runner) startRequest(id, path string, parts []string) (f Faults, ok, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f = r.faults
	f.Leaving = f.Leaving || r.state == stateDraining
	fails := f.FailEvery > 0 && strings.HasPrefix(path, f.FailPrefix)
	if fails {
		r.failCandidates++
		fails = r.failCandidates%f.FailEvery == 0
	}
	f.OddStatus = f.OddStatus && len(r.arrivals)%oddStatusEvery == 0
	a := Arrival{Request: id, At: time.Now(), Ran: !f.Reject, Parts: parts, RateLimit: f.RateLimit, Leaving: f.Leaving, Failed: fails && !f.Reject, Slow: f.ExtraDelay > 0}
	if f.Reject {
		a.Backoff = f.Backoff
	}
	r.arrivals = append(r.arrivals, a)
	if f.Reject {
		return f, false, false
	}
	r.runs[id]++
	r.running++
	return f, true, fails
}

func (r *Runner) finishRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Runner) handleRequest(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == reportPath {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"State":"ready","born":%d}`, r.startedUnixMs)
		return
	}
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
	faults, ok, failed := r.startRequest(id, request.URL.Path, parts)
	if faults.RateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(faults.RateLimit, 'f', -1, 64))
	}
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if !ok {
		w.Header().Set("X-Not-Executed", "1")
		if faults.Backoff > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(faults.Backoff.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.finishRequest()
	w.Header().Set("X-Server-Signature", r.options.ID+"."+id)
	delay := r.options.Delay + faults.ExtraDelay
	switch {
	case r.options.Crashes != nil && r.options.Crashes(parts):
		wait(request, delay)
		r.crash(w, id, parts)
	case failed:
		wait(request, delay)
		w.WriteHeader(http.StatusInternalServerError)
	case faults.LoseAnswers:
		wait(request, delay)
		panic(http.ErrAbortHandler)
	case faults.OddStatus:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprintf(conn, "HTTP/1.1 000 Odd\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\nContent-Length: 0\r\n\r\n", id, r.options.ID, id)
			conn.Close()
		}
	case r.options.Events == 0:
		if wait(request, delay) {
			fmt.Fprintf(w, "%s by %s for %s%s\n", request.RequestURI, r.options.ID, request.Header.Get("X-Tenant"), strings.Repeat(" ", r.options.Padding))
		}
		return
	case faults.Unframed:
		r.streamUnframed(w, request, id, delay)
	default:
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		// If the endpoint is closed, the server aborts the stream.
		r.writeEvents(request, id, delay, nil, func(event string) error {
			// The error of a write is that of the flush.
			_, _ = io.WriteString(w, event)
			return controller.Flush()
		})
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

// crash begins to answer and ends the endpoint. By turns, a start sends only a part of
// the answer's head, the whole head, or the first event too.
func (r *Runner) crash(w http.ResponseWriter, id string, parts []string) {
	controller := http.NewResponseController(w)
	if r.options.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	// An error means that the caller has left.
	switch r.startedUnixMs % 3 {
	case 0:
		_ = controller.Flush()
	case 1:
		if r.options.Events > 0 {
			fmt.Fprintf(w, "id: 1\ndata: event 1 of %s by %s\n\n", id, r.options.ID)
		}
		_ = controller.Flush()
	default:
		if conn, _, err := controller.Hijack(); err == nil {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Server-")
			defer conn.Close()
		}
	}
	if r.options.OnCrash != nil {
		r.options.OnCrash(parts)
	}
	r.Close()
	panic(http.ErrAbortHandler)
}

// streamUnframed answers with neither a length nor chunks. If the endpoint is closed, the
// connection ends as the system ends that of a process that is killed.
func (r *Runner) streamUnframed(w http.ResponseWriter, request *http.Request, id string, delay time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
	w.Header().Set("Content-Type", "text/event-stream")
	// A lost head is noticed with the first event.
	_ = w.Header().Write(conn)
	fmt.Fprint(conn, "\r\n")
	r.writeEvents(request, id, delay, r.closed, func(event string) error {
		_, err := io.WriteString(conn, event)
		return err
	})
}

// writeEvents writes the events of a stream until the caller leaves or closed is closed.
func (r *Runner) writeEvents(request *http.Request, id string, delay time.Duration, closed <-chan struct{}, write func(event string) error) {
	// Without the header, the stream starts at the first event.
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	name := r.options.ID
	if r.options.ShowVersion {
		name += "@" + r.options.Version
	}
	padding := strings.Repeat(" ", r.options.Padding)
	for n := last + 1; n <= r.options.Events; n++ {
		select {
		case <-time.After(delay):
		case <-request.Context().Done():
			return
		case <-closed:
			return
		}
		if write(fmt.Sprintf("id: %d\ndata: event %d of %s by %s%s\n\n", n, n, id, name, padding)) != nil {
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
