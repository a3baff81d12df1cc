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
	// DefaultDuration is the duration of a lease when HolderConfig sets none.
	DefaultDuration = 15 * time.Second
	// maxClockDrift is the fraction by which the rates of two clocks may differ.
	maxClockDrift = 0.05
	// A lease is renewed once 1/renewDivisor of its validity has passed.
	renewDivisor = 3

	requestRetryDelay = time.Second
	readBackInterval  = 10 * time.Millisecond
	idlePollInterval  = time.Second
	readRetryDelay    = 500 * time.Millisecond
	// readBackTimeout is how long an append may take to be read back before
	// it is abandoned.
	readBackTimeout = 2 * time.Second

	maxReadRecords = 512
	// loadWindowRecords is the number of records loaded at first; it grows by
	// the factor loadWindowGrowth while the table may show a wrong holder.
	loadWindowRecords = 2048
	loadWindowGrowth  = 4
)

const invariantOneRead invariant.Name = "lease-one-read-outstanding"

// HolderConfig configures a Holder.
type HolderConfig struct {
	// Process identifies this incarnation. It is unique across all incarnations
	// of all processes that share the stream.
	Process string
	// Duration must be the same on all processes that share the stream.
	Duration time.Duration
}

// Holder is the state machine that acquires, renews and releases the leases of
// one process. It is not safe for concurrent use.
type Holder struct {
	config HolderConfig
	table  *Table
	wanted map[Name]*wantedLease

	// cursor is the offset of the next record, or zero until a load starts.
	cursor       eventlog.Offset
	lastRecordID string
	loading      loadState
	reading      bool
	// loaded is set once the table covers every lease that may be live.
	loaded   bool
	nextRead time.Time

	// acquireAfter delays acquires while the table may show a wrong holder.
	acquireAfter time.Time

	// inFlight is the append that is outstanding or not yet read back.
	inFlight *pendingAppend
	appends  uint64
	// sentAt holds the times at which this process sent its records, by record
	// id.
	sentAt  map[string]time.Time
	effects []Effect
}

// wantedLease is one lease that is wanted or being released.
type wantedLease struct {
	name     Name
	fencing  Fencing
	held     bool
	until    time.Time
	released bool
	// maxReleased is the fencing number of the last release that may be in the
	// log. It is never relied on again, even if the lease is wanted again in the
	// meantime.
	maxReleased Fencing
	// raiseAbove is the number that the next fencing number must exceed.
	raiseAbove int64
	retryAt    time.Time
	// otherSeenAt is when a grant or renewal of another process was last applied.
	otherSeenAt time.Time
}

// pendingAppend is an append that is outstanding or not yet read back.
type pendingAppend struct {
	id        string
	record    *leasepb.Record
	startedAt time.Time
	completed bool
}

// loadState describes the window of the stream that is being loaded.
type loadState struct {
	window        eventlog.Offset
	start, oldest eventlog.Offset
	firstRecordAt time.Time
}

// NewHolder returns a Holder without wanted leases.
func NewHolder(c HolderConfig) *Holder {
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	return &Holder{
		config:  c,
		table:   NewTable(c.Duration, false),
		wanted:  make(map[Name]*wantedLease),
		loading: loadState{window: loadWindowRecords},
		sentAt:  make(map[string]time.Time),
	}
}

// Step processes one event and returns the effects to carry out.
func (h *Holder) Step(now time.Time, e Event) []Effect {
	h.effects = nil
	switch e := e.(type) {
	case Acquire:
		h.ensureWanted(e.Name).released = false
	case Release:
		h.release(e.Name)
	case Raise:
		h.raise(e)
	case Appended:
		h.appended(now, e)
	case ReadCompleted:
		h.readCompleted(now, e)
	}
	h.expire(now)
	h.appendNext(now)
	h.readNext(now)
	return h.effects
}

// Valid returns the fencing number of a held lease. It must be called right
// before the lease is relied on.
func (h *Holder) Valid(now time.Time, n Name) (Fencing, bool) {
	w := h.wanted[n]
	if w == nil || !w.held || w.released || !now.Before(w.until) {
		return 0, false
	}
	return w.fencing, true
}

func (h *Holder) emit(e Effect) { h.effects = append(h.effects, e) }

func (h *Holder) ensureWanted(n Name) *wantedLease {
	w := h.wanted[n]
	if w == nil {
		w = &wantedLease{name: n}
		h.wanted[n] = w
	}
	return w
}

func (h *Holder) release(n Name) {
	w := h.wanted[n]
	if w == nil {
		return
	}
	w.released = true
	h.revoke(w)
}

func (h *Holder) raise(e Raise) {
	if w := h.wanted[e.Name]; w != nil && w.held && w.fencing <= e.Above {
		w.raiseAbove = max(w.raiseAbove, int64(e.Above))
		h.revoke(w)
	}
}

func (h *Holder) revoke(w *wantedLease) {
	if w.held {
		w.held = false
		h.emit(Revoked{Name: w.name, Fencing: w.fencing})
	}
}

// expire revokes leases that have expired by the local clock and drops stale
// appends. A revoked lease that no other process has acquired may still be
// renewed.
func (h *Holder) expire(now time.Time) {
	for _, w := range h.sortedWanted() {
		if w.held && !now.Before(w.until) {
			h.revoke(w)
		}
	}
	if p := h.inFlight; p != nil && now.Sub(p.startedAt) >= readBackTimeout {
		h.inFlight = nil
	}
	for id, at := range h.sentAt {
		if now.Sub(at) > 2*h.config.Duration {
			delete(h.sentAt, id)
		}
	}
}

func (h *Holder) sortedWanted() []*wantedLease {
	all := make([]*wantedLease, 0, len(h.wanted))
	for _, w := range h.wanted {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// holdsInTable reports whether the table shows this process as the holder.
func (h *Holder) holdsInTable(w *wantedLease) bool {
	e, ok := h.table.Get(w.name)
	return ok && e.Holder == h.config.Process && !e.Released && h.table.logTime.Before(e.Expires)
}

func (h *Holder) appendNext(now time.Time) {
	if !h.loaded || h.inFlight != nil {
		return
	}
	var releases, renewals, acquires []*wantedLease
	for _, w := range h.sortedWanted() {
		holds := h.holdsInTable(w)
		switch {
		case now.Before(w.retryAt):
		case w.released && !holds:
			delete(h.wanted, w.name)
		case w.released || holds && h.mustRelease(w):
			releases = append(releases, w)
		case holds && now.After(w.until.Add(-h.localValidity()*(renewDivisor-1)/renewDivisor)):
			renewals = append(renewals, w)
		case !holds && h.mayBeFree(now, w):
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

// mustRelease reports whether the fencing number in the table must not be used,
// because it was released or is not above raiseAbove.
func (h *Holder) mustRelease(w *wantedLease) bool {
	e, _ := h.table.Get(w.name)
	return e.Fencing <= w.maxReleased || w.raiseAbove >= int64(e.Fencing)
}

// mayBeFree reports whether an acquire is allowed and likely to succeed: the
// lease is free, or another process has not renewed it for its duration.
func (h *Holder) mayBeFree(now time.Time, w *wantedLease) bool {
	if now.Before(h.acquireAfter) {
		return false
	}
	e, ok := h.table.Get(w.name)
	if !ok || e.Released {
		return true
	}
	if w.otherSeenAt.IsZero() {
		w.otherSeenAt = now
	}
	return now.Sub(w.otherSeenAt) >= e.Duration
}

// localValidity is how long the holder itself relies on a lease.
func (h *Holder) localValidity() time.Duration {
	return time.Duration(float64(h.config.Duration) * (1 - maxClockDrift))
}

func (h *Holder) append(now time.Time, kind leasepb.Kind, leases []*wantedLease) {
	h.appends++
	r := &leasepb.Record{
		Kind: kind, Holder: h.config.Process, DurationNano: int64(h.config.Duration),
		Id: fmt.Sprintf("%s/%d", h.config.Process, h.appends), Base: int64(h.table.Last()),
	}
	for _, w := range leases {
		w.retryAt = now.Add(requestRetryDelay)
		r.Names = append(r.Names, string(w.name))
		if kind == leasepb.Kind_KIND_ACQUIRE {
			r.Base = max(r.Base, w.raiseAbove)
			continue
		}
		e, _ := h.table.Get(w.name)
		r.Fencing = append(r.Fencing, int64(e.Fencing))
		if kind == leasepb.Kind_KIND_RELEASE {
			w.maxReleased = e.Fencing
		}
	}
	if kind == leasepb.Kind_KIND_ACQUIRE {
		r.Base = minFencing(now, r)
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return
	}
	h.inFlight = &pendingAppend{id: r.Id, record: r, startedAt: now}
	h.sentAt[r.Id] = now
	h.emit(AppendRecord{ID: r.Id, Data: data})
}

// writerBits is the number of low bits of a fencing number that distinguish
// writers which know the same fencing numbers of a lost log.
const writerBits = 10

// minFencing returns the lowest fencing number for an acquire. It is above all
// numbers known to the writer. Its high bits are the time in milliseconds, so it
// is also above the numbers of a lost log.
func minFencing(now time.Time, r *leasepb.Record) int64 {
	writerPart := int64(xxhash.Sum64String(r.Id) & (1<<writerBits - 1))
	return max(r.Base+1+writerPart, now.UnixMilli()<<writerBits|writerPart)
}

func (h *Holder) appended(now time.Time, e Appended) {
	if h.inFlight == nil || h.inFlight.id != e.ID {
		return
	}
	if errors.Is(e.Err, eventlog.ErrUnavailable) {
		h.inFlight = nil
		return
	}
	h.inFlight.completed = true
	h.nextRead = now
}

// acceptGrants updates the leases that a record of this process granted or
// renewed.
func (h *Holder) acceptGrants(now time.Time, id string, grants []tableGrant) {
	if !h.loaded {
		// Grants seen during a load are not final; a renewal follows the load.
		return
	}
	sentAt := h.sentAt[id]
	for _, g := range grants {
		w := h.wanted[g.name]
		if w == nil || w.released || g.fencing <= w.maxReleased {
			continue
		}
		until := sentAt.Add(h.localValidity())
		if sentAt.IsZero() || !now.Before(until) {
			continue
		}
		isNew := !w.held
		w.held, w.fencing, w.until = true, g.fencing, until
		w.retryAt = time.Time{}
		if int64(g.fencing) > w.raiseAbove {
			w.raiseAbove = 0
		}
		if isNew {
			h.emit(Granted{Grant: h.newGrant(now, w, g)})
		}
	}
}

func (h *Holder) newGrant(now time.Time, w *wantedLease, g tableGrant) Grant {
	grant := Grant{Name: w.name, Fencing: w.fencing, Until: w.until}
	if g.displacedFor > 0 {
		grant.DisplacedUntil = now.Add(g.displacedFor)
	}
	return grant
}
