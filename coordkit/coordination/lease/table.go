package lease

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/leasepb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const invariantFencingRises invariant.Name = "lease-fencing-number-rises"

// MaxDuration bounds a lease.
const MaxDuration = 2 * time.Minute

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
}

// Table is the fold of the lease stream. It is not safe for concurrent use.
type Table struct {
	entries map[Name]*Entry
	// base is added to offsets to give fencing numbers; it never falls. It
	// begins with the time in milliseconds, so that numbers go on rising when
	// the stream was lost and its offsets begin again.
	base int64
	// now is the latest time of a record folded; it never falls.
	now time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[Name]*Entry)} }

// Get returns the entry of a name; it may have expired.
func (t *Table) Get(n Name) (Entry, bool) {
	e := t.entries[n]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Base returns the largest base so far.
func (t *Table) Base() int64 { return t.base }

// granted is one lease that a record granted or renewed.
type granted struct {
	name    Name
	fencing Fencing
	// clean is set when the lease before was released by its holder.
	clean bool
	// displaced is the duration of the lease before, or that of this one when
	// the lease before is not known.
	displaced time.Duration
}

// Fold applies one record and returns the leases that it granted or renewed.
func (t *Table) Fold(offset eventlog.Offset, at time.Time, r *leasepb.Record) []granted {
	if at.After(t.now) {
		t.now = at
	}
	t.base = max(t.base, r.Base)
	var out []granted
	for i, n := range r.Names {
		var f Fencing
		if i < len(r.Fencing) {
			f = Fencing(r.Fencing[i])
		}
		if g, ok := t.foldOne(offset, r, Name(n), f); ok {
			out = append(out, g)
		}
	}
	return out
}

func (t *Table) foldOne(offset eventlog.Offset, r *leasepb.Record, n Name, f Fencing) (granted, bool) {
	duration := min(time.Duration(r.DurationNano), MaxDuration)
	e := t.entries[n]
	switch r.Kind {
	case leasepb.Kind_KIND_ACQUIRE:
		if e != nil && !e.Released && t.now.Before(e.Expires) {
			return granted{}, false
		}
		return t.grant(offset, r.Holder, n, duration), true
	case leasepb.Kind_KIND_RENEW:
		if e == nil || e.Holder != r.Holder || e.Fencing != f || e.Released {
			return granted{}, false
		}
		e.Expires, e.Duration = t.now.Add(duration), duration
		return granted{name: n, fencing: f}, true
	case leasepb.Kind_KIND_RELEASE:
		if e != nil && e.Holder == r.Holder && e.Fencing == f {
			e.Released = true
		}
	}
	return granted{}, false
}

func (t *Table) grant(offset eventlog.Offset, holder string, n Name, d time.Duration) granted {
	g := granted{name: n, fencing: Fencing(t.base + int64(offset)), displaced: d}
	if e := t.entries[n]; e != nil {
		g.clean, g.displaced = e.Released, e.Duration
		invariant.Check(g.fencing > e.Fencing, invariantFencingRises, "%s: %d after %d", n, g.fencing, e.Fencing)
	}
	t.entries[n] = &Entry{Holder: holder, Fencing: g.fencing, Expires: t.now.Add(d), Duration: d}
	return g
}
