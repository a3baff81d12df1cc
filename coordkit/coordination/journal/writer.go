package journal

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	// uncertainWait is how long an append of unknown fate is looked for.
	uncertainWait = 2 * time.Second
	// submitWait is how long a record waits for its append to start.
	submitWait = 5 * time.Second
	// idlePoll is the time between reads while nothing is submitted.
	idlePoll = time.Second
	// failedPause follows a read or an append that failed.
	failedPause = 500 * time.Millisecond
	// readBackPause is the time between reads for a record not yet visible.
	readBackPause = 5 * time.Millisecond
	// carryPause is the time between looks at the open keys.
	carryPause = 10 * time.Second

	readLimitBatches = 512
	batchLimitBytes  = 128 << 10
	batchLimit       = 1000
)

const (
	invariantOneAppend   invariant.Name = "booking-one-append-outstanding"
	invariantWriterReads invariant.Name = "booking-one-read-outstanding"
)

// WriterConfig sets up a Writer.
type WriterConfig struct {
	// ID is unique over all lives of all writers; batch ids begin with it.
	ID     string
	Limits Limits
}

// Writer is the state machine of one partition's writer. Several writers of a
// partition at once do no harm: each reads back to its own record, and log
// order decides. It is not safe for concurrent use.
type Writer struct {
	config WriterConfig
	index  *Index
	// cursor is the offset of the next record to fold.
	cursor eventlog.Offset
	// lastID is the id of the batch before cursor, to notice a lost stream.
	lastID string
	// loaded is set once the end of the stream was reached.
	loaded bool
	// unreadable is set while reads of the log fail.
	unreadable bool
	// marked is set when a mark was appended to an empty stream.
	marked bool

	queue []submission
	// flight is the outstanding append, or one that waits to be read back.
	flight *flight
	// uncertain are appends of unknown fate.
	uncertain  []*flight
	batches    uint64
	nextAppend time.Time
	nextCarry  time.Time

	reading  bool
	nextRead time.Time
	effects  []WriterEffect
}

// Idle tells whether the writer has loaded its stream and nothing waits for an
// append or a read.
func (w *Writer) Idle() bool {
	return w.loaded && len(w.queue) == 0 && w.flight == nil && len(w.uncertain) == 0
}

// submission is one record on its way; token zero needs no answer.
type submission struct {
	token  uint64
	record *journalpb.Record
	since  time.Time
}

type flight struct {
	id      string
	records []submission
	// offset is zero until the append is answered.
	offset eventlog.Offset
	since  time.Time
}

// NewWriter returns a Writer that loads its index first.
func NewWriter(c WriterConfig) *Writer {
	c.Limits = c.Limits.withDefaults()
	return &Writer{config: c, index: NewIndex(c.Limits), cursor: 1}
}

// Index returns the index for reading.
func (w *Writer) Index() *Index { return w.index }

// Loaded tells whether the index has reached the end of the stream.
func (w *Writer) Loaded() bool { return w.loaded }

// Step takes one event and returns what is to be done.
func (w *Writer) Step(now time.Time, e WriterEvent) []WriterEffect {
	w.effects = nil
	switch e := e.(type) {
	case Submit:
		w.queue = append(w.queue, submission{token: e.Token, record: e.Record, since: now})
	case Appended:
		w.appended(now, e)
	case ReadCompleted:
		w.logAnswered(now, e)
	}
	w.carryOpen(now)
	w.dropOld(now)
	w.appendNext(now)
	w.readNext(now)
	return w.effects
}

func (w *Writer) emit(e WriterEffect) { w.effects = append(w.effects, e) }

func (w *Writer) decide(s submission, v Verdict) {
	if s.token == 0 {
		return
	}
	answer := Answer{Verdict: v}
	if v == VerdictTaken {
		answer.Existing = w.settled(keyOf(s.record))
	}
	w.emit(Reply{Token: s.token, Answer: answer})
}

// settled returns what others may know of a key: pending is unknown to them.
func (w *Writer) settled(k Key) KeyStatus {
	row, _ := w.index.Find(k)
	if row.Outcome == OutcomePending {
		row.Outcome = OutcomeUnknown
	}
	return KeyStatus{Outcome: row.Outcome, Winner: row.Winner, Summary: row.Summary}
}

// appendNext answers what the index can answer and appends the rest.
func (w *Writer) appendNext(now time.Time) {
	if !w.loaded || w.flight != nil || now.Before(w.nextAppend) {
		return
	}
	if !w.marked && w.index.floor.IsZero() {
		w.marked = true
		mark := &journalpb.Record{Kind: journalpb.Kind_KIND_MARK}
		w.startAppend(now, []submission{{record: mark, since: now}})
		return
	}
	if batch := w.takeBatch(now); len(batch) > 0 {
		w.startAppend(now, batch)
	}
}

func (w *Writer) takeBatch(now time.Time) []submission {
	var batch []submission
	size, taken := 0, 0
	for _, s := range w.queue {
		size += proto.Size(s.record)
		if len(batch) >= batchLimit || size > batchLimitBytes && len(batch) > 0 {
			break
		}
		taken++
		if s.record.Kind == journalpb.Kind_KIND_INTENT {
			if v, known := w.index.Precheck(now, s.record); known {
				w.decide(s, v)
				continue
			}
		}
		batch = append(batch, s)
	}
	w.queue = w.queue[taken:]
	return batch
}

func (w *Writer) startAppend(now time.Time, batch []submission) {
	invariant.Check(w.flight == nil, invariantOneAppend, "batch %d", w.batches)
	w.batches++
	p := &journalpb.Batch{Id: fmt.Sprintf("%s/%d", w.config.ID, w.batches)}
	for _, s := range batch {
		p.Records = append(p.Records, s.record)
	}
	data, err := proto.Marshal(p)
	if err != nil {
		for _, s := range batch {
			w.decide(s, VerdictUnavailable)
		}
		return
	}
	w.flight = &flight{id: p.Id, records: batch, since: now}
	w.nextAppend = now.Add(w.config.Limits.AppendInterval())
	w.emit(AppendBatch{ID: p.Id, Data: data})
}

func (w *Writer) appended(now time.Time, e Appended) {
	f := w.flight
	if f == nil || f.id != e.BatchID {
		return
	}
	switch {
	case e.Err == nil && e.Offset < w.cursor:
		// The record lies before what was read: the stream was replaced.
		w.setUncertain(now)
		w.lost()
	case e.Err == nil:
		f.offset = e.Offset
	case errors.Is(e.Err, eventlog.ErrUnavailable):
		w.flight = nil
		w.notAppended(now, f)
	default:
		w.setUncertain(now)
	}
	w.nextRead = now
}

// notAppended refuses the intents of a batch that certainly does not stand,
// and keeps the rest for later.
func (w *Writer) notAppended(now time.Time, f *flight) {
	w.nextAppend = now.Add(failedPause)
	if f.isMark() {
		w.marked = false
	}
	w.answerIntents(f, VerdictUnavailable)
	w.requeue(f)
}

func (f *flight) isMark() bool {
	return len(f.records) == 1 && f.records[0].record.Kind == journalpb.Kind_KIND_MARK
}

func (w *Writer) answerIntents(f *flight, v Verdict) {
	for _, s := range f.records {
		if s.record.Kind == journalpb.Kind_KIND_INTENT {
			w.decide(s, v)
		}
	}
}

// requeue puts everything but intents, which must not be repeated by the
// writer, before the queue. Folding such a record twice changes nothing.
func (w *Writer) requeue(f *flight) {
	var again []submission
	for _, s := range f.records {
		switch s.record.Kind {
		case journalpb.Kind_KIND_INTENT, journalpb.Kind_KIND_MARK:
		default:
			again = append(again, s)
		}
	}
	w.queue = append(again, w.queue...)
}

// setUncertain keeps a batch of unknown fate until it is read or given up.
func (w *Writer) setUncertain(now time.Time) {
	f := w.flight
	w.flight = nil
	f.since = now
	w.uncertain = append(w.uncertain, f)
	w.nextAppend = now.Add(failedPause)
}

// dropOld gives up what has waited too long.
func (w *Writer) dropOld(now time.Time) {
	if f := w.flight; f != nil && f.offset != 0 && now.Sub(f.since) >= uncertainWait {
		w.setUncertain(now)
	}
	kept := w.uncertain[:0]
	for _, f := range w.uncertain {
		if now.Sub(f.since) < uncertainWait {
			kept = append(kept, f)
			continue
		}
		if f.isMark() {
			w.marked = false
		}
		w.answerIntents(f, VerdictIndeterminate)
		w.requeue(f)
	}
	w.uncertain = kept
	queue := w.queue[:0]
	for _, s := range w.queue {
		if w.hopeless(now, s) {
			w.decide(s, VerdictUnavailable)
			continue
		}
		queue = append(queue, s)
	}
	w.queue = queue
}

// hopeless tells whether a queued record is refused: it has waited too long,
// or it asks for a key while the index cannot be loaded.
func (w *Writer) hopeless(now time.Time, s submission) bool {
	if s.record.Kind == journalpb.Kind_KIND_INTENT && !w.loaded && w.unreadable {
		return true
	}
	return s.token != 0 && now.Sub(s.since) >= submitWait
}

// carryOpen repeats the open keys long before their records expire.
func (w *Writer) carryOpen(now time.Time) {
	if !w.loaded || now.Before(w.nextCarry) {
		return
	}
	w.nextCarry = now.Add(carryPause)
	for _, r := range w.index.carries(now.Add(-w.config.Limits.Window)) {
		if !w.queued(r) {
			w.queue = append(w.queue, submission{record: r, since: now})
		}
	}
}

func (w *Writer) queued(r *journalpb.Record) bool {
	for _, s := range w.queue {
		if s.record.Kind == r.Kind && keyOf(s.record) == keyOf(r) {
			return true
		}
	}
	return false
}
