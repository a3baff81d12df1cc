// Package retryschedule promises refused callers times at which there is capacity for
// them.
//
// It handles the herd of callers that were all refused within a short time, come back
// when they were told to, and would be refused again because new arrivals took the
// capacity first. A first refusal only defers a request, a second one loses it, since
// callers repeat a request once. So each refusal takes the next place in a schedule of
// future capacity, places count as taken for new arrivals, and a caller that comes back
// is recognised by its request and takes its place.
package retryschedule

import (
	"slices"
	"sort"
	"time"
)

const (
	// Horizon is how far ahead places are promised.
	Horizon = 3 * time.Second
	// early and late bound how far from the promised time a caller may come back, for
	// the time that messages take.
	early = 50 * time.Millisecond
	late  = time.Second
	// maxPlaces bounds the memory of a schedule.
	maxPlaces = 4096
	// maxUnsent bounds the promises that the others are told of at a time.
	maxUnsent = 32
	// returnWeight is the weight of one place in the rate of callers that come back.
	returnWeight = 0.05
	// initialReturns is the assumed rate before the first observations.
	initialReturns = 0.5
)

// Fingerprint identifies a request by its content; zero if it is unknown.
type Fingerprint uint32

// Promise is a promise that a daemon made to a caller.
type Promise struct {
	Fingerprint Fingerprint
	Due         time.Time
}

// place is a promise that is known to this daemon.
type place struct {
	due         time.Time
	fingerprint Fingerprint
	// sequence is the order of arrival of the refused request.
	sequence uint64
	claimed  bool
}

// Schedule holds the places of one rank of one pool: those that this daemon promises and
// those that others have told it of, since callers come back to any daemon.
type Schedule struct {
	// places is ordered by due.
	places []*place
	// next is the earliest time of the next place of this daemon.
	next time.Time
	// returns is the rate at which the callers of known places come back to this
	// daemon.
	returns float64
	// byFingerprint has the unclaimed places.
	byFingerprint map[Fingerprint]*place
	// unsent holds this daemon's promises that the others have not been told of.
	unsent []Promise
}

// New returns an empty schedule.
func New() *Schedule {
	return &Schedule{returns: initialReturns, byFingerprint: map[Fingerprint]*place{}}
}

// Book promises the next place at or after earliest and before latest. perSecond is the
// capacity that may be promised. It returns the time until the place, or false if there
// is none.
func (s *Schedule) Book(now time.Time, f Fingerprint, sequence uint64, earliest, latest time.Duration, perSecond float64) (time.Duration, bool) {
	s.expire(now)
	due := now.Add(earliest)
	if s.next.After(due) {
		due = s.next
	}
	if due.Sub(now) > min(latest, Horizon) || perSecond <= 0 || len(s.places) >= maxPlaces {
		return 0, false
	}
	s.next = due.Add(time.Duration(float64(time.Second) / perSecond))
	s.insert(&place{due: due, fingerprint: f, sequence: sequence})
	if f != 0 && len(s.unsent) < maxUnsent {
		s.unsent = append(s.unsent, Promise{Fingerprint: f, Due: due})
	}
	return due.Sub(now), true
}

func (s *Schedule) insert(p *place) {
	if p.fingerprint != 0 {
		s.byFingerprint[p.fingerprint] = p
	}
	s.places = slices.Insert(s.places, s.firstAfter(p.due), p)
}

// Unsent returns this daemon's promises since the last call.
func (s *Schedule) Unsent() []Promise {
	all := s.unsent
	s.unsent = nil
	return all
}

// Add records a promise of another daemon. sequence is its order of arrival here.
func (s *Schedule) Add(now time.Time, p Promise, sequence uint64) {
	s.expire(now)
	if p.Fingerprint == 0 || len(s.places) >= maxPlaces || p.Due.Before(now.Add(-late)) || p.Due.After(now.Add(Horizon)) {
		return
	}
	if known := s.byFingerprint[p.Fingerprint]; known != nil && known.due.Sub(p.Due).Abs() < late {
		return
	}
	s.insert(&place{due: p.Due, fingerprint: p.Fingerprint, sequence: sequence})
}

// Claim returns the order of arrival of the request that was promised a place about now
// and comes back, or false.
func (s *Schedule) Claim(now time.Time, f Fingerprint) (sequence uint64, ok bool) {
	p := s.byFingerprint[f]
	if p == nil {
		return 0, false
	}
	if now.Before(p.due.Add(-early)) || now.After(p.due.Add(late)) {
		return 0, false
	}
	p.claimed = true
	delete(s.byFingerprint, f)
	return p.sequence, true
}

// Due returns how many callers are expected to come back until a time, to any of so many
// daemons.
func (s *Schedule) Due(now, until time.Time, daemons int) float64 {
	if len(s.places) == 0 || until.Before(now) {
		return 0
	}
	s.expire(now)
	from := s.firstAfter(now.Add(-early))
	n := 0
	for _, p := range s.places[from:s.firstAfter(until)] {
		if !p.claimed {
			n++
		}
	}
	return float64(n) * min(1, s.returns*float64(max(daemons, 1)))
}

// Len returns the number of places that are promised.
func (s *Schedule) Len() int { return len(s.places) }

func (s *Schedule) firstAfter(t time.Time) int {
	return sort.Search(len(s.places), func(i int) bool { return s.places[i].due.After(t) })
}

// expire removes the places whose callers do not come back any more.
func (s *Schedule) expire(now time.Time) {
	n := s.firstAfter(now.Add(-late))
	if n == 0 {
		return
	}
	for _, p := range s.places[:n] {
		observed := 0.0
		if p.claimed {
			observed = 1
		} else if s.byFingerprint[p.fingerprint] == p {
			delete(s.byFingerprint, p.fingerprint)
		}
		if p.fingerprint != 0 {
			s.returns += returnWeight * (observed - s.returns)
		}
	}
	s.places = slices.Delete(s.places, 0, n)
}
