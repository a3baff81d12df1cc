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
	// returnWeight is the weight of one place in the rate of callers that come back.
	returnWeight = 0.05
	// initialReturns is the assumed rate before the first observations.
	initialReturns = 0.5
)

// Fingerprint identifies a request by its content; zero if it is unknown.
type Fingerprint uint64

// place is a promise to one caller.
type place struct {
	due         time.Time
	fingerprint Fingerprint
	// sequence is the order of arrival of the refused request.
	sequence uint64
	claimed  bool
}

// Schedule holds the places of one rank of one pool at one daemon.
type Schedule struct {
	// places is ordered by due.
	places []place
	// next is the earliest time of the next place.
	next time.Time
	// returns is the rate at which callers come back to this daemon.
	returns float64
	// byFingerprint has the numbers of unclaimed places; expired is the number of
	// places that were removed, the number of the first one that is left.
	byFingerprint map[Fingerprint]int
	expired       int
}

// New returns an empty schedule.
func New() *Schedule {
	return &Schedule{returns: initialReturns, byFingerprint: map[Fingerprint]int{}}
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
	if f != 0 {
		s.byFingerprint[f] = s.expired + len(s.places)
	}
	s.places = append(s.places, place{due: due, fingerprint: f, sequence: sequence})
	return due.Sub(now), true
}

// Claim returns the order of arrival of the request that was promised a place about now
// and comes back, or false.
func (s *Schedule) Claim(now time.Time, f Fingerprint) (sequence uint64, ok bool) {
	if f == 0 || len(s.byFingerprint) == 0 {
		return 0, false
	}
	number, found := s.byFingerprint[f]
	if !found {
		return 0, false
	}
	p := &s.places[number-s.expired]
	if now.Before(p.due.Add(-early)) || now.After(p.due.Add(late)) {
		return 0, false
	}
	p.claimed = true
	delete(s.byFingerprint, f)
	return p.sequence, true
}

// Due returns how many callers are expected to come back until a time.
func (s *Schedule) Due(now, until time.Time) float64 {
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
	return float64(n) * s.returns
}

// Len returns the number of places that are promised.
func (s *Schedule) Len() int { return len(s.places) }

// Returns returns the rate at which callers come back to this daemon.
func (s *Schedule) Returns() float64 { return s.returns }

func (s *Schedule) firstAfter(t time.Time) int {
	return sort.Search(len(s.places), func(i int) bool { return s.places[i].due.After(t) })
}

// expire removes the places whose callers do not come back any more.
func (s *Schedule) expire(now time.Time) {
	n := s.firstAfter(now.Add(-late))
	if n == 0 {
		return
	}
	for i, p := range s.places[:n] {
		observed := 0.0
		if p.claimed {
			observed = 1
		} else if s.byFingerprint[p.fingerprint] == s.expired+i {
			delete(s.byFingerprint, p.fingerprint)
		}
		if p.fingerprint != 0 {
			s.returns += returnWeight * (observed - s.returns)
		}
	}
	s.expired += n
	s.places = append(s.places[:0], s.places[n:]...)
}
