// Package endpointset keeps the endpoints that a platform's registry lists.
//
// The registry delivers numbered changes and whole listings. Both may arrive
// late or repeated: a change never takes the place of one with a higher
// number. Endpoints whose entries lapsed while the registry was away stay
// usable for a short time after its return, since they may only have been
// unable to renew.
package endpointset

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/state/structs"
)

// ReturnGrace is how long after the registry's return an endpoint may be
// missing before it counts as gone. The platform promises that live endpoints
// are listed again within two seconds.
const ReturnGrace = 1800 * time.Millisecond

// Endpoint is what the registry says of one endpoint.
type Endpoint struct {
	Name          structs.EndpointName
	Pool          structs.PoolName
	Address       string
	FailureDomain instance.FailureDomain
	Slots         int
	// StartedUnixMs identifies the endpoint's start; a restart under the same name has
	// another value.
	StartedUnixMs int64
	// Draining endpoints take no new requests.
	Draining bool
}

// Set is the endpoints known. It is not safe for concurrent use.
// Invariant: an entry's offset never falls.
type Set struct {
	entries map[structs.EndpointName]*entry
	// end is the highest offset that a listing or change has covered.
	end int64
	// away is set while the registry cannot be read; returned is when it could
	// be read again.
	away     bool
	returned time.Time
	// read is when the registry was last read; what is missing is given up only
	// by what was read after its time.
	read    time.Time
	version uint64
}

type entry struct {
	endpoint Endpoint
	offset   int64
	gone     bool
	// goneAt is when a missing endpoint stops being usable.
	goneAt time.Time
}

// New returns an empty set.
func New() *Set { return &Set{entries: map[structs.EndpointName]*entry{}} }

// Version changes whenever the usable endpoints may have changed.
func (s *Set) Version() uint64 { return s.version }

// End returns the highest offset covered.
func (s *Set) End() int64 { return s.end }

// Put takes in an endpoint's entry. It returns false for an entry that is
// older than the one held.
func (s *Set) Put(e Endpoint, offset int64) bool {
	old := s.entries[e.Name]
	if old != nil && offset < old.offset {
		return false
	}
	s.advance(offset)
	s.version++
	s.entries[e.Name] = &entry{endpoint: e, offset: offset}
	return true
}

// Remove takes in that an entry is gone or names no endpoint any more.
func (s *Set) Remove(now time.Time, name structs.EndpointName, offset int64) bool {
	s.advance(offset)
	s.RecordRead(now)
	old := s.entries[name]
	if old == nil || offset < old.offset || old.gone {
		return false
	}
	s.remove(now, old, offset)
	return true
}

func (s *Set) remove(now time.Time, e *entry, offset int64) {
	s.version++
	e.gone = true
	e.offset = offset
	e.goneAt = now
	// A draining endpoint had told of its leaving, so its entry did not lapse.
	if !e.endpoint.Draining && (s.away || now.Sub(s.returned) < ReturnGrace) {
		e.goneAt = s.returnDeadline(now)
	}
}

func (s *Set) returnDeadline(now time.Time) time.Time {
	if s.away {
		return now.Add(ReturnGrace)
	}
	return s.returned.Add(ReturnGrace)
}

// ApplyListing takes in a whole listing that covers all changes before end. Endpoints
// that it does not name are gone. A listing older than what is held is
// refused.
func (s *Set) ApplyListing(now time.Time, listed map[structs.EndpointName]bool, end int64) bool {
	if end < s.end {
		return false
	}
	s.advance(end - 1)
	s.RecordRead(now)
	for name, e := range s.entries {
		if !listed[name] && !e.gone && e.offset < end {
			s.remove(now, e, e.offset)
		}
	}
	return true
}

func (s *Set) advance(offset int64) {
	if offset+1 > s.end {
		s.end = offset + 1
	}
}

// RecordRead notes that the registry was read, with or without a change.
func (s *Set) RecordRead(now time.Time) {
	if now.After(s.read) {
		s.read = now
	}
}

// RegistryLost notes that the registry cannot be read.
func (s *Set) RegistryLost() { s.away = true }

// RegistryRestored notes that the registry can be read again.
func (s *Set) RegistryRestored(now time.Time) {
	if s.away {
		s.away, s.returned = false, now
	}
}

// Away returns whether the registry cannot be read.
func (s *Set) Away() bool { return s.away }

// Usable returns the endpoints that may take new requests, and forgets those
// that are gone.
func (s *Set) Usable() []Endpoint {
	var all []Endpoint
	for name, e := range s.entries {
		if e.gone && !s.read.Before(e.goneAt) {
			delete(s.entries, name)
			s.version++
			continue
		}
		if !e.endpoint.Draining {
			all = append(all, e.endpoint)
		}
	}
	return all
}

// NextGone returns when the next missing endpoint is given up, and whether
// there is one. The registry should be read then.
func (s *Set) NextGone() (at time.Time, found bool) {
	for _, e := range s.entries {
		if e.gone && (!found || e.goneAt.Before(at)) {
			at, found = e.goneAt, true
		}
	}
	return at, found
}
