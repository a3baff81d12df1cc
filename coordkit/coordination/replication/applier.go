package replication

import (
	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// applier applies the records of one generation of the stream in offset order.
// Its decisions depend on the records alone.
type applier struct {
	rules configstore.Rules
	store *configstore.Store
	// assembler holds the chunks of snapshots that may open a generation.
	assembler *configstore.Assembler
	// chunksSeen counts the chunks of each regular snapshot that is still
	// incomplete.
	chunksSeen map[string]uint32
}

// applyResult is the outcome of one record.
type applyResult struct {
	verdict *configstore.Verdict
	// reopened is set when the record completed an opening snapshot that was
	// adopted; replaced is then the previous store.
	reopened bool
	replaced *configstore.Store
	// snapshotRevision is set when the record completed a regular snapshot.
	snapshotRevision configstore.Revision
}

func newApplier(rules configstore.Rules, store *configstore.Store) *applier {
	return &applier{
		rules:      rules,
		store:      store,
		assembler:  configstore.NewAssembler(),
		chunksSeen: make(map[string]uint32),
	}
}

// apply applies one record. It fails only with ErrUnknownRules and then changes
// nothing.
func (a *applier) apply(rec eventlog.Record) (applyResult, error) {
	generation := a.store.Revision().Generation()
	revision := configstore.MakeRevision(generation, int64(rec.Offset))
	decoded, err := configstore.DecodeRecord(rec.Data)
	if err != nil {
		v := a.store.Reject(revision, rec.Time, configstore.ChangeSet{}, configstore.ConflictMalformed)
		return applyResult{verdict: &v}, nil
	}
	if decoded.Chunk != nil {
		return a.applyChunk(rec, decoded), nil
	}
	if decoded.Generation != generation || a.inOpeningWindow(rec) {
		v := a.store.Reject(revision, rec.Time, *decoded.Change, configstore.ConflictGeneration)
		return applyResult{verdict: &v}, nil
	}
	v, err := a.store.Apply(revision, rec.Time, *decoded.Change)
	if err != nil {
		return applyResult{}, err
	}
	return applyResult{verdict: &v}, nil
}

// inOpeningWindow reports whether instances may still offer newer states to
// open the current generation with; changes are rejected during that time.
func (a *applier) inOpeningWindow(rec eventlog.Record) bool {
	opened := a.store.Opening()
	return !opened.Time.IsZero() && rec.Time.Before(opened.Time.Add(openingWindow))
}

func (a *applier) applyChunk(rec eventlog.Record, decoded configstore.LogRecord) applyResult {
	from := configstore.Revision(decoded.Chunk.Revision)
	if a.supersedes(rec, decoded.Generation, from) {
		data, complete, err := a.assembler.Add(decoded.Chunk)
		if complete && err == nil {
			if result, ok := a.reopen(rec, decoded.Generation, data); ok {
				return result
			}
		}
	}
	generation := a.store.Revision().Generation()
	a.store.Advance(configstore.MakeRevision(generation, int64(rec.Offset)))
	if from.Generation() == decoded.Generation && a.completesSnapshot(decoded.Chunk) {
		return applyResult{snapshotRevision: from}
	}
	return applyResult{}
}

// completesSnapshot counts a chunk and reports whether its snapshot is
// complete.
func (a *applier) completesSnapshot(c *configpb.Chunk) bool {
	a.chunksSeen[c.Id]++
	if a.chunksSeen[c.Id] < c.Count {
		return false
	}
	clear(a.chunksSeen)
	return true
}

// supersedes reports whether a snapshot of the state at revision from replaces
// the current state: it opens a later generation, or it opens the current one
// from a newer state within the opening window.
func (a *applier) supersedes(rec eventlog.Record, g configstore.Generation, from configstore.Revision) bool {
	if from.Generation() >= g {
		return false
	}
	if g > a.store.Revision().Generation() {
		return true
	}
	return g == a.store.Revision().Generation() && a.inOpeningWindow(rec) && from > a.store.Opening().From
}

func (a *applier) reopen(rec eventlog.Record, g configstore.Generation, data []byte) (applyResult, bool) {
	store, err := configstore.RestoreStore(a.rules, data)
	if err != nil {
		return applyResult{}, false
	}
	if !store.Reopen(configstore.MakeRevision(g, int64(rec.Offset)), rec.Time) {
		return applyResult{}, false
	}
	replaced := a.store
	a.store = store
	return applyResult{reopened: true, replaced: replaced}, true
}
