package replication

import (
	"time"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// loader builds the state from the log alone: it finds a usable snapshot by
// reading backwards from the end in growing windows, and applies the records
// after it.
type loader struct {
	rules configstore.Rules
	// windowRecords is how many records before the end are read.
	windowRecords int64
	// windowStart is the first offset of the window, nextOffset the next one to
	// read; both are zero until the bounds of the stream are known.
	windowStart, nextOffset eventlog.Offset
	oldest, end             eventlog.Offset
	// applier is nil until a usable snapshot, or the start of the stream, is
	// found.
	applier *applier
	// buffered holds the records read before applier is set.
	buffered  []eventlog.Record
	assembler *configstore.Assembler
	// lastRecord is the last record read.
	lastRecord eventlog.Record
	// lastSnapshot is the newest snapshot found; lastSnapshotTime is when it
	// was appended, or the time of the first record; changes counts the changes
	// after it.
	lastSnapshot     configstore.Revision
	lastSnapshotTime time.Time
	changes          int
}

// loadStatus is the progress of a load.
type loadStatus int

const (
	loadReading loadStatus = iota
	loadDone
	loadNoSnapshot
	loadBlocked
)

func newLoader(rules configstore.Rules) *loader {
	return &loader{rules: rules, windowRecords: loadWindowRecords}
}

// isNewStream reports whether the stream was read from its first record and
// holds no snapshot.
func (l *loader) isNewStream() bool { return l.windowStart == 1 && l.lastSnapshot == 0 }

func (l *loader) nextRead() ReadLog {
	if l.nextOffset == 0 {
		return ReadLog{From: 1, Limit: 1}
	}
	return ReadLog{From: l.nextOffset, Limit: readBatchRecords}
}

// handleBatch processes the result of nextRead. Records that expire meanwhile
// restart the load.
func (l *loader) handleBatch(b eventlog.Batch, expired bool) loadStatus {
	if l.nextOffset == 0 {
		l.oldest, l.end = b.Oldest, b.Next
		return l.openWindow()
	}
	if expired || len(b.Records) == 0 && l.nextOffset < l.end {
		l.nextOffset = 0
		return loadReading
	}
	for _, rec := range b.Records {
		if status := l.add(rec); status != loadReading {
			return status
		}
	}
	l.end = max(l.end, b.Next)
	if l.nextOffset < l.end {
		return loadReading
	}
	return l.reachedEnd()
}

func (l *loader) openWindow() loadStatus {
	l.windowStart = max(l.oldest, l.end-eventlog.Offset(l.windowRecords))
	l.nextOffset = l.windowStart
	l.buffered = nil
	l.assembler = configstore.NewAssembler()
	l.applier = nil
	l.lastSnapshot, l.lastSnapshotTime, l.changes = 0, time.Time{}, 0
	if l.windowStart == 1 {
		l.applier = newApplier(l.rules, configstore.NewStore(l.rules))
	}
	if l.nextOffset < l.end {
		return loadReading
	}
	return l.reachedEnd()
}

func (l *loader) reachedEnd() loadStatus {
	if l.applier != nil {
		return loadDone
	}
	if l.windowStart <= l.oldest {
		return loadNoSnapshot
	}
	l.windowRecords *= loadWindowGrowth
	return l.openWindow()
}

func (l *loader) add(rec eventlog.Record) loadStatus {
	l.nextOffset = rec.Offset + 1
	l.lastRecord = rec
	if l.lastSnapshotTime.IsZero() {
		l.lastSnapshotTime = rec.Time
	}
	if l.applier != nil {
		return l.applyRecord(rec)
	}
	l.buffered = append(l.buffered, rec)
	decoded, err := configstore.DecodeRecord(rec.Data)
	if err != nil || decoded.Chunk == nil {
		return loadReading
	}
	data, complete, err := l.assembler.Add(decoded.Chunk)
	if err != nil || !complete {
		return loadReading
	}
	return l.startFromSnapshot(rec, decoded, data)
}

// startFromSnapshot starts applying at a complete snapshot, if all records
// after its state are available.
func (l *loader) startFromSnapshot(rec eventlog.Record, decoded configstore.LogRecord, data []byte) loadStatus {
	store, err := configstore.RestoreStore(l.rules, data)
	if err != nil {
		return loadReading
	}
	from := store.Revision()
	first := eventlog.Offset(from.Offset()) + 1
	if from.Generation() < decoded.Generation {
		// The snapshot opens a generation: earlier records are void, unless a
		// competing snapshot started earlier in the stream.
		if l.windowStart > l.oldest {
			return loadReading
		}
		store.Reopen(configstore.MakeRevision(decoded.Generation, int64(rec.Offset)), rec.Time)
		first = rec.Offset + 1
	} else if first < l.windowStart || first > rec.Offset {
		// Records are missing, or the snapshot belongs to a lost stream.
		return loadReading
	}
	l.applier = newApplier(l.rules, store)
	l.lastSnapshot, l.lastSnapshotTime = from, rec.Time
	pending := l.buffered
	l.buffered = nil
	for _, r := range pending {
		if r.Offset < first {
			continue
		}
		if status := l.applyRecord(r); status != loadReading {
			return status
		}
	}
	return loadReading
}

func (l *loader) applyRecord(rec eventlog.Record) loadStatus {
	result, err := l.applier.apply(rec)
	if err != nil {
		return loadBlocked
	}
	if result.verdict != nil {
		l.changes++
	}
	if result.snapshotRevision > l.lastSnapshot {
		l.lastSnapshot, l.lastSnapshotTime = result.snapshotRevision, rec.Time
		l.changes = 0
	}
	return loadReading
}
