package journal

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

func (w *Writer) readNext(now time.Time) {
	if w.reading || now.Before(w.nextRead) {
		return
	}
	w.reading = true
	from := w.cursor
	if w.lastBatchID != "" {
		// The record before the cursor shows whether the stream was replaced.
		from--
	}
	w.emit(ReadLog{From: from, Limit: maxReadBatches})
}

func (w *Writer) readCompleted(now time.Time, e ReadCompleted) {
	if !invariant.Check(w.reading, invariantOneRead, "answer to a read that is not outstanding") {
		return
	}
	w.reading = false
	expired := errors.Is(e.Err, eventlog.ErrExpired)
	w.readsFail = e.Err != nil && !expired
	if w.readsFail {
		w.nextRead = now.Add(retryDelay)
		return
	}
	if e.Batch.Next < w.cursor {
		w.streamLost()
		w.nextRead = now
		return
	}
	if expired {
		w.skipTo(e.Batch.Oldest)
		w.nextRead = now
		return
	}
	for _, rec := range e.Batch.Records {
		if !w.applyBatch(rec) {
			w.streamLost()
			w.nextRead = now
			return
		}
	}
	w.scheduleRead(now, e.Batch.Next)
}

// scheduleRead sets the time of the next read, which is immediate until the end
// of the stream is reached.
func (w *Writer) scheduleRead(now time.Time, end eventlog.Offset) {
	switch {
	case w.cursor < end:
		w.nextRead = now
		return
	case w.inFlight != nil && w.inFlight.offset != 0, len(w.indeterminate) > 0:
		w.nextRead = now.Add(readBackInterval)
	default:
		w.nextRead = now.Add(idlePollInterval)
	}
	w.loaded = true
}

// skipTo moves the cursor past expired records. If records had been read before
// them, some were missed and the index is rebuilt from the oldest record.
func (w *Writer) skipTo(oldest eventlog.Offset) {
	w.lastBatchID = ""
	if oldest <= w.cursor {
		return
	}
	if w.cursor > 1 {
		w.restart()
	}
	w.cursor = oldest
}

// streamLost rebuilds the index after the stream was replaced.
func (w *Writer) streamLost() {
	w.emit(StreamLost{OpenKeys: w.index.OpenLen()})
	w.restart()
}

// restart discards the index and reads the stream from its start. The open keys
// are queued to be appended again.
func (w *Writer) restart() {
	for _, r := range w.index.carryRecords(w.index.logTime.Add(time.Nanosecond)) {
		if !w.isQueued(r) {
			w.queue = append(w.queue, submission{record: r})
		}
	}
	w.index = NewIndex(w.config.Limits)
	w.cursor, w.lastBatchID = 1, ""
	w.loaded, w.markAppended = false, false
}

// applyBatch applies one log record at or after the cursor. It returns false
// when the record before the cursor is not the one that was applied.
func (w *Writer) applyBatch(rec eventlog.Record) bool {
	var p journalpb.Batch
	// Records of another format count as batches without records.
	_ = proto.Unmarshal(rec.Data, &p)
	if rec.Offset < w.cursor {
		return rec.Offset != w.cursor-1 || w.lastBatchID == "" || w.lastBatchID == p.Id
	}
	w.cursor = rec.Offset + 1
	w.lastBatchID = p.Id
	pending := w.takePending(p.Id)
	for i, r := range p.Records {
		v := w.index.Apply(rec.Time, r)
		if pending != nil && i < len(pending.records) {
			w.reply(pending.records[i], v)
		}
	}
	if len(p.Records) == 0 {
		w.index.Apply(rec.Time, &journalpb.Record{Kind: journalpb.Kind_KIND_MARK})
	}
	return true
}

// takePending removes and returns this writer's pending append with the given
// batch id, or nil.
func (w *Writer) takePending(id string) *pendingAppend {
	if w.inFlight != nil && w.inFlight.id == id {
		p := w.inFlight
		w.inFlight = nil
		return p
	}
	for i, p := range w.indeterminate {
		if p.id == id {
			w.indeterminate = append(w.indeterminate[:i], w.indeterminate[i+1:]...)
			return p
		}
	}
	return nil
}
