package lease

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/leasepb"
)

const invariantFencingRises invariant.Name = "lease-fencing-number-rises"

// settlePart times the lease duration is how long after its first record a
// window of the stream may show a wrong holder: one that seems live for up to
// two durations, and a true one that has not renewed since.
const settlePart = 3

// Name names a lease.
type Name string

// Fencing is a number that rises with each grant of a name.
type Fencing int64

// Entry is what the log says of one lease.
type Entry struct {
	Holder  string
	Fencing Fencing
	// Expires is by the log service's clock.
	Expires  time.Time
	Duration time.Duration
	Released bool
	// SafeAt is when, by the log service's clock, the holders before are
	// surely past their leases.
	SafeAt time.Time
	// tentative is set while only an acquire at the start of a window tells of
	// the holder: an unknown lease before may have been live.
	tentative bool
}

// Table is the fold of the lease stream. It is not safe for concurrent use.
type Table struct {
	entries map[Name]*Entry
	// last is the largest fencing number known; it never falls.
	last Fencing
	// now is the latest time of a record folded; it never falls.
	now time.Time
	// longest bounds every lease.
	longest time.Duration
	// partial is set when records before the first one folded are missing;
	// until settled the holders of leases granted there are not known.
	partial bool
	first   time.Time
}

// NewTable returns an empty Table for a stream that is read from its first
// record, or from a later one when partial is set.
func NewTable(longest time.Duration, partial bool) *Table {
	return &Table{entries: make(map[Name]*Entry), longest: longest, partial: partial}
}

// early tells whether a lease without a record so far may be live. A live
// lease has a record within its duration, as one that expired is not renewed.
func (t *Table) early() bool { return t.partial && t.now.Before(t.first.Add(t.longest)) }

// unsettled tells whether the table may show a wrong holder.
func (t *Table) unsettled() bool {
	return t.partial && t.now.Before(t.first.Add(settlePart*t.longest))
}

// Get returns the entry of a name; it may have expired.
func (t *Table) Get(n Name) (Entry, bool) {
	e := t.entries[n]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Last returns the largest fencing number known.
func (t *Table) Last() Fencing { return t.last }

// granted is one lease that a record granted or renewed.
type granted struct {
	name    Name
	fencing Fencing
	// displaced is how long holders before may still rely on their lease; it
	// is zero when they surely do not.
	displaced time.Duration
}

// Fold applies one record and returns the leases that it granted or renewed.
func (t *Table) Fold(at time.Time, r *leasepb.Record) []granted {
	if at.After(t.now) {
		t.now = at
	}
	if t.first.IsZero() {
		t.first = at
	}
	number := max(t.last+1, Fencing(r.Base))
	t.last = max(t.last, Fencing(r.Base))
	var out []granted
	for i, n := range r.Names {
		var f Fencing
		if i < len(r.Fencing) {
			f = Fencing(r.Fencing[i])
		}
		if g, ok := t.foldOne(number, r, Name(n), f); ok {
			out = append(out, g)
		}
	}
	return out
}

func (t *Table) foldOne(number Fencing, r *leasepb.Record, n Name, f Fencing) (granted, bool) {
	duration := min(time.Duration(r.DurationNano), t.longest)
	e := t.entries[n]
	switch r.Kind {
	case leasepb.Kind_KIND_ACQUIRE:
		if e != nil && !e.Released && t.now.Before(e.Expires) {
			return granted{}, false
		}
		return t.grant(number, r.Holder, n, duration), true
	case leasepb.Kind_KIND_RENEW:
		if t.partial && t.showsHolder(e, f) {
			t.last = max(t.last, f)
			e = &Entry{Holder: r.Holder, Fencing: f, Expires: t.now.Add(duration), SafeAt: t.now.Add(withSlack(t.longest))}
			t.entries[n] = e
		}
		if e == nil || e.Holder != r.Holder || e.Fencing != f || e.Released || !t.now.Before(e.Expires) {
			return granted{}, false
		}
		e.tentative = false
		e.Expires, e.Duration = t.now.Add(duration), duration
		return granted{name: n, fencing: f, displaced: max(0, e.SafeAt.Sub(t.now))}, true
	case leasepb.Kind_KIND_RELEASE:
		if e != nil && e.Holder == r.Holder && e.Fencing == f {
			e.Released = true
		}
	}
	return granted{}, false
}

// showsHolder tells whether a renewal with number f shows the holder of a
// lease better than e does. A higher number was always granted later.
func (t *Table) showsHolder(e *Entry, f Fencing) bool {
	if e != nil && f > e.Fencing {
		return true
	}
	return t.early() && (e == nil || e.tentative && e.Fencing != f)
}

// withSlack returns how long a lease may last by a clock that runs faster.
func withSlack(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockSlack))
}

func (t *Table) grant(number Fencing, holder string, n Name, d time.Duration) granted {
	g := granted{name: n, fencing: number, displaced: withSlack(d)}
	if e := t.entries[n]; e != nil {
		g.displaced = max(0, e.SafeAt.Sub(t.now))
		if !e.Released && e.Holder != holder {
			g.displaced = max(g.displaced, withSlack(e.Duration))
		}
		invariant.Check(g.fencing > e.Fencing, invariantFencingRises, "%s: %d after %d", n, g.fencing, e.Fencing)
	}
	t.last = max(t.last, number)
	t.entries[n] = &Entry{
		Holder: holder, Fencing: g.fencing, Expires: t.now.Add(d), Duration: d, tentative: t.early(),
		SafeAt: t.now.Add(g.displaced),
	}
	return g
}
