package platform

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The states that endpoints report.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// endpointEntry is an endpoint's own entry in the store. Entries written by
// others may have missing fields or fields of other types. Service is the name
// of the endpoint's pool.
type endpointEntry struct {
	Service *string
	Address *string
	Zone    *string
	Slots   *int
	State   *string
	// Born is the endpoint's start time in Unix milliseconds, Sequence the number
	// of entries that it has written since.
	Born     *int64 `json:"born"`
	Sequence *int64
	// Version is the version of the endpoint's software.
	Version *string
}

// maxSlots bounds the requests that one endpoint may run at a time, so that sums
// over all endpoints can't overflow.
const maxSlots = 1 << 20

// maxExactInteger bounds the integers that every JSON implementation can
// represent (RFC 8259, section 6).
const maxExactInteger = 1<<53 - 1

// optionalCount returns the value of a count, or zero if it is missing.
func optionalCount(name string, value *int64) (int64, error) {
	if value == nil {
		return 0, nil
	}
	if *value < 0 || *value > maxExactInteger {
		return 0, errors.Errorf("endpoint entry has %s %d; 0 to %d are accepted", name, *value, int64(maxExactInteger))
	}
	return *value, nil
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
	address, err := netip.ParseAddrPort(*e.Address)
	if err != nil {
		return endpointset.Endpoint{}, errors.Annotate(err, "endpoint entry")
	}
	if address.Port() == 0 {
		return endpointset.Endpoint{}, errors.Errorf("endpoint entry has the address %s; ports are from 1 to 65535", address)
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
		if *e.Slots < 0 || *e.Slots > maxSlots {
			return endpointset.Endpoint{}, errors.Errorf("endpoint entry has %d slots; 0 to %d are accepted", *e.Slots, maxSlots)
		}
		endpoint.Slots = *e.Slots
	}
	if endpoint.StartedUnixMs, err = optionalCount("born", e.Born); err != nil {
		return endpointset.Endpoint{}, err
	}
	if endpoint.Sequence, err = optionalCount("Sequence", e.Sequence); err != nil {
		return endpointset.Endpoint{}, err
	}
	if e.Version != nil {
		endpoint.Version = *e.Version
	}
	return endpoint, nil
}

// endpointReader maintains the set of endpoints from their entries.
type endpointReader struct {
	apply  func([]endpointset.Endpoint)
	events events.Sink

	mu  sync.Mutex
	set *endpointset.Set
	// loggedFaulty holds the names of endpoints whose malformed entry has been
	// logged.
	loggedFaulty map[string]bool
	// ready is set once a listing has been applied.
	ready bool
	// failing reports whether the store fails; nil means never. knownAt is when the
	// endpoints were last read while it did not.
	failing func() bool
	knownAt time.Time
}

func newEndpointReader(apply func([]endpointset.Endpoint), sink events.Sink) *endpointReader {
	return &endpointReader{apply: apply, events: sink, set: endpointset.New(), loggedFaulty: map[string]bool{}}
}

func (r *endpointReader) applyListing(records []keyedRecord, end int64) bool {
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
		r.applyRecord(now, record)
	}
	r.ready = true
	r.apply(r.set.Usable())
	return true
}

func (r *endpointReader) applyChanges(records []keyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.set.RecordRead(now)
	for _, record := range records {
		r.applyRecord(now, record)
	}
	r.apply(r.set.Usable())
}

func (r *endpointReader) applyRecord(now time.Time, record keyedRecord) {
	name := structs.EndpointName(record.Key)
	if record.Value == nil {
		if r.set.Remove(now, name, record.Offset) {
			r.events.Emit(EventEndpointChanged, events.F("endpoint", name), events.F("offset", record.Offset), events.F("state", "removed"), events.F("store_away", r.set.RegistryUnavailable()))
		}
		return
	}
	endpoint, err := decodeEndpoint(record.Key, record.Value)
	if err != nil {
		r.set.Remove(now, name, record.Offset)
		if !r.loggedFaulty[record.Key] {
			r.loggedFaulty[record.Key] = true
			r.events.Emit(EventEndpointFault, events.F("endpoint", name), events.F("offset", record.Offset), events.F("error", err))
		}
		return
	}
	state := stateReady
	if endpoint.Draining {
		state = stateDraining
	}
	switch r.set.Put(endpoint, record.Offset) {
	case endpointset.Late:
		r.events.Emit(EventEndpointEntryLate, events.F("endpoint", name), events.F("offset", record.Offset), events.F("state", state),
			events.F("born", endpoint.StartedUnixMs), events.F("sequence", endpoint.Sequence))
	case endpointset.Applied:
		r.events.Emit(EventEndpointChanged, events.F("endpoint", name), events.F("offset", record.Offset), events.F("state", state),
			events.F("pool", endpoint.Pool), events.F("address", endpoint.Address), events.F("born", endpoint.StartedUnixMs), events.F("sequence", endpoint.Sequence))
	}
}

// noChanges drops missing endpoints whose grace period has ended.
func (r *endpointReader) noChanges(readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.RecordRead(readAt)
	if r.isCurrentLocked() && readAt.After(r.knownAt) {
		r.knownAt = readAt
	}
	if _, missing := r.set.NextExpiry(); missing {
		r.apply(r.set.Usable())
	}
}

// maxWait ends the next read when the grace period of a missing endpoint ends.
func (r *endpointReader) maxWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	expiry, missing := r.set.NextExpiry()
	if !missing {
		return 0
	}
	return max(time.Until(expiry), followRetryMin)
}

func (r *endpointReader) storeLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.RegistryLost()
}

func (r *endpointReader) storeRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.RegistryRestored(time.Now())
}

func (r *endpointReader) epochBegan() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.BeginEpoch(time.Now())
}

func (r *endpointReader) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// known returns until when the endpoints are known as the store had them, and whether that
// can be said of now.
func (r *endpointReader) known() (knownAt time.Time, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownAt, r.isCurrentLocked()
}

func (r *endpointReader) isCurrentLocked() bool {
	return !r.set.RegistryUnavailable() && (r.failing == nil || !r.failing())
}
