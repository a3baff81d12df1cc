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
	if w.lastID != "" {
		// The record before the cursor shows whether the stream was replaced.
		from--
	}
	w.emit(ReadLog{From: from, Limit: readLimitBatches})
}

func (w *Writer) logAnswered(now time.Time, e ReadCompleted) {
	if !invariant.Check(w.reading, invariantWriterReads, "answer to a read that is not outstanding") {
		return
	}
	w.reading = false
	expired := errors.Is(e.Err, eventlog.ErrExpired)
	w.unreadable = e.Err != nil && !expired
	if w.unreadable {
		w.nextRead = now.Add(failedPause)
		return
	}
	if e.Batch.Next < w.cursor {
		w.lost()
		w.nextRead = now
		return
	}
	if expired {
		w.skipTo(e.Batch.Oldest)
		w.nextRead = now
		return
	}
	for _, rec := range e.Batch.Records {
		if !w.foldRecord(rec) {
			w.lost()
			w.nextRead = now
			return
		}
	}
	w.scheduleRead(now, e.Batch.Next)
}

// scheduleRead reads on at once while records are known to be there.
func (w *Writer) scheduleRead(now time.Time, end eventlog.Offset) {
	switch {
	case w.cursor < end:
		w.nextRead = now
		return
	case w.flight != nil && w.flight.offset != 0, len(w.uncertain) > 0:
		w.nextRead = now.Add(readBackPause)
	default:
		w.nextRead = now.Add(idlePoll)
	}
	w.loaded = true
}

// skipTo moves over records that expired. While the index is being loaded it
// starts there; later the index is built anew, as records were missed.
func (w *Writer) skipTo(oldest eventlog.Offset) {
	w.lastID = ""
	if oldest <= w.cursor {
		return
	}
	if w.cursor > 1 {
		w.restart()
	}
	w.cursor = oldest
}

// lost starts over after the stream was replaced by another.
func (w *Writer) lost() {
	w.emit(StreamLost{Open: w.index.Open()})
	w.restart()
}

// restart drops the index. The open keys are kept: they are appended again.
func (w *Writer) restart() {
	for _, r := range w.index.carries(w.index.now.Add(time.Nanosecond)) {
		if !w.queued(r) {
			w.queue = append(w.queue, submission{record: r})
		}
	}
	w.index = NewIndex(w.config.Limits)
	w.cursor, w.lastID = 1, ""
	w.loaded, w.marked = false, false
}

// foldRecord folds one record at or after the cursor. It returns false when
// the record before the cursor is not the one that was folded.
func (w *Writer) foldRecord(rec eventlog.Record) bool {
	var p journalpb.Batch
	// Records of another format count as batches without records.
	_ = proto.Unmarshal(rec.Data, &p)
	if rec.Offset < w.cursor {
		return rec.Offset != w.cursor-1 || w.lastID == "" || w.lastID == p.Id
	}
	w.cursor = rec.Offset + 1
	w.lastID = p.Id
	own := w.takeOwn(p.Id)
	for i, r := range p.Records {
		v := w.index.Fold(rec.Time, r)
		if own != nil && i < len(own.records) {
			w.decide(own.records[i], v)
		}
	}
	if len(p.Records) == 0 {
		w.index.Fold(rec.Time, &journalpb.Record{Kind: journalpb.Kind_KIND_MARK})
	}
	return true
}

// takeOwn returns the own append with a batch id, now that it is read back.
func (w *Writer) takeOwn(id string) *flight {
	if w.flight != nil && w.flight.id == id {
		f := w.flight
		w.flight = nil
		return f
	}
	for i, f := range w.uncertain {
		if f.id == id {
			w.uncertain = append(w.uncertain[:i], w.uncertain[i+1:]...)
			return f
		}
	}
	return nil
}
