package replication

import (
	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// streamFold applies the records of one generation of the stream in offset
// order. Everything it decides follows from the records alone.
type streamFold struct {
	rules configstore.Rules
	store *configstore.Store
	// assembler holds the chunks of snapshots that would open a generation.
	assembler *configstore.Assembler
	// seen counts the chunks met of each regular snapshot that is not whole.
	seen map[string]uint32
}

// folded tells what one record did.
type folded struct {
	verdict *configstore.Verdict
	// reopened is set when the record completed an opening snapshot that was
	// adopted; replaced is then the store in force before.
	reopened bool
	replaced *configstore.Store
	// snapshotRevision is set when the record completed a regular snapshot.
	snapshotRevision configstore.Revision
}

func newStreamFold(rules configstore.Rules, store *configstore.Store) *streamFold {
	return &streamFold{
		rules:     rules,
		store:     store,
		assembler: configstore.NewAssembler(),
		seen:      make(map[string]uint32),
	}
}

// add folds one record. It fails only with ErrUnknownRules, and has then
// folded nothing.
func (f *streamFold) add(rec eventlog.Record) (folded, error) {
	generation := f.store.Revision().Generation()
	revision := configstore.MakeRevision(generation, int64(rec.Offset))
	decoded, err := configstore.DecodeRecord(rec.Data)
	if err != nil {
		v := f.store.Reject(revision, rec.Time, configstore.ChangeSet{}, configstore.ConflictMalformed)
		return folded{verdict: &v}, nil
	}
	if decoded.Chunk != nil {
		return f.addChunk(rec, decoded), nil
	}
	if decoded.Generation != generation || f.opening(rec) {
		v := f.store.Reject(revision, rec.Time, *decoded.Change, configstore.ConflictGeneration)
		return folded{verdict: &v}, nil
	}
	v, err := f.store.Apply(revision, rec.Time, *decoded.Change)
	if err != nil {
		return folded{}, err
	}
	return folded{verdict: &v}, nil
}

// opening tells whether instances may still offer newer states to open the
// current generation with; changes are rejected until that time is over.
func (f *streamFold) opening(rec eventlog.Record) bool {
	opened := f.store.Opening()
	return !opened.At.IsZero() && rec.Time.Before(opened.At.Add(openingWindow))
}

func (f *streamFold) addChunk(rec eventlog.Record, decoded configstore.LogRecord) folded {
	from := configstore.Revision(decoded.Chunk.Revision)
	if f.opens(rec, decoded.Generation, from) {
		data, whole, err := f.assembler.Add(decoded.Chunk)
		if whole && err == nil {
			if result, ok := f.reopen(rec, decoded.Generation, data); ok {
				return result
			}
		}
	}
	generation := f.store.Revision().Generation()
	f.store.Advance(configstore.MakeRevision(generation, int64(rec.Offset)))
	if from.Generation() == decoded.Generation && f.countChunk(decoded.Chunk) {
		return folded{snapshotRevision: from}
	}
	return folded{}
}

// countChunk tells whether a chunk completes its snapshot.
func (f *streamFold) countChunk(c *configpb.Chunk) bool {
	f.seen[c.Id]++
	if f.seen[c.Id] < c.Count {
		return false
	}
	clear(f.seen)
	return true
}

// opens tells whether a whole snapshot of state from replaces the current one:
// it starts a later generation, or wins the opening of this one.
func (f *streamFold) opens(rec eventlog.Record, g configstore.Generation, from configstore.Revision) bool {
	if from.Generation() >= g {
		return false
	}
	if g > f.store.Revision().Generation() {
		return true
	}
	return g == f.store.Revision().Generation() && f.opening(rec) && from > f.store.Opening().From
}

func (f *streamFold) reopen(rec eventlog.Record, g configstore.Generation, data []byte) (folded, bool) {
	store, err := configstore.RestoreStore(f.rules, data)
	if err != nil {
		return folded{}, false
	}
	if !store.Reopen(configstore.MakeRevision(g, int64(rec.Offset)), rec.Time) {
		return folded{}, false
	}
	replaced := f.store
	f.store = store
	return folded{reopened: true, replaced: replaced}, true
}
