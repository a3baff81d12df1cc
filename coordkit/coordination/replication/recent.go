package replication

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// rank returns the position of self among the peers in an order that depends on
// salt; rank 0 acts first.
func rank(self instance.ID, peers []instance.ID, salt string) int {
	own := hashString(salt + "/" + string(self))
	position := 0
	for _, p := range peers {
		if p != self && hashString(salt+"/"+string(p)) > own {
			position++
		}
	}
	return position
}

// recordCache caches the latest records of the current generation for peers.
// Invariant: records are consecutive and the last one is the last applied.
type recordCache struct {
	records []eventlog.Record
	bytes   int
}

// add appends the record just applied. Snapshot chunks are cached without data.
func (c *recordCache) add(rec eventlog.Record) {
	rec = withoutChunkData(rec)
	if n := len(c.records); n > 0 && c.records[n-1].Offset+1 != rec.Offset {
		c.clear()
	}
	c.records = append(c.records, rec)
	c.bytes += len(rec.Data)
	for len(c.records) > maxRecentRecords || c.bytes > maxRecentBytes {
		c.bytes -= len(c.records[0].Data)
		c.records[0].Data = nil
		c.records = c.records[1:]
	}
}

func (c *recordCache) clear() { c.records, c.bytes = nil, 0 }

// recordsFrom returns the records from an offset on, or false when some are no
// longer cached.
func (c *recordCache) recordsFrom(o eventlog.Offset) ([]eventlog.Record, bool) {
	if len(c.records) == 0 || c.records[0].Offset > o {
		return nil, false
	}
	i := int(o - c.records[0].Offset)
	if i > len(c.records) {
		return nil, false
	}
	return c.records[i:], true
}

// record returns the record at an offset.
func (c *recordCache) record(o eventlog.Offset) (eventlog.Record, bool) {
	recs, ok := c.recordsFrom(o)
	if !ok || len(recs) == 0 {
		return eventlog.Record{}, false
	}
	return recs[0], true
}

// withoutChunkData drops the data of a chunk: a reader that follows the stream
// needs only its offset.
func withoutChunkData(rec eventlog.Record) eventlog.Record {
	decoded, err := configstore.DecodeRecord(rec.Data)
	if err != nil || decoded.Chunk == nil || len(decoded.Chunk.Data) == 0 {
		return rec
	}
	c := decoded.Chunk
	bare := &configpb.Chunk{Id: c.Id, Index: c.Index, Count: c.Count, Hash: c.Hash, Revision: c.Revision}
	if data, err := configstore.EncodeChunk(decoded.Generation, bare); err == nil {
		rec.Data = data
	}
	return rec
}

// mayOpenGeneration reports whether a record is a chunk that could open a
// generation; such a record cannot be applied without its data.
func mayOpenGeneration(rec eventlog.Record) bool {
	decoded, err := configstore.DecodeRecord(rec.Data)
	return err == nil && decoded.Chunk != nil &&
		configstore.Revision(decoded.Chunk.Revision).Generation() < decoded.Generation
}

// lagTracker records since when newer revisions are known.
type lagTracker struct {
	// marks ascend in revision and in time.
	marks []revisionMark
}

type revisionMark struct {
	revision   configstore.Revision
	knownSince time.Time
}

func (t *lagTracker) observe(now time.Time, r configstore.Revision) {
	if n := len(t.marks); n > 0 && (t.marks[n-1].revision >= r || n >= maxRevisionMarks) {
		return
	}
	t.marks = append(t.marks, revisionMark{revision: r, knownSince: now})
}

func (t *lagTracker) advance(r configstore.Revision) {
	for len(t.marks) > 0 && t.marks[0].revision <= r {
		t.marks = t.marks[1:]
	}
}

// hasNewerIn reports whether a newer revision of a generation is known.
func (t *lagTracker) hasNewerIn(g configstore.Generation) bool {
	for _, m := range t.marks {
		if m.revision.Generation() == g {
			return true
		}
	}
	return false
}

// duration returns how long a newer revision has been known, or zero.
func (t *lagTracker) duration(now time.Time) time.Duration {
	if len(t.marks) == 0 {
		return 0
	}
	return now.Sub(t.marks[0].knownSince)
}
