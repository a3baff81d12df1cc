// Package resume decides at which version of its endpoints a stream may go on.
//
// The load: endpoints of several software versions serve one pool side by side, what
// two versions write doesn't fit together, and all daemons are killed at once while
// streams are in progress. The callers take their streams up at daemons that remember
// nothing. A Table holds where the unfinished streams of a daemon, and of those that
// report to it, began; lists of them are kept in the store. Admissions holds the
// versions at which streams may begin, so that a pool with a single one needs no lists.
//
// Neither type is safe for concurrent use. The current time is passed in.
package resume

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// StreamLife bounds the time for which a caller may go on with a stream.
	StreamLife = 30 * time.Second
)

// Key identifies a stream by the ID of the attempt that brought its first event.
type Key uint64

// KeyOf returns the key of an attempt's ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Origin is where a stream began.
type Origin struct {
	Pool    structs.PoolName
	Version string
}

// List holds the origins of unfinished streams.
type List map[Key]Origin

// Evidence says why a stream may go on at a version.
type Evidence string

// The kinds of evidence.
const (
	// Held means that this daemon began the stream, or one that reports to it.
	Held Evidence = "held"
	// Stored means that a list in the store has the stream.
	Stored Evidence = "stored"
	// SingleVersion means that streams of the pool begin at one version only.
	SingleVersion Evidence = "single-version"
)

// Table holds the origins of streams that callers may take up.
type Table struct {
	own map[Key]*stream
	// ended holds the ends of attempts at them, in order of time.
	ended []attemptEnd
	// reported holds the last list of each daemon that reports to this one, orphaned
	// the lists of those that have died or report elsewhere.
	reported map[string]*report
	orphaned []*report
	// stored holds the lists in the store, by the daemon that wrote them.
	stored map[string]List
}

// stream is a stream that this daemon has served.
type stream struct {
	origin Origin
	// attempts is the number of attempts in progress. whole is set once the last one
	// has ended with the end of the stream. The stream is forgotten at expiresAt.
	attempts  int
	whole     bool
	expiresAt time.Time
}

// attemptEnd is the end of an attempt at a stream, which may be forgotten at expiresAt if
// no other attempt has followed.
type attemptEnd struct {
	key       Key
	expiresAt time.Time
}

type report struct {
	from        string
	incarnation uint64
	list        List
	expiresAt   time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{own: map[Key]*stream{}, reported: map[string]*report{}, stored: map[string]List{}}
}

// Begin records that an attempt has brought the first event of a stream, or goes on
// with it.
func (t *Table) Begin(key Key, origin Origin) {
	s := t.own[key]
	if s == nil {
		s = &stream{origin: origin}
		t.own[key] = s
	}
	s.attempts++
	s.whole = false
}

// End records that an attempt has ended. whole is set if the stream was complete.
func (t *Table) End(now time.Time, key Key, whole bool) {
	s := t.own[key]
	if s == nil {
		return
	}
	s.attempts--
	s.whole = s.whole || whole
	s.expiresAt = now.Add(StreamLife)
	t.ended = append(t.ended, attemptEnd{key: key, expiresAt: s.expiresAt})
	t.expireOwn(now)
}

// PutReport replaces the list of a daemon that reports to this one.
func (t *Table) PutReport(now time.Time, from string, incarnation uint64, list List) {
	if old := t.reported[from]; old != nil && old.incarnation != incarnation && len(old.list) > 0 {
		// The streams of the incarnation that has died may be taken up.
		t.orphaned = append(t.orphaned, &report{from: from, list: old.list, expiresAt: now.Add(StreamLife)})
	}
	t.reported[from] = &report{from: from, incarnation: incarnation, list: list, expiresAt: now.Add(StreamLife)}
}

// Inherit adds the list that an earlier incarnation of this daemon has left in the store.
func (t *Table) Inherit(now time.Time, list List) {
	t.orphaned = append(t.orphaned, &report{list: list, expiresAt: now.Add(StreamLife)})
}

// SetStored replaces the lists in the store.
func (t *Table) SetStored(lists map[string]List) { t.stored = lists }

// Stored returns the list of a daemon in the store.
func (t *Table) Stored(name string) List { return t.stored[name] }

// Find returns where a stream began.
func (t *Table) Find(key Key) (Origin, Evidence, bool) {
	if s := t.own[key]; s != nil {
		return s.origin, Held, true
	}
	for _, r := range t.reported {
		if o, found := r.list[key]; found {
			return o, Held, true
		}
	}
	for _, r := range t.orphaned {
		if o, found := r.list[key]; found {
			return o, Held, true
		}
	}
	for _, list := range t.stored {
		if o, found := list[key]; found {
			return o, Stored, true
		}
	}
	return Origin{}, "", false
}

// List returns the unfinished streams of this daemon and those that report to it, of the
// pools for which recorded returns true.
func (t *Table) List(now time.Time, recorded func(structs.PoolName) bool) List {
	t.expire(now)
	all := List{}
	add := func(key Key, o Origin) {
		if recorded(o.Pool) {
			all[key] = o
		}
	}
	for key, s := range t.own {
		if !s.whole || s.attempts > 0 {
			add(key, s.origin)
		}
	}
	for _, r := range t.reported {
		for key, o := range r.list {
			add(key, o)
		}
	}
	for _, r := range t.orphaned {
		for key, o := range r.list {
			add(key, o)
		}
	}
	return all
}

// expireOwn forgets the streams that ended long ago. It is called with each end, so that
// the table holds those of StreamLife at most, whether lists are needed or not.
func (t *Table) expireOwn(now time.Time) {
	expired := 0
	for _, end := range t.ended {
		if !now.After(end.expiresAt) {
			break
		}
		expired++
		if s := t.own[end.key]; s != nil && s.attempts <= 0 && now.After(s.expiresAt) {
			delete(t.own, end.key)
		}
	}
	t.ended = t.ended[expired:]
}

func (t *Table) expire(now time.Time) {
	t.expireOwn(now)
	for from, r := range t.reported {
		if now.After(r.expiresAt) {
			delete(t.reported, from)
		}
	}
	kept := t.orphaned[:0]
	for _, r := range t.orphaned {
		if now.Before(r.expiresAt) {
			kept = append(kept, r)
		}
	}
	clear(t.orphaned[len(kept):])
	t.orphaned = kept
}
