package soak

import (
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/runner"
)

// outcome is one request as observed by its caller.
type outcome struct {
	id, route, key string
	// version is the configuration version whose key the request uses; 0 for a
	// key that is valid in every version.
	version int
	capped  bool
	// daemon and incarnation identify the process that the request was sent
	// to; incarnation is 0 when the process restarted during the request.
	daemon          string
	incarnation     int
	sentAt, endedAt time.Time
	answer          caller.Response
	// resumes is the request that brought the first event of the stream that this one
	// takes up, lastEvent the last event that its caller had; empty for others.
	resumes   string
	lastEvent int
}

// arrival is one request as observed by an endpoint.
type arrival struct {
	runner.Arrival
	endpoint string
	// incarnation counts the starts of the endpoint, from 1.
	incarnation int
}

// publication is a configuration version and the time at which the store
// accepted it.
type publication struct {
	version int
	at      time.Time
}

// drainNotice is an endpoint's announcement that it is leaving, and the time at
// which the store accepted it.
type drainNotice struct {
	endpoint    string
	incarnation int
	at          time.Time
}

// span is the period of one fault. The scope is the affected daemon or
// endpoint; an empty scope affects all of them.
type span struct {
	kind     faultKind
	scope    string
	from, to time.Time
}

// starved marks periods in which the soak process itself was starved of CPU.
const starved faultKind = "machine-starved"

// overdueStop is a planned stop that did not finish within stopGrace.
type overdueStop struct {
	daemon string
	at     time.Time
}

// evidence is what callers, endpoints and the operator observed.
type evidence struct {
	outcomes     []outcome
	arrivals     []arrival
	publications []publication
	drainNotices []drainNotice
	spans        []span
	overdueStops []overdueStop
	crashes      []crashRecord
	rollouts     []rolloutRecord
	// addedEndpoints holds the endpoints that faults have added: those of bad versions,
	// and of versions that joined.
	addedEndpoints []*endpoint
	statuses       []recordedStatus
}

// history records evidence. It is safe for concurrent use.
type history struct {
	mu sync.Mutex
	evidence
}

func newHistory() *history { return &history{} }

func (h *history) addOutcome(o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
}

// recordPublication calls publish and records the version that it returns, with
// the time of its return.
func (h *history) recordPublication(publish func() int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := publish()
	h.publications = append(h.publications, publication{version, time.Now()})
}

// newestVersion returns the latest published version.
func (h *history) newestVersion() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.publications[len(h.publications)-1].version
}

func (h *history) addDrainNotice(n drainNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainNotices = append(h.drainNotices, n)
}

func (h *history) addCrash(c crashRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, c)
}

func (h *history) addOverdueStop(daemon string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overdueStops = append(h.overdueStops, overdueStop{daemon, time.Now()})
}

// beginSpan records the start of a fault; the returned function records its
// end.
func (h *history) beginSpan(k faultKind, scope string) (end func()) {
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

// farFuture is the end of a span whose fault is still active.
var farFuture = time.Unix(1<<40, 0)

// addSpan records a finished span.
func (h *history) addSpan(s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, s)
}

// collectEvidence returns a copy of the recorded evidence, with the arrivals
// that the endpoints recorded.
func (env *environment) collectEvidence() evidence {
	env.history.mu.Lock()
	e := env.history.evidence
	e.outcomes, e.spans = append([]outcome(nil), e.outcomes...), append([]span(nil), e.spans...)
	env.history.mu.Unlock()
	e.statuses = env.statuses()
	for _, endpoint := range append(env.allEndpoints(), e.addedEndpoints...) {
		endpoint.mu.Lock()
		runners := append([]*runner.Runner(nil), endpoint.incarnations...)
		endpoint.mu.Unlock()
		for i, r := range runners {
			for _, a := range r.Arrivals() {
				e.arrivals = append(e.arrivals, arrival{Arrival: a, endpoint: endpoint.options.ID, incarnation: i + 1})
			}
		}
	}
	return e
}
