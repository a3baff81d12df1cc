package platform

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The states that endpoints give themselves.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// endpointEntry is an endpoint's own entry in the store. Other writers may
// have left entries with missing fields or other types.
type endpointEntry struct {
	Service *string
	Address *string
	Zone    *string
	Slots   *int
	State   *string
	// Born is the Unix millisecond of the endpoint's start.
	Born *int64 `json:"born"`
}

func decodeEndpoint(name string, text []byte) (endpointset.Endpoint, error) {
	var e endpointEntry
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(&e); err != nil {
		return endpointset.Endpoint{}, errors.Annotate(err, "endpoint entry")
	}
	if e.Service == nil || e.Address == nil || e.State == nil {
		return endpointset.Endpoint{}, errors.New("endpoint entry lacks its service, address or state")
	}
	if _, _, err := net.SplitHostPort(*e.Address); err != nil {
		return endpointset.Endpoint{}, errors.Annotate(err, "endpoint entry")
	}
	if *e.State != stateReady && *e.State != stateDraining {
		return endpointset.Endpoint{}, errors.Errorf("endpoint entry has the unknown state %q", *e.State)
	}
	endpoint := endpointset.Endpoint{
		Name: structs.EndpointName(name), Pool: structs.PoolName(*e.Service), Address: *e.Address,
		Draining: *e.State == stateDraining,
	}
	if e.Zone != nil {
		endpoint.FailureDomain = instance.FailureDomain(*e.Zone)
	}
	if e.Slots != nil {
		endpoint.Slots = *e.Slots
	}
	if e.Born != nil {
		endpoint.StartedUnixMs = *e.Born
	}
	return endpoint, nil
}

// endpointReader keeps the set of endpoints from their entries.
type endpointReader struct {
	apply  func([]endpointset.Endpoint)
	events events.Sink

	mu  sync.Mutex
	set *endpointset.Set
	// faulty holds the names whose faulty entries have been logged.
	faulty map[string]bool
	// ready is set once a listing has been read.
	ready bool
}

func newEndpointReader(apply func([]endpointset.Endpoint), sink events.Sink) *endpointReader {
	return &endpointReader{apply: apply, events: sink, set: endpointset.New(), faulty: map[string]bool{}}
}

func (r *endpointReader) listed(records []keyedRecord, end int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	names := make(map[structs.EndpointName]bool, len(records))
	for _, record := range records {
		names[structs.EndpointName(record.Key)] = true
	}
	if !r.set.ApplyListing(now, names, end) {
		return false
	}
	for _, record := range records {
		r.take(now, record)
	}
	r.ready = true
	r.apply(r.set.Usable())
	return true
}

func (r *endpointReader) changed(records []keyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.set.RecordRead(now)
	for _, record := range records {
		r.take(now, record)
	}
	r.apply(r.set.Usable())
}

func (r *endpointReader) take(now time.Time, record keyedRecord) {
	name := structs.EndpointName(record.Key)
	if record.Value == nil {
		if r.set.Remove(now, name, record.Offset) {
			r.events.Emit(EventEndpointChanged, events.F("endpoint", name), events.F("offset", record.Offset), events.F("state", "removed"), events.F("store_away", r.set.Away()))
		}
		return
	}
	endpoint, err := decodeEndpoint(record.Key, record.Value)
	if err != nil {
		r.set.Remove(now, name, record.Offset)
		if !r.faulty[record.Key] {
			r.faulty[record.Key] = true
			r.events.Emit(EventEndpointFault, events.F("endpoint", name), events.F("offset", record.Offset), events.F("error", err))
		}
		return
	}
	if r.set.Put(endpoint, record.Offset) {
		state := stateReady
		if endpoint.Draining {
			state = stateDraining
		}
		r.events.Emit(EventEndpointChanged, events.F("endpoint", name), events.F("offset", record.Offset), events.F("state", state),
			events.F("pool", endpoint.Pool), events.F("address", endpoint.Address), events.F("born", endpoint.StartedUnixMs))
	}
}

// confirmed gives missing endpoints up whose time to come back is over.
func (r *endpointReader) confirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.RecordRead(time.Now())
	if _, missing := r.set.NextGone(); missing {
		r.apply(r.set.Usable())
	}
}

// within ends the next read when a missing endpoint's time is over.
func (r *endpointReader) within() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, missing := r.set.NextGone()
	if !missing {
		return 0
	}
	return max(time.Until(at), followRetryMin)
}

func (r *endpointReader) lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.RegistryLost()
}

func (r *endpointReader) back() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.RegistryRestored(time.Now())
}

func (r *endpointReader) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}
