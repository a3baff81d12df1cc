package lease

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/leasepb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// readNext starts the next read while a lease is wanted. The stream is loaded
// from a window before its end.
func (h *Holder) readNext(now time.Time) {
	if h.reading || now.Before(h.nextRead) || len(h.wanted) == 0 {
		return
	}
	h.reading = true
	switch {
	case h.cursor == 0:
		h.emit(ReadLog{From: 1, Limit: 1})
	case h.lastRecordID != "":
		// The record before the cursor shows whether the stream was replaced.
		h.emit(ReadLog{From: h.cursor - 1, Limit: maxReadRecords})
	default:
		h.emit(ReadLog{From: h.cursor, Limit: maxReadRecords})
	}
}

func (h *Holder) readCompleted(now time.Time, e ReadCompleted) {
	if !invariant.Check(h.reading, invariantOneRead, "answer to a read that is not outstanding") {
		return
	}
	h.reading = false
	expired := errors.Is(e.Err, eventlog.ErrExpired)
	if e.Err != nil && !expired {
		h.nextRead = now.Add(readRetryDelay)
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
		h.lastRecordID = ""
		return
	}
	for _, rec := range e.Batch.Records {
		if !h.applyRecord(now, rec) {
			h.restart()
			return
		}
	}
	if h.cursor >= e.Batch.Next {
		h.reachedEnd(now)
	}
}

func (h *Holder) openWindow(b eventlog.Batch) {
	h.lastRecordID = ""
	h.loading.oldest = b.Oldest
	h.loading.start = max(b.Oldest, b.Next-h.loading.window)
	h.table = NewTable(h.config.Duration, h.loading.start > 1)
	h.loading.firstRecordAt = time.Time{}
	h.cursor = h.loading.start
}

// restart loads the stream from scratch. Held leases stay valid until they
// expire.
func (h *Holder) restart() {
	h.cursor, h.lastRecordID, h.loaded = 0, "", false
	h.loading.window = loadWindowRecords
}

func (h *Holder) reachedEnd(now time.Time) {
	if !h.loaded && !h.finishLoad(now) {
		return
	}
	h.nextRead = now.Add(idlePollInterval)
	if h.inFlight != nil {
		h.nextRead = now.Add(readBackInterval)
	}
	h.revokeLost()
}

// finishLoad widens the window until the table cannot show a wrong holder. If the
// stream retains too few records for that, acquires are delayed by
// settleDurations+1 lease durations instead.
func (h *Holder) finishLoad(now time.Time) bool {
	if h.table.partial && (h.loading.firstRecordAt.IsZero() || h.table.mayShowWrongHolder()) {
		if h.loading.start > h.loading.oldest {
			h.loading.window *= loadWindowGrowth
			h.cursor = 0
			return false
		}
		h.acquireAfter = now.Add((settleDurations + 1) * h.config.Duration)
	}
	h.loaded = true
	return true
}

// revokeLost revokes held leases that the table does not show as held by this
// process.
func (h *Holder) revokeLost() {
	for _, w := range h.sortedWanted() {
		if w.held && !h.holdsInTable(w) {
			h.revoke(w)
		}
	}
}

// applyRecord applies one record at or after the cursor. It returns false when
// the record before the cursor is not the one that was applied.
func (h *Holder) applyRecord(now time.Time, rec eventlog.Record) bool {
	var p leasepb.Record
	// Records of another format count as records without names.
	_ = proto.Unmarshal(rec.Data, &p)
	if rec.Offset < h.cursor {
		return h.lastRecordID == "" || h.lastRecordID == p.Id
	}
	h.cursor = rec.Offset + 1
	h.lastRecordID = p.Id
	if h.loading.firstRecordAt.IsZero() {
		h.loading.firstRecordAt = rec.Time
	}
	grants := h.table.Apply(rec.Time, &p)
	if h.inFlight != nil && h.inFlight.id == p.Id {
		h.inFlight = nil
	}
	if p.Holder == h.config.Process {
		h.acceptGrants(now, p.Id, grants)
		return true
	}
	for _, g := range grants {
		if w := h.wanted[g.name]; w != nil {
			w.otherSeenAt = now
		}
	}
	return true
}
