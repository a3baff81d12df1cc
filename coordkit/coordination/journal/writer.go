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
	// readBackTimeout is how long a read of the log may take to show an
	// append that was acknowledged or whose result is unknown.
	readBackTimeout = 2 * time.Second
	// queueTimeout is how long a record may be queued before its append starts.
	queueTimeout = 5 * time.Second
	// idlePollInterval is the time between reads while no append is outstanding.
	idlePollInterval = time.Second
	// retryDelay is the delay after a failed read or append.
	retryDelay = 500 * time.Millisecond
	// readBackInterval is the time between reads for an append that is not
	// visible yet.
	readBackInterval = 5 * time.Millisecond
	// carryInterval is the time between checks of the open keys.
	carryInterval = 10 * time.Second

	maxReadBatches  = 512
	maxBatchBytes   = 128 << 10
	maxBatchRecords = 1000
)

const (
	invariantOneAppend invariant.Name = "booking-one-append-outstanding"
	invariantOneRead   invariant.Name = "booking-one-read-outstanding"
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	// ID is unique across all writers of all incarnations; batch ids start with
	// it.
	ID     string
	Limits Limits
}

// Writer is the state machine of one partition's writer. Several concurrent
// writers of a partition are safe: each reads the log up to its own record
// before it answers, and log order decides. It is not safe for concurrent use.
type Writer struct {
	config WriterConfig
	index  *Index
	// cursor is the offset of the next record to apply.
	cursor eventlog.Offset
	// lastBatchID is the id of the batch before cursor, to detect a replaced
	// stream.
	lastBatchID string
	// loaded is set once the end of the stream is reached.
	loaded bool
	// readsFail is set while reads of the log fail.
	readsFail bool
	// markAppended is set when a mark was appended to an empty stream.
	markAppended bool

	queue []submission
	// inFlight is the append that is outstanding or not yet read back.
	inFlight *pendingAppend
	// indeterminate holds the appends whose result is unknown.
	indeterminate []*pendingAppend
	batchCount    uint64
	nextAppend    time.Time
	nextCarry     time.Time

	reading  bool
	nextRead time.Time
	effects  []WriterEffect
}

// Idle reports whether the stream is loaded and no record is queued, outstanding
// or waiting to be read back.
func (w *Writer) Idle() bool {
	return w.loaded && len(w.queue) == 0 && w.inFlight == nil && len(w.indeterminate) == 0
}

// submission is one record to append; token zero needs no answer.
type submission struct {
	token    uint64
	record   *journalpb.Record
	queuedAt time.Time
}

// pendingAppend is an append that is outstanding or not yet read back.
type pendingAppend struct {
	id      string
	records []submission
	// offset is zero until the append is acknowledged.
	offset    eventlog.Offset
	startedAt time.Time
}

// NewWriter returns a Writer that has not loaded its index yet.
func NewWriter(c WriterConfig) *Writer {
	c.Limits = c.Limits.withDefaults()
	return &Writer{config: c, index: NewIndex(c.Limits), cursor: 1}
}

// Index returns the index; callers must not change it.
func (w *Writer) Index() *Index { return w.index }

// Loaded reports whether the index has reached the end of the stream.
func (w *Writer) Loaded() bool { return w.loaded }

// Step processes one event and returns the effects to carry out.
func (w *Writer) Step(now time.Time, e WriterEvent) []WriterEffect {
	w.effects = nil
	switch e := e.(type) {
	case Submit:
		w.queue = append(w.queue, submission{token: e.Token, record: e.Record, queuedAt: now})
	case Appended:
		w.appended(now, e)
	case ReadCompleted:
		w.readCompleted(now, e)
	}
	w.queueCarryRecords(now)
	w.dropTimedOut(now)
	w.appendNext(now)
	w.readNext(now)
	return w.effects
}

func (w *Writer) emit(e WriterEffect) { w.effects = append(w.effects, e) }

func (w *Writer) reply(s submission, v Verdict) {
	if s.token == 0 {
		return
	}
	answer := Answer{Verdict: v}
	if v == VerdictTaken {
		answer.Existing = w.keyStatus(keyOf(s.record))
	}
	w.emit(Reply{Token: s.token, Answer: answer})
}

// keyStatus returns the state of a key for attempts other than the winner, which
// see a pending outcome as unknown.
func (w *Writer) keyStatus(k Key) KeyStatus {
	row, _ := w.index.Find(k)
	if row.Outcome == OutcomePending {
		row.Outcome = OutcomeUnknown
	}
	return KeyStatus{Outcome: row.Outcome, Winner: row.Winner, Summary: row.Summary}
}

// appendNext replies to the queued intents that the index alone decides, and
// appends the other records.
func (w *Writer) appendNext(now time.Time) {
	if !w.loaded || w.inFlight != nil || now.Before(w.nextAppend) {
		return
	}
	if !w.markAppended && w.index.firstRecordAt.IsZero() {
		w.markAppended = true
		mark := &journalpb.Record{Kind: journalpb.Kind_KIND_MARK}
		w.startAppend(now, []submission{{record: mark, queuedAt: now}})
		return
	}
	if batch := w.takeBatch(now); len(batch) > 0 {
		w.startAppend(now, batch)
	}
}

func (w *Writer) takeBatch(now time.Time) []submission {
	var batch []submission
	size, consumed := 0, 0
	for _, s := range w.queue {
		size += proto.Size(s.record)
		if len(batch) >= maxBatchRecords || size > maxBatchBytes && len(batch) > 0 {
			break
		}
		consumed++
		if s.record.Kind == journalpb.Kind_KIND_INTENT {
			if v, decided := w.index.Precheck(now, s.record); decided {
				w.reply(s, v)
				continue
			}
		}
		batch = append(batch, s)
	}
	w.queue = w.queue[consumed:]
	return batch
}

func (w *Writer) startAppend(now time.Time, batch []submission) {
	invariant.Check(w.inFlight == nil, invariantOneAppend, "batch %d", w.batchCount)
	w.batchCount++
	encoded := &journalpb.Batch{Id: fmt.Sprintf("%s/%d", w.config.ID, w.batchCount)}
	for _, s := range batch {
		encoded.Records = append(encoded.Records, s.record)
	}
	data, err := proto.Marshal(encoded)
	if err != nil {
		for _, s := range batch {
			w.reply(s, VerdictUnavailable)
		}
		return
	}
	w.inFlight = &pendingAppend{id: encoded.Id, records: batch, startedAt: now}
	w.nextAppend = now.Add(w.config.Limits.AppendInterval())
	w.emit(AppendBatch{ID: encoded.Id, Data: data})
}

func (w *Writer) appended(now time.Time, e Appended) {
	p := w.inFlight
	if p == nil || p.id != e.BatchID {
		return
	}
	switch {
	case e.Err == nil && e.Offset < w.cursor:
		// The offset was read before the append: the stream was replaced.
		w.markIndeterminate(now)
		w.streamLost()
	case e.Err == nil:
		p.offset = e.Offset
	case errors.Is(e.Err, eventlog.ErrUnavailable):
		w.inFlight = nil
		w.notAppended(now, p)
	default:
		w.markIndeterminate(now)
	}
	w.nextRead = now
}

// notAppended rejects the intents of a batch that was certainly not appended and
// queues its other records again.
func (w *Writer) notAppended(now time.Time, p *pendingAppend) {
	w.nextAppend = now.Add(retryDelay)
	if p.isMark() {
		w.markAppended = false
	}
	w.answerIntents(p, VerdictUnavailable)
	w.requeue(p)
}

func (p *pendingAppend) isMark() bool {
	return len(p.records) == 1 && p.records[0].record.Kind == journalpb.Kind_KIND_MARK
}

func (w *Writer) answerIntents(p *pendingAppend, v Verdict) {
	for _, s := range p.records {
		if s.record.Kind == journalpb.Kind_KIND_INTENT {
			w.reply(s, v)
		}
	}
}

// requeue puts the records of a batch at the head of the queue, except intents,
// which the writer must not repeat, and marks, which appendNext creates again if
// needed. Applying any of the others twice has the same result as once.
func (w *Writer) requeue(p *pendingAppend) {
	var retry []submission
	for _, s := range p.records {
		switch s.record.Kind {
		case journalpb.Kind_KIND_INTENT, journalpb.Kind_KIND_MARK:
		default:
			retry = append(retry, s)
		}
	}
	w.queue = append(retry, w.queue...)
}

// markIndeterminate moves the append in flight to the indeterminate appends,
// where it stays until it is read back or times out.
func (w *Writer) markIndeterminate(now time.Time) {
	p := w.inFlight
	w.inFlight = nil
	p.startedAt = now
	w.indeterminate = append(w.indeterminate, p)
	w.nextAppend = now.Add(retryDelay)
}

// dropTimedOut drops indeterminate appends and queued records that have timed
// out.
func (w *Writer) dropTimedOut(now time.Time) {
	if p := w.inFlight; p != nil && p.offset != 0 && now.Sub(p.startedAt) >= readBackTimeout {
		w.markIndeterminate(now)
	}
	remaining := w.indeterminate[:0]
	for _, p := range w.indeterminate {
		if now.Sub(p.startedAt) < readBackTimeout {
			remaining = append(remaining, p)
			continue
		}
		if p.isMark() {
			w.markAppended = false
		}
		w.answerIntents(p, VerdictIndeterminate)
		w.requeue(p)
	}
	w.indeterminate = remaining
	queue := w.queue[:0]
	for _, s := range w.queue {
		if w.shouldReject(now, s) {
			w.reply(s, VerdictUnavailable)
			continue
		}
		queue = append(queue, s)
	}
	w.queue = queue
}

// shouldReject reports whether a queued record is rejected: it has timed out, or
// it is an intent and the index cannot be loaded.
func (w *Writer) shouldReject(now time.Time, s submission) bool {
	if s.record.Kind == journalpb.Kind_KIND_INTENT && !w.loaded && w.readsFail {
		return true
	}
	return s.token != 0 && now.Sub(s.queuedAt) >= queueTimeout
}

// queueCarryRecords queues repeated records of the open keys whose last record is
// older than Limits.Window, long before that record expires.
func (w *Writer) queueCarryRecords(now time.Time) {
	if !w.loaded || now.Before(w.nextCarry) {
		return
	}
	w.nextCarry = now.Add(carryInterval)
	for _, r := range w.index.carryRecords(now.Add(-w.config.Limits.Window)) {
		if !w.isQueued(r) {
			w.queue = append(w.queue, submission{record: r, queuedAt: now})
		}
	}
}

func (w *Writer) isQueued(r *journalpb.Record) bool {
	for _, s := range w.queue {
		if s.record.Kind == r.Kind && keyOf(s.record) == keyOf(r) {
			return true
		}
	}
	return false
}
