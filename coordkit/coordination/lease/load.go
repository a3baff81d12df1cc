package lease

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/leasepb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// readNext reads while something is wanted. The stream is first loaded from a
// window before its end.
func (h *Holder) readNext(now time.Time) {
	if h.reading || now.Before(h.nextRead) || len(h.wants) == 0 {
		return
	}
	h.reading = true
	switch {
	case h.cursor == 0:
		h.emit(ReadLog{From: 1, Limit: 1})
	case h.lastID != "":
		// The record before the cursor shows whether the stream was replaced.
		h.emit(ReadLog{From: h.cursor - 1, Limit: readLimitRecords})
	default:
		h.emit(ReadLog{From: h.cursor, Limit: readLimitRecords})
	}
}

func (h *Holder) logAnswered(now time.Time, e ReadCompleted) {
	if !invariant.Check(h.reading, invariantLeaseReads, "answer to a read that is not outstanding") {
		return
	}
	h.reading = false
	expired := errors.Is(e.Err, eventlog.ErrExpired)
	if e.Err != nil && !expired {
		h.nextRead = now.Add(failedPause)
		return
	}
	h.nextRead = now
	switch {
	case h.cursor == 0:
		h.openWindow(e.Batch)
		return
	case e.Batch.Next < h.cursor:
		h.restart()
		return
	case expired:
		if e.Batch.Oldest > h.cursor {
			h.restart()
		}
		h.lastID = ""
		return
	}
	for _, rec := range e.Batch.Records {
		if !h.foldRecord(now, rec) {
			h.restart()
			return
		}
	}
	if h.cursor >= e.Batch.Next {
		h.reachedEnd(now)
	}
}

func (h *Holder) openWindow(b eventlog.Batch) {
	h.lastID = ""
	h.loading.oldest = b.Oldest
	h.loading.start = max(b.Oldest, b.Next-h.loading.window)
	h.table = NewTable(h.config.Duration, h.loading.start > 1)
	h.loading.first = time.Time{}
	h.cursor = h.loading.start
}

// restart loads the stream anew; what is held stays held until its time.
func (h *Holder) restart() {
	h.cursor, h.lastID, h.loaded = 0, "", false
	h.loading.window = loadWindowRecords
}

func (h *Holder) reachedEnd(now time.Time) {
	if !h.loaded && !h.endLoad(now) {
		return
	}
	h.nextRead = now.Add(idlePoll)
	if h.flight != nil {
		h.nextRead = now.Add(readBackPause)
	}
	h.dropTaken()
}

// endLoad widens the window until the table is settled. When the stream keeps
// too few records for that, acquires wait until it must be.
func (h *Holder) endLoad(now time.Time) bool {
	if h.table.partial && (h.loading.first.IsZero() || h.table.unsettled()) {
		if h.loading.start > h.loading.oldest {
			h.loading.window *= loadWindowGrowth
			h.cursor = 0
			return false
		}
		h.acquireAfter = now.Add((settlePart + 1) * h.config.Duration)
	}
	h.loaded = true
	return true
}

// dropTaken revokes leases that the table gives to others.
func (h *Holder) dropTaken() {
	for _, w := range h.sorted() {
		if w.held && !h.mine(w) {
			h.revoke(w)
		}
	}
}

// foldRecord folds one record at or after the cursor. It returns false when
// the record before the cursor is not the one that was folded.
func (h *Holder) foldRecord(now time.Time, rec eventlog.Record) bool {
	var p leasepb.Record
	// Records of another format count as records without names.
	_ = proto.Unmarshal(rec.Data, &p)
	if rec.Offset < h.cursor {
		return h.lastID == "" || h.lastID == p.Id
	}
	h.cursor = rec.Offset + 1
	h.lastID = p.Id
	if h.loading.first.IsZero() {
		h.loading.first = rec.Time
	}
	grants := h.table.Fold(rec.Time, &p)
	if h.flight != nil && h.flight.id == p.Id {
		h.flight = nil
	}
	if p.Holder == h.config.Process {
		h.granted(now, p.Id, grants)
		return true
	}
	for _, g := range grants {
		if w := h.wants[g.name]; w != nil {
			w.otherSeen = now
		}
	}
	return true
}
