package poolowner

import (
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

// finishedRequest is the record of a finished request.
type finishedRequest struct {
	outcome    structs.Outcome
	reason     structs.Reason
	finishedAt time.Time
}

// finishedRequests holds the recently finished requests and evicts the oldest
// first. It distinguishes late repeats of an offer from new requests.
// Invariant: len(order)-first == len(byID) <= limit.
type finishedRequests struct {
	limit     int
	retention time.Duration
	byID      map[structs.RequestID]finishedRequest
	order     []structs.RequestID
	// first is the index in order of the oldest request.
	first int
}

func newFinishedRequests(limit int, retention time.Duration) finishedRequests {
	return finishedRequests{limit: limit, retention: retention, byID: map[structs.RequestID]finishedRequest{}}
}

func (f *finishedRequests) add(id structs.RequestID, r finishedRequest) {
	if _, known := f.byID[id]; known {
		return
	}
	f.byID[id] = r
	f.order = append(f.order, id)
	for len(f.byID) > f.limit {
		f.removeOldest()
	}
}

func (f *finishedRequests) get(id structs.RequestID) (finishedRequest, bool) {
	r, ok := f.byID[id]
	return r, ok
}

func (f *finishedRequests) expire(now time.Time) {
	for f.first < len(f.order) && now.Sub(f.byID[f.order[f.first]].finishedAt) > f.retention {
		f.removeOldest()
	}
}

func (f *finishedRequests) removeOldest() {
	delete(f.byID, f.order[f.first])
	f.order[f.first] = ""
	f.first++
	if f.first > len(f.order)/2 {
		f.order = append([]structs.RequestID(nil), f.order[f.first:]...)
		f.first = 0
	}
}

// callerKey is a caller key within its organisation.
type callerKey struct {
	organisation structs.OrganisationName
	key          string
}

// keyGrant records that a caller key was granted.
type keyGrant struct {
	holder structs.RequestID
	// finishedAt is when the holder finished, or zero while it may be running.
	finishedAt time.Time
}

// grantedKeys holds the caller keys that were granted, until the retention
// period after their requests finished.
type grantedKeys struct {
	retention time.Duration
	byKey     map[callerKey]keyGrant
	// finished holds the keys of finished requests, oldest first. A key may
	// occur more than once; only the entry with the time of the current grant
	// counts.
	finished []finishedKey
}

type finishedKey struct {
	key        callerKey
	finishedAt time.Time
}

func newGrantedKeys(retention time.Duration) grantedKeys {
	return grantedKeys{retention: retention, byKey: map[callerKey]keyGrant{}}
}

func callerKeyOf(s *structs.Request) callerKey {
	return callerKey{organisation: s.Organisation, key: s.CallerKey}
}

// grantedToOther reports whether another request was granted under the same
// key.
func (k *grantedKeys) grantedToOther(s *structs.Request) bool {
	if s.CallerKey == "" {
		return false
	}
	g, ok := k.byKey[callerKeyOf(s)]
	return ok && g.holder != s.ID
}

func (k *grantedKeys) recordGrant(s *structs.Request) {
	if s.CallerKey != "" {
		k.byKey[callerKeyOf(s)] = keyGrant{holder: s.ID}
	}
}

// releaseReturned releases the key of a request that is proved not to have been
// sent.
func (k *grantedKeys) releaseReturned(s *structs.Request) {
	if g, ok := k.byKey[callerKeyOf(s)]; ok && g.holder == s.ID {
		delete(k.byKey, callerKeyOf(s))
	}
}

func (k *grantedKeys) recordFinish(r *request, outcome structs.Outcome, now time.Time) {
	g, ok := k.byKey[callerKeyOf(&r.spec)]
	if !ok || g.holder != r.spec.ID {
		return
	}
	if outcome == structs.OutcomeNotRun {
		delete(k.byKey, callerKeyOf(&r.spec))
		return
	}
	g.finishedAt = now
	k.byKey[callerKeyOf(&r.spec)] = g
	k.finished = append(k.finished, finishedKey{key: callerKeyOf(&r.spec), finishedAt: now})
}

func (k *grantedKeys) expire(now time.Time) {
	n := 0
	for n < len(k.finished) && now.Sub(k.finished[n].finishedAt) > k.retention {
		if g := k.byKey[k.finished[n].key]; g.finishedAt.Equal(k.finished[n].finishedAt) {
			delete(k.byKey, k.finished[n].key)
		}
		n++
	}
	k.finished = append([]finishedKey(nil), k.finished[n:]...)
}
