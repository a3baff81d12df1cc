package journal

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/journalpb"
)

const invariantOneWinner invariant.Name = "booking-one-winner-at-a-time"

// Verdict tells what the fold made of one record.
type Verdict int32

// The verdicts.
const (
	// VerdictWon: the intent's attempt holds the key.
	VerdictWon Verdict = iota + 1
	// VerdictTaken: another attempt holds or settled the key.
	VerdictTaken
	// VerdictRecorded: the outcome, void or resolution stands.
	VerdictRecorded
	// VerdictExpired: the key is older than the window or the kept records.
	VerdictExpired
	// VerdictFuture: the issue time lies too far ahead.
	VerdictFuture
	// VerdictDead: the attempt was voided or ended before.
	VerdictDead
	// VerdictNotOpen: there is nothing to settle.
	VerdictNotOpen
	// VerdictTooEarly: the winner may still send.
	VerdictTooEarly
	// VerdictFull: the index has no place; nothing was appended.
	VerdictFull
	// VerdictUnavailable: nothing was appended.
	VerdictUnavailable
	// VerdictIndeterminate: the record may stand or not.
	VerdictIndeterminate
)

// Index is the fold of one partition's stream: the keys of the window, and the
// open ones for ever. It is not safe for concurrent use.
type Index struct {
	limits  Limits
	entries map[Key]*entry
	// expiry orders the entries by forgetAt.
	expiry expiryHeap
	// open are the entries whose winner has no outcome.
	open map[Key]*entry
	// now is the latest time of a record folded; it never falls.
	now time.Time
	// floor is the time of the first record folded: keys issued before it may
	// have had records that are gone.
	floor time.Time
}

// entry is what is known of one key.
type entry struct {
	key     Key
	winner  AttemptID
	outcome Outcome
	issued  time.Time
	sendBy  time.Time
	changed time.Time
	summary []byte
	// operator is set when the outcome came from a resolution.
	operator string
	// dead are the attempts that can never win the key again.
	dead []AttemptID
	// forgetAt is when the entry may be dropped, unless it is open.
	forgetAt time.Time
}

// open tells whether a winner has no outcome.
func (e *entry) open() bool {
	return e.winner != "" && (e.outcome == OutcomePending || e.outcome == OutcomeUnknown)
}

// NewIndex returns an empty Index.
func NewIndex(l Limits) *Index {
	return &Index{limits: l.withDefaults(), entries: make(map[Key]*entry), open: make(map[Key]*entry)}
}

// Len returns the number of keys.
func (x *Index) Len() int { return len(x.entries) }

// Open returns the number of keys whose winner has no outcome.
func (x *Index) Open() int { return len(x.open) }

// Fold applies one record accepted by the log service at the given time.
func (x *Index) Fold(at time.Time, r *journalpb.Record) Verdict {
	if x.floor.IsZero() {
		x.floor = at
	}
	if at.After(x.now) {
		x.now = at
	}
	v := x.fold(r)
	x.noteOpen(keyOf(r))
	x.forget()
	return v
}

func (x *Index) noteOpen(k Key) {
	if e := x.entries[k]; e != nil && e.open() {
		x.open[k] = e
		return
	}
	delete(x.open, k)
}

func (x *Index) fold(r *journalpb.Record) Verdict {
	switch r.Kind {
	case journalpb.Kind_KIND_INTENT:
		return x.foldIntent(r)
	case journalpb.Kind_KIND_OUTCOME:
		return x.foldOutcome(r)
	case journalpb.Kind_KIND_VOID:
		return x.foldVoid(r)
	case journalpb.Kind_KIND_RESOLVE:
		return x.foldResolve(r)
	case journalpb.Kind_KIND_CARRY:
		return x.foldCarry(r)
	default:
		return VerdictRecorded
	}
}

// Precheck tells what an intent would get now, without a record; it returns
// false when only the log can tell.
func (x *Index) Precheck(now time.Time, r *journalpb.Record) (Verdict, bool) {
	if e := x.entries[keyOf(r)]; e != nil && e.winner != "" {
		if e.winner == AttemptID(r.Attempt) && e.outcome == OutcomePending {
			return VerdictWon, true
		}
		return VerdictTaken, true
	}
	if v := x.judgeIssue(now, timeOf(r.IssuedUnixNano)); v != 0 {
		return v, true
	}
	if len(x.entries) >= x.limits.MaxKeys {
		return VerdictFull, true
	}
	return 0, false
}

// judgeIssue returns why an issue time is not accepted at now, or zero.
func (x *Index) judgeIssue(now, issued time.Time) Verdict {
	switch {
	case issued.Add(x.limits.Window).Before(now):
		return VerdictExpired
	case !x.floor.IsZero() && !issued.After(x.floor.Add(x.limits.MaxFuture)):
		// A record of this key may have stood before the first kept one.
		return VerdictExpired
	case issued.After(now.Add(x.limits.MaxFuture)):
		return VerdictFuture
	}
	return 0
}

func (x *Index) foldIntent(r *journalpb.Record) Verdict {
	attempt := AttemptID(r.Attempt)
	e := x.entries[keyOf(r)]
	if e != nil && e.winner != "" {
		if e.winner == attempt && e.outcome == OutcomePending {
			return VerdictWon
		}
		return VerdictTaken
	}
	if e != nil && slices.Contains(e.dead, attempt) {
		return VerdictDead
	}
	if v := x.judgeIssue(x.now, timeOf(r.IssuedUnixNano)); v != 0 {
		return v
	}
	if e == nil {
		e = x.insert(r)
	}
	invariant.Check(e.winner == "", invariantOneWinner, "%s has winner %s, offered %s", e.key, e.winner, attempt)
	e.winner, e.outcome, e.operator, e.summary = attempt, OutcomePending, "", nil
	e.sendBy, e.changed = timeOf(r.SendByUnixNano), x.now
	return VerdictWon
}

func (x *Index) insert(r *journalpb.Record) *entry {
	issued := timeOf(r.IssuedUnixNano)
	e := &entry{key: keyOf(r), issued: issued, changed: x.now, forgetAt: issued.Add(x.limits.Window)}
	x.entries[e.key] = e
	heap.Push(&x.expiry, e)
	return e
}

// free lets other attempts win the key.
func (e *entry) free() {
	e.dead = append(e.dead, e.winner)
	e.winner, e.outcome, e.summary = "", OutcomePending, nil
}

func (x *Index) foldOutcome(r *journalpb.Record) Verdict {
	e := x.entries[keyOf(r)]
	attempt := AttemptID(r.Attempt)
	if e == nil {
		// The intent's record is gone; its outcome still tells of the key.
		e = x.insert(r)
		e.winner = attempt
	}
	outcome := Outcome(r.Outcome)
	if outcome == OutcomeNotRun && slices.Contains(e.dead, attempt) ||
		e.winner == attempt && e.outcome == outcome && e.operator == "" {
		return VerdictRecorded
	}
	if e.winner != attempt || !e.open() {
		return VerdictNotOpen
	}
	x.settle(e, outcome, r.Summary, "")
	return VerdictRecorded
}

func (x *Index) settle(e *entry, o Outcome, summary []byte, operator string) {
	e.changed = x.now
	if o == OutcomeNotRun {
		e.free()
		return
	}
	e.outcome, e.summary, e.operator = o, summary, operator
}

func (x *Index) foldVoid(r *journalpb.Record) Verdict {
	attempt := AttemptID(r.Attempt)
	e := x.entries[keyOf(r)]
	if e == nil {
		e = x.insert(r)
	}
	if e.winner == attempt && e.open() {
		e.changed = x.now
		e.free()
		return VerdictRecorded
	}
	if e.winner != attempt && !slices.Contains(e.dead, attempt) {
		e.dead = append(e.dead, attempt)
	}
	return VerdictRecorded
}

func (x *Index) foldResolve(r *journalpb.Record) Verdict {
	e := x.entries[keyOf(r)]
	if e == nil || !e.open() || e.winner != AttemptID(r.Attempt) {
		return VerdictNotOpen
	}
	// The operator must have decided after the last moment to send, too: a
	// resolution may be long on its way.
	may := e.sendBy.Add(x.limits.ResolveMargin)
	if !x.now.After(may) || !timeOf(r.IssuedUnixNano).After(may) {
		return VerdictTooEarly
	}
	x.settle(e, Outcome(r.Outcome), r.Summary, r.Operator)
	return VerdictRecorded
}

// foldCarry repeats an open key; it never changes what is known of one.
func (x *Index) foldCarry(r *journalpb.Record) Verdict {
	e := x.entries[keyOf(r)]
	if e == nil {
		e = x.insert(r)
		e.winner, e.outcome = AttemptID(r.Attempt), Outcome(r.Outcome)
		e.sendBy = timeOf(r.SendByUnixNano)
	}
	if e.open() && e.winner == AttemptID(r.Attempt) {
		e.changed = x.now
	}
	return VerdictRecorded
}

// forget drops keys that are past the window, but never open ones.
func (x *Index) forget() {
	for len(x.expiry) > 0 {
		e := x.expiry[0]
		if !e.forgetAt.Before(x.now) {
			return
		}
		if e.open() {
			e.forgetAt = x.now.Add(x.limits.Window)
			heap.Fix(&x.expiry, 0)
			continue
		}
		heap.Pop(&x.expiry)
		delete(x.entries, e.key)
	}
}

// Find returns the row of a key.
func (x *Index) Find(k Key) (Row, bool) {
	e := x.entries[k]
	if e == nil || e.winner == "" {
		return Row{}, false
	}
	return e.row(), true
}

func (e *entry) row() Row {
	return Row{
		Key: e.key, Winner: e.winner, Outcome: e.outcome, Issued: e.issued, SendBy: e.sendBy,
		Changed: e.changed, Summary: e.summary, Operator: e.operator,
	}
}

// Rows returns the held keys of a namespace, or of all when it is empty,
// oldest change first, at most limit.
func (x *Index) Rows(namespace string, openOnly bool, limit int) []Row {
	var rows []Row
	held := x.entries
	if openOnly {
		held = x.open
	}
	for _, e := range held {
		if e.winner == "" || namespace != "" && namespace != e.key.Namespace {
			continue
		}
		rows = append(rows, e.row())
	}
	sort.Slice(rows, func(i, j int) bool {
		if !rows[i].Changed.Equal(rows[j].Changed) {
			return rows[i].Changed.Before(rows[j].Changed)
		}
		return rows[i].Key.String() < rows[j].Key.String()
	})
	return rows[:min(limit, len(rows))]
}

// carries returns records that repeat the open keys last changed before a time.
func (x *Index) carries(before time.Time) []*journalpb.Record {
	var records []*journalpb.Record
	for _, row := range x.Rows("", true, len(x.entries)) {
		if !row.Changed.Before(before) {
			break
		}
		r := record(journalpb.Kind_KIND_CARRY, row.Key, row.Winner)
		r.IssuedUnixNano, r.SendByUnixNano = row.Issued.UnixNano(), row.SendBy.UnixNano()
		r.Outcome = journalpb.Outcome(row.Outcome)
		records = append(records, r)
	}
	return records
}

// expiryHeap is a min-heap of entries by forgetAt.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].forgetAt.Before(h[j].forgetAt) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(v any) {
	*h = append(*h, v.(*entry))
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
