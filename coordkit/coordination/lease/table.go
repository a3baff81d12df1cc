package lease

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/leasepb"
)

const invariantFencingRises invariant.Name = "lease-fencing-number-rises"

// settleDurations is the number of lease durations, counted from the first
// record of a window of the stream, in which the table may show a wrong holder:
// a wrong one may seem live for up to two durations, and the true one may not
// have renewed since.
const settleDurations = 3

// Name identifies a lease.
type Name string

// Fencing is a fencing number. It increases with each grant of a name.
type Fencing int64

// Entry is the state of one lease according to the log.
type Entry struct {
	Holder  string
	Fencing Fencing
	// Expires is by the log service's clock.
	Expires  time.Time
	Duration time.Duration
	Released bool
	// SafeAt is when, by the log service's clock, the leases of the previous
	// holders have certainly expired.
	SafeAt time.Time
	// tentative is set while the holder is known only from an acquire near the
	// start of the window, where an unknown earlier lease may have been live.
	tentative bool
}

// Table is the state that results from applying the lease stream. It is not safe
// for concurrent use.
type Table struct {
	entries map[Name]*Entry
	// last is the largest known fencing number; it never decreases.
	last Fencing
	// logTime is the latest log time of the applied records; it never decreases.
	logTime time.Time
	// maxDuration bounds the duration of every lease.
	maxDuration time.Duration
	// partial is set when the stream has records before the first applied one.
	// The holders of leases granted there are then not known at first; see
	// mayShowWrongHolder.
	partial bool
	// firstAt is the log time of the first applied record.
	firstAt time.Time
}

// NewTable returns an empty Table for a stream that is read from its first
// record, or from a later one when partial is set.
func NewTable(maxDuration time.Duration, partial bool) *Table {
	return &Table{entries: make(map[Name]*Entry), maxDuration: maxDuration, partial: partial}
}

// mayMiss reports whether the table may miss live leases. A live lease has a
// record within its duration, as an expired lease is not renewed.
func (t *Table) mayMiss() bool { return t.partial && t.logTime.Before(t.firstAt.Add(t.maxDuration)) }

// mayShowWrongHolder reports whether the table may show a wrong holder.
func (t *Table) mayShowWrongHolder() bool {
	return t.partial && t.logTime.Before(t.firstAt.Add(settleDurations*t.maxDuration))
}

// Get returns the entry of a name; it may have expired.
func (t *Table) Get(n Name) (Entry, bool) {
	e := t.entries[n]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Last returns the largest known fencing number.
func (t *Table) Last() Fencing { return t.last }

// tableGrant is one lease that a record granted or renewed.
type tableGrant struct {
	name    Name
	fencing Fencing
	// displacedFor is how long previous holders may still rely on their leases;
	// zero when they certainly do not.
	displacedFor time.Duration
}

// Apply applies one record and returns the leases that it granted or renewed.
func (t *Table) Apply(at time.Time, r *leasepb.Record) []tableGrant {
	if at.After(t.logTime) {
		t.logTime = at
	}
	if t.firstAt.IsZero() {
		t.firstAt = at
	}
	next := max(t.last+1, Fencing(r.Base))
	t.last = max(t.last, Fencing(r.Base))
	var grants []tableGrant
	for i, n := range r.Names {
		var claimed Fencing
		if i < len(r.Fencing) {
			claimed = Fencing(r.Fencing[i])
		}
		if g, ok := t.applyName(next, r, Name(n), claimed); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// applyName applies a record to one of its names. next is the fencing number of
// a new grant, claimed the number that the record renews or releases.
func (t *Table) applyName(next Fencing, r *leasepb.Record, name Name, claimed Fencing) (tableGrant, bool) {
	duration := min(time.Duration(r.DurationNano), t.maxDuration)
	e := t.entries[name]
	switch r.Kind {
	case leasepb.Kind_KIND_ACQUIRE:
		if e != nil && !e.Released && t.logTime.Before(e.Expires) {
			return tableGrant{}, false
		}
		return t.grant(next, r.Holder, name, duration), true
	case leasepb.Kind_KIND_RENEW:
		if t.partial && t.showsNewerHolder(e, claimed) {
			t.last = max(t.last, claimed)
			e = &Entry{Holder: r.Holder, Fencing: claimed, Expires: t.logTime.Add(duration), SafeAt: t.logTime.Add(withClockDrift(t.maxDuration))}
			t.entries[name] = e
		}
		if e == nil || e.Holder != r.Holder || e.Fencing != claimed || e.Released || !t.logTime.Before(e.Expires) {
			return tableGrant{}, false
		}
		e.tentative = false
		e.Expires, e.Duration = t.logTime.Add(duration), duration
		return tableGrant{name: name, fencing: claimed, displacedFor: max(0, e.SafeAt.Sub(t.logTime))}, true
	case leasepb.Kind_KIND_RELEASE:
		if e != nil && e.Holder == r.Holder && e.Fencing == claimed {
			e.Released = true
		}
	}
	return tableGrant{}, false
}

// showsNewerHolder reports whether a renewal with the given fencing number
// overrides the holder in e. A higher number was always granted later.
func (t *Table) showsNewerHolder(e *Entry, fencing Fencing) bool {
	if e != nil && fencing > e.Fencing {
		return true
	}
	return t.mayMiss() && (e == nil || e.tentative && e.Fencing != fencing)
}

// withClockDrift returns how long a lease of duration d may last by a clock that
// runs faster than the holder's.
func withClockDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift))
}

func (t *Table) grant(fencing Fencing, holder string, name Name, duration time.Duration) tableGrant {
	g := tableGrant{name: name, fencing: fencing, displacedFor: withClockDrift(duration)}
	if e := t.entries[name]; e != nil {
		g.displacedFor = max(0, e.SafeAt.Sub(t.logTime))
		if !e.Released && e.Holder != holder {
			g.displacedFor = max(g.displacedFor, withClockDrift(e.Duration))
		}
		invariant.Check(g.fencing > e.Fencing, invariantFencingRises, "%s: %d after %d", name, g.fencing, e.Fencing)
	}
	t.last = max(t.last, fencing)
	t.entries[name] = &Entry{
		Holder: holder, Fencing: g.fencing, Expires: t.logTime.Add(duration), Duration: duration, tentative: t.mayMiss(),
		SafeAt: t.logTime.Add(g.displacedFor),
	}
	return g
}
