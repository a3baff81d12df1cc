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

// Verdict is the result of applying one record.
type Verdict int32

// The verdicts.
const (
	// VerdictWon: the intent's attempt has won the key.
	VerdictWon Verdict = iota + 1
	// VerdictTaken: another attempt has won the key.
	VerdictTaken
	// VerdictRecorded: the outcome, void or resolution is applied.
	VerdictRecorded
	// VerdictExpired: the key is older than the window or the retained records.
	VerdictExpired
	// VerdictIssuedInFuture: the issue time is too far in the future.
	VerdictIssuedInFuture
	// VerdictVoided: the attempt was voided or ended earlier.
	VerdictVoided
	// VerdictNotOpen: the attempt does not hold an open key.
	VerdictNotOpen
	// VerdictTooEarly: the winner may still send.
	VerdictTooEarly
	// VerdictFull: the index is full; nothing was appended.
	VerdictFull
	// VerdictUnavailable: nothing was appended.
	VerdictUnavailable
	// VerdictIndeterminate: the record may or may not have been appended.
	VerdictIndeterminate
)

// Index is the state that results from applying one partition's stream. It holds
// the keys of the deduplication window and, without a time limit, the open
// keys. It is not safe for concurrent use.
type Index struct {
	limits  Limits
	entries map[Key]*entry
	// expiry orders the entries by expiresAt.
	expiry expiryHeap
	// open holds the entries whose winner has no outcome.
	open map[Key]*entry
	// logTime is the latest log time of the applied records; it never decreases.
	logTime time.Time
	// firstRecordAt is the time of the first applied record. Records of keys
	// issued before it may have been lost or have expired.
	firstRecordAt time.Time
}

// entry is the state of one key.
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
	// voided lists the attempts that can no longer win the key.
	voided []AttemptID
	// expiresAt is when the entry may be evicted, unless it is open.
	expiresAt time.Time
}

// isOpen reports whether the key has a winner without a final outcome.
func (e *entry) isOpen() bool {
	return e.winner != "" && (e.outcome == OutcomePending || e.outcome == OutcomeUnknown)
}

// NewIndex returns an empty Index.
func NewIndex(l Limits) *Index {
	return &Index{limits: l.withDefaults(), entries: make(map[Key]*entry), open: make(map[Key]*entry)}
}

// Len returns the number of keys.
func (x *Index) Len() int { return len(x.entries) }

// OpenLen returns the number of keys whose winner has no outcome.
func (x *Index) OpenLen() int { return len(x.open) }

// Apply applies one record that the log service accepted at the given time.
func (x *Index) Apply(at time.Time, r *journalpb.Record) Verdict {
	if x.firstRecordAt.IsZero() {
		x.firstRecordAt = at
	}
	if at.After(x.logTime) {
		x.logTime = at
	}
	v := x.applyRecord(r)
	x.updateOpen(keyOf(r))
	x.evictExpired()
	return v
}

func (x *Index) updateOpen(k Key) {
	if e := x.entries[k]; e != nil && e.isOpen() {
		x.open[k] = e
		return
	}
	delete(x.open, k)
}

func (x *Index) applyRecord(r *journalpb.Record) Verdict {
	switch r.Kind {
	case journalpb.Kind_KIND_INTENT:
		return x.applyIntent(r)
	case journalpb.Kind_KIND_OUTCOME:
		return x.applyOutcome(r)
	case journalpb.Kind_KIND_VOID:
		return x.applyVoid(r)
	case journalpb.Kind_KIND_RESOLVE:
		return x.applyResolve(r)
	case journalpb.Kind_KIND_CARRY:
		return x.applyCarry(r)
	default:
		return VerdictRecorded
	}
}

// Precheck returns the verdict on an intent when the index alone decides it. It
// returns false when the intent must be appended to the log.
func (x *Index) Precheck(now time.Time, r *journalpb.Record) (Verdict, bool) {
	if e := x.entries[keyOf(r)]; e != nil && e.winner != "" {
		if e.winner == AttemptID(r.Attempt) && e.outcome == OutcomePending {
			return VerdictWon, true
		}
		return VerdictTaken, true
	}
	if v := x.checkIssueTime(now, timeOf(r.IssuedUnixNano)); v != 0 {
		return v, true
	}
	if len(x.entries) >= x.limits.MaxKeys {
		return VerdictFull, true
	}
	return 0, false
}

// checkIssueTime returns why an issue time is rejected at now, or zero.
func (x *Index) checkIssueTime(now, issued time.Time) Verdict {
	switch {
	case issued.Add(x.limits.Window).Before(now):
		return VerdictExpired
	case !x.firstRecordAt.IsZero() && !issued.After(x.firstRecordAt.Add(x.limits.MaxFuture)):
		// A record of this key may have preceded the first retained record.
		return VerdictExpired
	case issued.After(now.Add(x.limits.MaxFuture)):
		return VerdictIssuedInFuture
	}
	return 0
}

func (x *Index) applyIntent(r *journalpb.Record) Verdict {
	attempt := AttemptID(r.Attempt)
	e := x.entries[keyOf(r)]
	if e != nil && e.winner != "" {
		if e.winner == attempt && e.outcome == OutcomePending {
			return VerdictWon
		}
		return VerdictTaken
	}
	if e != nil && slices.Contains(e.voided, attempt) {
		return VerdictVoided
	}
	if v := x.checkIssueTime(x.logTime, timeOf(r.IssuedUnixNano)); v != 0 {
		return v
	}
	if e == nil {
		e = x.insert(r)
	}
	invariant.Check(e.winner == "", invariantOneWinner, "%s has winner %s, offered %s", e.key, e.winner, attempt)
	e.winner, e.outcome, e.operator, e.summary = attempt, OutcomePending, "", nil
	e.sendBy, e.changed = timeOf(r.SendByUnixNano), x.logTime
	return VerdictWon
}

func (x *Index) insert(r *journalpb.Record) *entry {
	issued := timeOf(r.IssuedUnixNano)
	e := &entry{key: keyOf(r), issued: issued, changed: x.logTime, expiresAt: issued.Add(x.limits.Window)}
	x.entries[e.key] = e
	heap.Push(&x.expiry, e)
	return e
}

// free voids the winner and lets other attempts win the key.
func (e *entry) free() {
	e.voided = append(e.voided, e.winner)
	e.winner, e.outcome, e.summary = "", OutcomePending, nil
}

func (x *Index) applyOutcome(r *journalpb.Record) Verdict {
	e := x.entries[keyOf(r)]
	attempt := AttemptID(r.Attempt)
	if e == nil {
		// The intent's record has expired or was lost; the outcome still shows
		// that the key was won.
		e = x.insert(r)
		e.winner = attempt
	}
	outcome := Outcome(r.Outcome)
	if outcome == OutcomeNotRun && slices.Contains(e.voided, attempt) ||
		e.winner == attempt && e.outcome == outcome && e.operator == "" {
		return VerdictRecorded
	}
	if e.winner != attempt || !e.isOpen() {
		return VerdictNotOpen
	}
	x.settle(e, outcome, r.Summary, "")
	return VerdictRecorded
}

func (x *Index) settle(e *entry, o Outcome, summary []byte, operator string) {
	e.changed = x.logTime
	if o == OutcomeNotRun {
		e.free()
		return
	}
	e.outcome, e.summary, e.operator = o, summary, operator
}

func (x *Index) applyVoid(r *journalpb.Record) Verdict {
	attempt := AttemptID(r.Attempt)
	e := x.entries[keyOf(r)]
	if e == nil {
		e = x.insert(r)
	}
	if e.winner == attempt && e.isOpen() {
		e.changed = x.logTime
		e.free()
		return VerdictRecorded
	}
	if e.winner != attempt && !slices.Contains(e.voided, attempt) {
		e.voided = append(e.voided, attempt)
	}
	return VerdictRecorded
}

func (x *Index) applyResolve(r *journalpb.Record) Verdict {
	e := x.entries[keyOf(r)]
	if e == nil || !e.isOpen() || e.winner != AttemptID(r.Attempt) {
		return VerdictNotOpen
	}
	// A resolution may be delayed before it is appended, so the operator's
	// decision must also be later than this time.
	resolvableAfter := e.sendBy.Add(x.limits.ResolveMargin)
	if !x.logTime.After(resolvableAfter) || !timeOf(r.IssuedUnixNano).After(resolvableAfter) {
		return VerdictTooEarly
	}
	x.settle(e, Outcome(r.Outcome), r.Summary, r.Operator)
	return VerdictRecorded
}

// applyCarry applies a repeated record of an open key. It never changes the
// winner or outcome of a known key.
func (x *Index) applyCarry(r *journalpb.Record) Verdict {
	e := x.entries[keyOf(r)]
	if e == nil {
		e = x.insert(r)
		e.winner, e.outcome = AttemptID(r.Attempt), Outcome(r.Outcome)
		e.sendBy = timeOf(r.SendByUnixNano)
	}
	if e.isOpen() && e.winner == AttemptID(r.Attempt) {
		e.changed = x.logTime
	}
	return VerdictRecorded
}

// evictExpired evicts keys past the window, except open keys.
func (x *Index) evictExpired() {
	for len(x.expiry) > 0 {
		e := x.expiry[0]
		if !e.expiresAt.Before(x.logTime) {
			return
		}
		if e.isOpen() {
			e.expiresAt = x.logTime.Add(x.limits.Window)
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

// Rows returns up to limit keys that have a winner, least recently changed
// first. An empty namespace selects all namespaces.
func (x *Index) Rows(namespace string, openOnly bool, limit int) []Row {
	var rows []Row
	entries := x.entries
	if openOnly {
		entries = x.open
	}
	for _, e := range entries {
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

// carryRecords returns records that repeat the open keys last changed before a
// time.
func (x *Index) carryRecords(before time.Time) []*journalpb.Record {
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

// expiryHeap is a min-heap of entries by expiresAt.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

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
