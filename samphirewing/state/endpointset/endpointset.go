// Package endpointset maintains the endpoints listed by a platform's registry.
//
// The registry delivers numbered changes and complete listings. Both may arrive
// late or repeatedly: a change never replaces one with a higher number. The
// registry may also execute an endpoint's own writes late, after later ones, so
// that a higher number does not mean a newer entry (see revision).
// Endpoints whose entries lapsed while the registry was unavailable stay usable
// for a short time after its return, since they may merely have been unable to
// renew their entries.
package endpointset

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/state/structs"
)

// RelistGracePeriod is how long after the registry's return an endpoint may be
// missing before it is removed. The platform guarantees that live endpoints are
// listed again within two seconds.
const RelistGracePeriod = 1800 * time.Millisecond

// Endpoint is the registry's description of an endpoint.
type Endpoint struct {
	Name          structs.EndpointName
	Pool          structs.PoolName
	Address       string
	FailureDomain instance.FailureDomain
	Slots         int
	// StartedUnixMs identifies a start of the endpoint; a restart under the
	// same name has another value. Zero if unknown.
	StartedUnixMs int64
	// Sequence counts the entries that the endpoint has written since its start;
	// zero if unknown.
	Sequence int64
	// Version is the version of the endpoint's software; empty if unknown.
	Version string
	// Draining endpoints accept no new requests.
	Draining bool
}

// Set is the set of known endpoints. It is not safe for concurrent use.
//
// Invariant: an entry's offset never decreases.
type Set struct {
	entries map[structs.EndpointName]*entry
	// end is the offset after the last change that a listing or change has
	// covered.
	end int64
	// registryUnavailable is set while the registry can't be read;
	// registryRestoredAt is when it last became readable again.
	registryUnavailable bool
	registryRestoredAt  time.Time
	// lastRead is when the registry was last read. A missing endpoint expires
	// only once the registry was read after its grace period.
	lastRead time.Time
	version  uint64
}

type entry struct {
	endpoint Endpoint
	offset   int64
	// readAt is when the endpoint was last read.
	readAt time.Time
	// late is the last late write ignored since, lateOffset its offset.
	late       revision
	lateOffset int64
	// earlier is set until the entry is replaced after offsets have begun anew.
	earlier bool
	// removed is set once the entry was removed, at removedAt. The endpoint stays
	// usable until expiresAt, when expired is set. The entry is kept longer, to
	// recognise late writes.
	removed, expired     bool
	removedAt, expiresAt time.Time
}

// New returns an empty set.
func New() *Set { return &Set{entries: map[structs.EndpointName]*entry{}} }

// Version returns a number that increases whenever the usable endpoints may have
// changed.
func (s *Set) Version() uint64 { return s.version }

// End returns the offset after the last change covered.
func (s *Set) End() int64 { return s.end }

// PutResult is the result of Put.
type PutResult int8

const (
	// Applied means that the entry is now the current one.
	Applied PutResult = iota
	// Superseded means that the current entry has a higher offset.
	Superseded
	// Late means that the endpoint wrote the current entry after this one, which
	// the registry has executed late.
	Late
)

// Put adds or replaces an endpoint's entry, unless it is older than the current
// one.
func (s *Set) Put(e Endpoint, offset int64) PutResult {
	old := s.entries[e.Name]
	if old != nil && offset < old.offset {
		return Superseded
	}
	s.advance(offset)
	if old != nil && old.ignoresLate(s.lastRead, e, offset) {
		return Late
	}
	s.version++
	s.entries[e.Name] = &entry{endpoint: e, offset: offset, readAt: s.lastRead}
	return Applied
}

// Remove records that an entry was deleted or no longer describes an endpoint.
// It returns false if the endpoint is unknown or already removed, or if the
// current entry is newer.
func (s *Set) Remove(now time.Time, name structs.EndpointName, offset int64) bool {
	s.advance(offset)
	s.RecordRead(now)
	old := s.entries[name]
	if old == nil || offset < old.offset || old.removed {
		return false
	}
	s.remove(now, old, offset)
	return true
}

func (s *Set) remove(now time.Time, e *entry, offset int64) {
	s.version++
	e.removed, e.removedAt = true, now
	e.offset = offset
	e.expiresAt = now
	// A draining endpoint has announced that it leaves, so its entry did not
	// lapse.
	if !e.endpoint.Draining && (s.registryUnavailable || now.Sub(s.registryRestoredAt) < RelistGracePeriod) {
		e.expiresAt = s.relistDeadline(now)
	}
}

func (s *Set) relistDeadline(now time.Time) time.Time {
	if s.registryUnavailable {
		return now.Add(RelistGracePeriod)
	}
	return s.registryRestoredAt.Add(RelistGracePeriod)
}

// ApplyListing applies a complete listing that covers all changes before end,
// and removes the endpoints that are not listed. It returns false and changes
// nothing if the listing is stale.
func (s *Set) ApplyListing(now time.Time, listed map[structs.EndpointName]bool, end int64) bool {
	if end < s.end {
		return false
	}
	s.advance(end - 1)
	s.RecordRead(now)
	for name, e := range s.entries {
		if !listed[name] && !e.removed && e.offset < end {
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

// RecordRead records that the registry was read, with or without changes.
func (s *Set) RecordRead(now time.Time) {
	if now.After(s.lastRead) {
		s.lastRead = now
	}
}

// RegistryLost records that the registry can't be read.
func (s *Set) RegistryLost() { s.registryUnavailable = true }

// RegistryRestored records that the registry can be read again.
func (s *Set) RegistryRestored(now time.Time) {
	if s.registryUnavailable {
		s.registryUnavailable, s.registryRestoredAt = false, now
	}
}

// BeginEpoch records that the registry has been restored from an older copy. Offsets
// begin anew. The copy may have entries that were replaced or removed since, and
// endpoints that it lacks write their entries again.
func (s *Set) BeginEpoch(now time.Time) {
	s.end = 0
	for _, e := range s.entries {
		e.offset, e.lateOffset, e.earlier = -1, -1, true
	}
	s.registryUnavailable, s.registryRestoredAt = false, now
}

// RegistryUnavailable reports whether the registry can't be read.
func (s *Set) RegistryUnavailable() bool { return s.registryUnavailable }

// Usable returns the endpoints that may receive new requests. It deletes the
// entries that are no longer needed to recognise late writes.
func (s *Set) Usable() []Endpoint {
	var all []Endpoint
	for name, e := range s.entries {
		if e.removed && !e.expired && !s.lastRead.Before(e.expiresAt) {
			e.expired = true
			s.version++
		}
		if e.expired && s.lastRead.Sub(e.removedAt) >= lateWriteWindow {
			delete(s.entries, name)
			continue
		}
		if !e.expired && !e.endpoint.Draining {
			all = append(all, e.endpoint)
		}
	}
	return all
}

// NextExpiry returns when the next missing endpoint expires, and whether any
// endpoint is missing. The registry should be read at that time.
func (s *Set) NextExpiry() (expiry time.Time, found bool) {
	for _, e := range s.entries {
		if e.removed && !e.expired && (!found || e.expiresAt.Before(expiry)) {
			expiry, found = e.expiresAt, true
		}
	}
	return expiry, found
}
