package soak

import (
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/runner"
)

// outcome is one request as its caller saw it.
type outcome struct {
	id, route, key string
	// version is set for a key that only that configuration holds.
	version int
	capped  bool
	// daemon and life are the process that the request was sent to; life is
	// zero when the process was replaced meanwhile.
	daemon      string
	life        int
	sent, ended time.Time
	answer      caller.Answer
}

// arrival is one request as an endpoint saw it.
type arrival struct {
	runner.Arrival
	endpoint string
	// life numbers the starts of the endpoint.
	life int
}

// publication is a configuration and when the store accepted it.
type publication struct {
	version int
	at      time.Time
}

// leaving is an endpoint's announcement that it leaves, and when the store
// accepted it.
type leaving struct {
	endpoint string
	life     int
	at       time.Time
}

// span is the time in which a fault lasted. An empty scope concerns every
// daemon and endpoint.
type span struct {
	kind     kind
	scope    string
	from, to time.Time
}

// starved marks times in which the soak itself was not given the processor.
const starved kind = "machine-starved"

// overstay is a planned stop that did not end within the grace.
type overstay struct {
	daemon string
	at     time.Time
}

// evidence is what callers, endpoints and the operator saw.
type evidence struct {
	outcomes     []outcome
	arrivals     []arrival
	publications []publication
	leavings     []leaving
	spans        []span
	overstays    []overstay
}

// history gathers evidence. It is safe for concurrent use.
type history struct {
	mu sync.Mutex
	evidence
}

func newHistory() *history { return &history{} }

func (h *history) add(o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
}

// publishing notes a version at the time at which publish has returned.
func (h *history) publishing(publish func() int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := publish()
	h.publications = append(h.publications, publication{version, time.Now()})
}

// newest returns the newest version published.
func (h *history) newest() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.publications[len(h.publications)-1].version
}

func (h *history) leave(l leaving) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavings = append(h.leavings, l)
}

func (h *history) overstayed(daemon string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overstays = append(h.overstays, overstay{daemon, time.Now()})
}

// begin notes the start of a fault; the returned function notes its end.
func (h *history) begin(k kind, scope string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.spans)
	h.spans = append(h.spans, span{kind: k, scope: scope, from: time.Now(), to: farFuture})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.spans[i].to = time.Now()
	}
}

// farFuture is the end of a fault that still lasts.
var farFuture = time.Unix(1<<40, 0)

// note adds a span that is over.
func (h *history) note(s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, s)
}

// evidence returns a copy of what was gathered, with the endpoints' view.
func (w *world) evidence() evidence {
	w.history.mu.Lock()
	e := w.history.evidence
	e.outcomes, e.spans = append([]outcome(nil), e.outcomes...), append([]span(nil), e.spans...)
	w.history.mu.Unlock()
	for _, endpoint := range w.endpoints {
		endpoint.mu.Lock()
		lives := append([]*runner.Runner(nil), endpoint.lives...)
		endpoint.mu.Unlock()
		for i, r := range lives {
			for _, a := range r.Arrivals() {
				e.arrivals = append(e.arrivals, arrival{Arrival: a, endpoint: endpoint.options.ID, life: i + 1})
			}
		}
	}
	return e
}
