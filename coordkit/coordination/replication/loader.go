package replication

import (
	"time"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// loader builds the state from the log alone: it finds a usable snapshot,
// reading back from the end in windows that grow, and folds what follows.
type loader struct {
	rules configstore.Rules
	// window is how many records before the end are read.
	window int64
	// start is the first offset of the window, next the one to read now; both
	// are zero until the bounds of the stream are known.
	start, next eventlog.Offset
	oldest, end eventlog.Offset
	// fold is nil until a usable snapshot, or the stream's start, is found.
	fold *streamFold
	// unanchored holds the records read before fold is known.
	unanchored []eventlog.Record
	assembler  *configstore.Assembler
	// tail is the last record read.
	tail eventlog.Record
	// lastSnapshot is the newest snapshot met, lastSnapshotTime when it was
	// appended, or the time of the first record; changes counts what follows.
	lastSnapshot     configstore.Revision
	lastSnapshotTime time.Time
	changes          int
}

// loadStep tells how far a load is.
type loadStep int

const (
	loadReading loadStep = iota
	loadDone
	loadNoSnapshot
	loadBlocked
)

func newLoader(rules configstore.Rules) *loader {
	return &loader{rules: rules, window: loadWindowRecords}
}

// young tells whether the stream was read from its first record and holds no
// snapshot.
func (l *loader) young() bool { return l.start == 1 && l.lastSnapshot == 0 }

// read returns the next read to make.
func (l *loader) read() ReadLog {
	if l.next == 0 {
		return ReadLog{From: 1, Limit: 1}
	}
	return ReadLog{From: l.next, Limit: readLimitRecords}
}

// answered takes the answer to read. Records expiring meanwhile restart the
// load.
func (l *loader) answered(b eventlog.Batch, expired bool) loadStep {
	if l.next == 0 {
		l.oldest, l.end = b.Oldest, b.Next
		return l.openWindow()
	}
	if expired || len(b.Records) == 0 && l.next < l.end {
		l.next = 0
		return loadReading
	}
	for _, rec := range b.Records {
		if step := l.add(rec); step != loadReading {
			return step
		}
	}
	l.end = max(l.end, b.Next)
	if l.next < l.end {
		return loadReading
	}
	return l.reachedEnd()
}

func (l *loader) openWindow() loadStep {
	l.start = max(l.oldest, l.end-eventlog.Offset(l.window))
	l.next = l.start
	l.unanchored = nil
	l.assembler = configstore.NewAssembler()
	l.fold = nil
	l.lastSnapshot, l.lastSnapshotTime, l.changes = 0, time.Time{}, 0
	if l.start == 1 {
		l.fold = newStreamFold(l.rules, configstore.NewStore(l.rules))
	}
	if l.next < l.end {
		return loadReading
	}
	return l.reachedEnd()
}

func (l *loader) reachedEnd() loadStep {
	if l.fold != nil {
		return loadDone
	}
	if l.start <= l.oldest {
		return loadNoSnapshot
	}
	l.window *= loadWindowGrowth
	return l.openWindow()
}

func (l *loader) add(rec eventlog.Record) loadStep {
	l.next = rec.Offset + 1
	l.tail = rec
	if l.lastSnapshotTime.IsZero() {
		l.lastSnapshotTime = rec.Time
	}
	if l.fold != nil {
		return l.foldOne(rec)
	}
	l.unanchored = append(l.unanchored, rec)
	decoded, err := configstore.DecodeRecord(rec.Data)
	if err != nil || decoded.Chunk == nil {
		return loadReading
	}
	data, whole, err := l.assembler.Add(decoded.Chunk)
	if err != nil || !whole {
		return loadReading
	}
	return l.anchor(rec, decoded, data)
}

// anchor starts the fold at a whole snapshot, if all records after its state
// are at hand.
func (l *loader) anchor(rec eventlog.Record, decoded configstore.LogRecord, data []byte) loadStep {
	store, err := configstore.RestoreStore(l.rules, data)
	if err != nil {
		return loadReading
	}
	from := store.Revision()
	first := eventlog.Offset(from.Offset()) + 1
	if from.Generation() < decoded.Generation {
		// A snapshot that opens a generation: what came before it is void,
		// unless a contest for the opening began earlier in the stream.
		if l.start > l.oldest {
			return loadReading
		}
		store.Reopen(configstore.MakeRevision(decoded.Generation, int64(rec.Offset)), rec.Time)
		first = rec.Offset + 1
	} else if first < l.start || first > rec.Offset {
		// Records are missing, or the snapshot is of a stream that was lost.
		return loadReading
	}
	l.fold = newStreamFold(l.rules, store)
	l.lastSnapshot, l.lastSnapshotTime = from, rec.Time
	pending := l.unanchored
	l.unanchored = nil
	for _, r := range pending {
		if r.Offset < first {
			continue
		}
		if step := l.foldOne(r); step != loadReading {
			return step
		}
	}
	return loadReading
}

func (l *loader) foldOne(rec eventlog.Record) loadStep {
	result, err := l.fold.add(rec)
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
