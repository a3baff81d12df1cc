package replication

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

// rank is the place of self among the peers in an order that changes with
// salt; rank 0 acts first.
func rank(self instance.ID, peers []instance.ID, salt string) int {
	own := hashOf(salt + "/" + string(self))
	place := 0
	for _, p := range peers {
		if p != self && hashOf(salt+"/"+string(p)) > own {
			place++
		}
	}
	return place
}

// recentRing keeps the last records of the generation in force for peers.
// Invariant: records are consecutive and the last one is the last folded.
type recentRing struct {
	records []eventlog.Record
	bytes   int
}

// add takes the record just folded. Snapshot chunks are kept without data.
func (q *recentRing) add(rec eventlog.Record) {
	rec = withoutChunkData(rec)
	if n := len(q.records); n > 0 && q.records[n-1].Offset+1 != rec.Offset {
		q.clear()
	}
	q.records = append(q.records, rec)
	q.bytes += len(rec.Data)
	for len(q.records) > recentRecords || q.bytes > recentBytes {
		q.bytes -= len(q.records[0].Data)
		q.records[0].Data = nil
		q.records = q.records[1:]
	}
}

func (q *recentRing) clear() { q.records, q.bytes = nil, 0 }

// from returns the records from an offset on, or false when some are gone.
func (q *recentRing) from(o eventlog.Offset) ([]eventlog.Record, bool) {
	if len(q.records) == 0 || q.records[0].Offset > o {
		return nil, false
	}
	i := int(o - q.records[0].Offset)
	if i > len(q.records) {
		return nil, false
	}
	return q.records[i:], true
}

// at returns the record with an offset.
func (q *recentRing) at(o eventlog.Offset) (eventlog.Record, bool) {
	recs, ok := q.from(o)
	if !ok || len(recs) == 0 {
		return eventlog.Record{}, false
	}
	return recs[0], true
}

// withoutChunkData drops the data of a chunk: a reader that follows needs
// only its place in the stream.
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

// opensGeneration tells whether a record is a chunk that could open a
// generation; such a record cannot be folded without its data.
func opensGeneration(rec eventlog.Record) bool {
	decoded, err := configstore.DecodeRecord(rec.Data)
	return err == nil && decoded.Chunk != nil &&
		configstore.Revision(decoded.Chunk.Revision).Generation() < decoded.Generation
}

// behindMarker remembers since when newer revisions are known.
type behindMarker struct {
	// marks rise in revision and in time.
	marks []behindMark
}

type behindMark struct {
	revision configstore.Revision
	at       time.Time
}

func (b *behindMarker) heard(now time.Time, r configstore.Revision) {
	if n := len(b.marks); n > 0 && (b.marks[n-1].revision >= r || n >= behindMarks) {
		return
	}
	b.marks = append(b.marks, behindMark{revision: r, at: now})
}

func (b *behindMarker) reached(r configstore.Revision) {
	for len(b.marks) > 0 && b.marks[0].revision <= r {
		b.marks = b.marks[1:]
	}
}

// inGeneration tells whether a newer revision of a generation is known.
func (b *behindMarker) inGeneration(g configstore.Generation) bool {
	for _, m := range b.marks {
		if m.revision.Generation() == g {
			return true
		}
	}
	return false
}

// since returns how long a newer revision has been known; zero when none is.
func (b *behindMarker) since(now time.Time) time.Duration {
	if len(b.marks) == 0 {
		return 0
	}
	return now.Sub(b.marks[0].at)
}
