package lease

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/leasepb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	// DefaultDuration is the length of a lease.
	DefaultDuration = 15 * time.Second
	// clockSlack is the part by which two clocks' rates may differ.
	clockSlack = 0.05
	// renewPart is the part of a lease after which it is renewed.
	renewPart = 3

	retryPause    = time.Second
	readBackPause = 10 * time.Millisecond
	idlePoll      = time.Second
	failedPause   = 500 * time.Millisecond
	// uncertainWait is how long an append of unknown fate is looked for.
	uncertainWait = 2 * time.Second

	readLimitRecords  = 512
	loadWindowRecords = 2048
	loadWindowGrowth  = 4
)

const invariantLeaseReads invariant.Name = "lease-one-read-outstanding"

// HolderConfig sets up a Holder.
type HolderConfig struct {
	// Process is unique over all lives of all processes.
	Process string
	// Duration is the same on all processes that share the stream.
	Duration time.Duration
}

// Holder is the state machine that keeps the leases which one process wants.
// It is not safe for concurrent use.
type Holder struct {
	config HolderConfig
	table  *Table
	wants  map[Name]*want

	cursor  eventlog.Offset
	lastID  string
	loading loadState
	reading bool
	// loaded is set once the table covers every lease that may be live.
	loaded   bool
	nextRead time.Time

	// acquireAfter keeps acquires back while the table is not settled.
	acquireAfter time.Time

	// flight is the append that is outstanding or not yet read back.
	flight  *flight
	appends uint64
	// sent tells when own records were sent, by id.
	sent    map[string]time.Time
	effects []Effect
}

// want is one lease that is wanted or being given back.
type want struct {
	name     Name
	fencing  Fencing
	held     bool
	until    time.Time
	released bool
	// gaveBack is the last number that a release may stand for in the log; it
	// is never relied on again, even when the lease is wanted again meanwhile.
	gaveBack Fencing
	// raise is the number that the next fencing number must exceed.
	raise   int64
	retryAt time.Time
	// otherSeen is when another's grant or renewal was last folded.
	otherSeen time.Time
}

type flight struct {
	id       string
	record   *leasepb.Record
	since    time.Time
	answered bool
}

// loadState is the window of the stream that is being loaded.
type loadState struct {
	window        eventlog.Offset
	start, oldest eventlog.Offset
	first         time.Time
}

// NewHolder returns a Holder that wants nothing.
func NewHolder(c HolderConfig) *Holder {
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	return &Holder{
		config:  c,
		table:   NewTable(c.Duration, false),
		wants:   make(map[Name]*want),
		loading: loadState{window: loadWindowRecords},
		sent:    make(map[string]time.Time),
	}
}

// Step takes one event and returns what is to be done.
func (h *Holder) Step(now time.Time, e Event) []Effect {
	h.effects = nil
	switch e := e.(type) {
	case Acquire:
		h.want(e.Name).released = false
	case Release:
		h.release(e.Name)
	case Raise:
		h.raise(e)
	case Appended:
		h.appended(now, e)
	case ReadCompleted:
		h.logAnswered(now, e)
	}
	h.expire(now)
	h.appendNext(now)
	h.readNext(now)
	return h.effects
}

// Valid returns the fencing number of a held lease, to be called right before
// the lease is relied on.
func (h *Holder) Valid(now time.Time, n Name) (Fencing, bool) {
	w := h.wants[n]
	if w == nil || !w.held || w.released || !now.Before(w.until) {
		return 0, false
	}
	return w.fencing, true
}

func (h *Holder) emit(e Effect) { h.effects = append(h.effects, e) }

func (h *Holder) want(n Name) *want {
	w := h.wants[n]
	if w == nil {
		w = &want{name: n}
		h.wants[n] = w
	}
	return w
}

func (h *Holder) release(n Name) {
	w := h.wants[n]
	if w == nil {
		return
	}
	w.released = true
	h.revoke(w)
}

func (h *Holder) raise(e Raise) {
	if w := h.wants[e.Name]; w != nil && w.held && w.fencing <= e.Above {
		w.raise = max(w.raise, int64(e.Above))
		h.revoke(w)
	}
}

func (h *Holder) revoke(w *want) {
	if w.held {
		w.held = false
		h.emit(Revoked{Name: w.name, Fencing: w.fencing})
	}
}

// expire drops what is past its time by the own clock. A lease that nobody
// took meanwhile may still be renewed.
func (h *Holder) expire(now time.Time) {
	for _, w := range h.sorted() {
		if w.held && !now.Before(w.until) {
			h.revoke(w)
		}
	}
	if f := h.flight; f != nil && now.Sub(f.since) >= uncertainWait {
		h.flight = nil
	}
	for id, at := range h.sent {
		if now.Sub(at) > 2*h.config.Duration {
			delete(h.sent, id)
		}
	}
}

func (h *Holder) sorted() []*want {
	all := make([]*want, 0, len(h.wants))
	for _, w := range h.wants {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// mine tells whether the table names this process as the holder.
func (h *Holder) mine(w *want) bool {
	e, ok := h.table.Get(w.name)
	return ok && e.Holder == h.config.Process && !e.Released && h.table.now.Before(e.Expires)
}

func (h *Holder) appendNext(now time.Time) {
	if !h.loaded || h.flight != nil {
		return
	}
	var releases, renewals, acquires []*want
	for _, w := range h.sorted() {
		mine := h.mine(w)
		switch {
		case now.Before(w.retryAt):
		case w.released && !mine:
			delete(h.wants, w.name)
		case w.released || mine && h.mustGiveBack(w):
			releases = append(releases, w)
		case mine && now.After(w.until.Add(-h.validity()*(renewPart-1)/renewPart)):
			renewals = append(renewals, w)
		case !mine && h.seemsFree(now, w):
			acquires = append(acquires, w)
		}
	}
	switch {
	case len(releases) > 0:
		h.append(now, leasepb.Kind_KIND_RELEASE, releases)
	case len(renewals) > 0:
		h.append(now, leasepb.Kind_KIND_RENEW, renewals)
	case len(acquires) > 0:
		h.append(now, leasepb.Kind_KIND_ACQUIRE, acquires)
	}
}

// mustGiveBack tells whether the number held in the log may not be used.
func (h *Holder) mustGiveBack(w *want) bool {
	e, _ := h.table.Get(w.name)
	return e.Fencing <= w.gaveBack || w.raise >= int64(e.Fencing)
}

// seemsFree tells whether asking for a lease is worth an append.
func (h *Holder) seemsFree(now time.Time, w *want) bool {
	if now.Before(h.acquireAfter) {
		return false
	}
	e, ok := h.table.Get(w.name)
	if !ok || e.Released {
		return true
	}
	if w.otherSeen.IsZero() {
		w.otherSeen = now
	}
	return now.Sub(w.otherSeen) >= e.Duration
}

// validity is how long the holder itself relies on a lease.
func (h *Holder) validity() time.Duration {
	return time.Duration(float64(h.config.Duration) * (1 - clockSlack))
}

func (h *Holder) append(now time.Time, kind leasepb.Kind, wants []*want) {
	h.appends++
	r := &leasepb.Record{
		Kind: kind, Holder: h.config.Process, DurationNano: int64(h.config.Duration),
		Id: fmt.Sprintf("%s/%d", h.config.Process, h.appends), Base: int64(h.table.Last()),
	}
	for _, w := range wants {
		w.retryAt = now.Add(retryPause)
		r.Names = append(r.Names, string(w.name))
		if kind == leasepb.Kind_KIND_ACQUIRE {
			r.Base = max(r.Base, w.raise)
			continue
		}
		e, _ := h.table.Get(w.name)
		r.Fencing = append(r.Fencing, int64(e.Fencing))
		if kind == leasepb.Kind_KIND_RELEASE {
			w.gaveBack = e.Fencing
		}
	}
	if kind == leasepb.Kind_KIND_ACQUIRE {
		r.Base = leastNumber(now, r)
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return
	}
	h.flight = &flight{id: r.Id, record: r, since: now}
	h.sent[r.Id] = now
	h.emit(AppendRecord{ID: r.Id, Data: data})
}

// numberBits are the low bits of a fencing number that tell writers apart
// which know the same numbers of a log that was lost.
const numberBits = 10

// leastNumber returns the least fencing number for an acquire: above all that
// the writer knows, and above those of a log that was lost, as it begins with
// the time in milliseconds.
func leastNumber(now time.Time, r *leasepb.Record) int64 {
	low := int64(xxhash.Sum64String(r.Id) & (1<<numberBits - 1))
	return max(r.Base+1+low, now.UnixMilli()<<numberBits|low)
}

func (h *Holder) appended(now time.Time, e Appended) {
	if h.flight == nil || h.flight.id != e.ID {
		return
	}
	if errors.Is(e.Err, eventlog.ErrUnavailable) {
		h.flight = nil
		return
	}
	h.flight.answered = true
	h.nextRead = now
}

// granted takes the leases that an own record gave or prolonged.
func (h *Holder) granted(now time.Time, id string, grants []granted) {
	if !h.loaded {
		// What a load shows is not final; a renewal follows it.
		return
	}
	sentAt := h.sent[id]
	for _, g := range grants {
		w := h.wants[g.name]
		if w == nil || w.released || g.fencing <= w.gaveBack {
			continue
		}
		until := sentAt.Add(h.validity())
		if sentAt.IsZero() || !now.Before(until) {
			continue
		}
		isNew := !w.held
		w.held, w.fencing, w.until = true, g.fencing, until
		w.retryAt = time.Time{}
		if int64(g.fencing) > w.raise {
			w.raise = 0
		}
		if isNew {
			h.emit(Granted{Grant: h.grantOf(now, w, g)})
		}
	}
}

func (h *Holder) grantOf(now time.Time, w *want, g granted) Grant {
	grant := Grant{Name: w.name, Fencing: w.fencing, Until: w.until}
	if g.displaced > 0 {
		grant.DisplacedUntil = now.Add(g.displaced)
	}
	return grant
}
