package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// endedRequest is what is remembered of a request after its end.
type endedRequest struct {
	outcome structs.Outcome
	reason  structs.Reason
	at      time.Time
}

// endedMemory remembers lately ended requests, oldest out first.
// Invariant: len(order)-first == len(byID) <= limit.
type endedMemory struct {
	limit int
	keep  time.Duration
	byID  map[structs.RequestID]endedRequest
	order []structs.RequestID
	first int
}

func newEndedMemory(limit int, keep time.Duration) endedMemory {
	return endedMemory{limit: limit, keep: keep, byID: map[structs.RequestID]endedRequest{}}
}

func (m *endedMemory) add(id structs.RequestID, e endedRequest) {
	if _, known := m.byID[id]; known {
		return
	}
	m.byID[id] = e
	m.order = append(m.order, id)
	for len(m.byID) > m.limit {
		m.dropOldest()
	}
}

func (m *endedMemory) get(id structs.RequestID) (endedRequest, bool) {
	e, ok := m.byID[id]
	return e, ok
}

func (m *endedMemory) sweep(now time.Time) {
	for m.first < len(m.order) && now.Sub(m.byID[m.order[m.first]].at) > m.keep {
		m.dropOldest()
	}
}

func (m *endedMemory) dropOldest() {
	delete(m.byID, m.order[m.first])
	m.order[m.first] = ""
	m.first++
	if m.first > len(m.order)/2 {
		m.order = append([]structs.RequestID(nil), m.order[m.first:]...)
		m.first = 0
	}
}

// ownedKey is a caller key within its organisation.
type ownedKey struct {
	organisation structs.OrganisationName
	key          string
}

// grantedKey is a caller key that has been granted.
type grantedKey struct {
	holder structs.RequestID
	// ended is when the holder ended; zero while it may run.
	ended time.Time
}

// keyMemory remembers the caller keys that have been granted, for a while
// after their requests ended.
type keyMemory struct {
	keep  time.Duration
	byKey map[ownedKey]grantedKey
	// order holds ended keys, oldest end first, with records of later ends
	// in between.
	order []endedKey
}

type endedKey struct {
	key ownedKey
	at  time.Time
}

func newKeyMemory(keep time.Duration) keyMemory {
	return keyMemory{keep: keep, byKey: map[ownedKey]grantedKey{}}
}

func keyOf(s *structs.Request) ownedKey {
	return ownedKey{organisation: s.Organisation, key: s.CallerKey}
}

// takenByOther tells whether another request was granted under the same key.
func (m *keyMemory) takenByOther(s *structs.Request) bool {
	if s.CallerKey == "" {
		return false
	}
	g, ok := m.byKey[keyOf(s)]
	return ok && g.holder != s.ID
}

func (m *keyMemory) granted(s *structs.Request) {
	if s.CallerKey != "" {
		m.byKey[keyOf(s)] = grantedKey{holder: s.ID}
	}
}

// returned frees the key of a request that was proved not to have been sent.
func (m *keyMemory) returned(s *structs.Request) {
	if g, ok := m.byKey[keyOf(s)]; ok && g.holder == s.ID {
		delete(m.byKey, keyOf(s))
	}
}

func (m *keyMemory) ended(r *request, outcome structs.Outcome, now time.Time) {
	g, ok := m.byKey[keyOf(&r.spec)]
	if !ok || g.holder != r.spec.ID {
		return
	}
	if outcome == structs.OutcomeNotRun {
		delete(m.byKey, keyOf(&r.spec))
		return
	}
	g.ended = now
	m.byKey[keyOf(&r.spec)] = g
	m.order = append(m.order, endedKey{key: keyOf(&r.spec), at: now})
}

func (m *keyMemory) sweep(now time.Time) {
	n := 0
	for n < len(m.order) && now.Sub(m.order[n].at) > m.keep {
		if g := m.byKey[m.order[n].key]; g.ended.Equal(m.order[n].at) {
			delete(m.byKey, m.order[n].key)
		}
		n++
	}
	m.order = append([]endedKey(nil), m.order[n:]...)
}
