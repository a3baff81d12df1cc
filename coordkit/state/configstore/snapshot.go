package configstore

import (
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/configpb"
)

// ChunkBytes is the size of the data in one chunk of a snapshot.
const ChunkBytes = 192 << 10

// ErrSnapshotDamaged means that a snapshot or one of its chunks is invalid.
const ErrSnapshotDamaged = errors.ConstError("snapshot does not match its hash; use another one")

// Snapshot serialises the state. Equal states give equal bytes.
func (s *Store) Snapshot() ([]byte, error) {
	p := &configpb.Snapshot{
		Revision:         int64(s.revision),
		OpenedFrom:       int64(s.opening.From),
		OpenedAtUnixNano: unixNano(s.opening.Time),
	}
	for _, o := range s.objects {
		p.Objects = append(p.Objects, &configpb.Object{
			Key: string(o.Key), Value: o.Value, Revision: int64(o.Revision),
			ChangeId: o.ChangeID, Author: o.Author, ChangedUnixNano: unixNano(o.Changed),
		})
	}
	for _, v := range s.history.all() {
		p.History = append(p.History, verdictToProto(v))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
	return data, errors.Annotate(err, "encode snapshot")
}

// RestoreStore returns a Store with the state of a snapshot.
func RestoreStore(rules Rules, data []byte) (*Store, error) {
	var p configpb.Snapshot
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, errors.Annotate(ErrSnapshotDamaged, err.Error())
	}
	s := NewStore(rules)
	s.revision = Revision(p.Revision)
	s.opening = Opening{From: Revision(p.OpenedFrom), Time: fromUnixNano(p.OpenedAtUnixNano)}
	s.objects = make([]*Object, 0, len(p.Objects))
	for _, o := range p.Objects {
		s.objects = append(s.objects, &Object{
			Key: Key(o.Key), Value: o.Value, Revision: Revision(o.Revision),
			ChangeID: o.ChangeId, Author: o.Author, Changed: fromUnixNano(o.ChangedUnixNano),
		})
	}
	for _, h := range p.History {
		s.history.add(verdictFromProto(h))
	}
	return s, nil
}

// SplitSnapshot splits a serialised snapshot into chunks.
func SplitSnapshot(id string, r Revision, data []byte) []*configpb.Chunk {
	count := max(1, (len(data)+ChunkBytes-1)/ChunkBytes)
	hash := xxhash.Sum64(data)
	chunks := make([]*configpb.Chunk, 0, count)
	for i := range count {
		chunk := data[i*ChunkBytes : min(len(data), (i+1)*ChunkBytes)]
		chunks = append(chunks, &configpb.Chunk{
			Id: id, Index: uint32(i), Count: uint32(count), Hash: hash, Revision: int64(r), Data: chunk,
		})
	}
	return chunks
}

// Assembler assembles snapshots from chunks in any order.
type Assembler struct {
	chunks map[string][]*configpb.Chunk
}

// NewAssembler returns an empty Assembler.
func NewAssembler() *Assembler {
	return &Assembler{chunks: make(map[string][]*configpb.Chunk)}
}

// maxChunks bounds the allocation for a snapshot with a corrupted chunk count.
const maxChunks = 4096

// Add adds a chunk. It returns the snapshot and true when the chunk completes
// it, and ErrSnapshotDamaged when the chunk is invalid or the snapshot does not
// match its hash.
func (a *Assembler) Add(c *configpb.Chunk) ([]byte, bool, error) {
	if c.Count == 0 || c.Count > maxChunks || c.Index >= c.Count {
		return nil, false, ErrSnapshotDamaged
	}
	chunks := a.chunks[c.Id]
	if chunks == nil {
		chunks = make([]*configpb.Chunk, c.Count)
		a.chunks[c.Id] = chunks
	}
	if int(c.Count) != len(chunks) {
		return nil, false, ErrSnapshotDamaged
	}
	chunks[c.Index] = c
	var data []byte
	for _, p := range chunks {
		if p == nil {
			return nil, false, nil
		}
		data = append(data, p.Data...)
	}
	delete(a.chunks, c.Id)
	if xxhash.Sum64(data) != c.Hash {
		return nil, false, ErrSnapshotDamaged
	}
	return data, true, nil
}

func verdictToProto(v Verdict) *configpb.HistoryEntry {
	h := &configpb.HistoryEntry{
		ChangeId: v.ChangeID, Author: v.Author, TimeUnixNano: unixNano(v.Time),
		Statement: v.Statement, Accepted: v.Accepted, Revision: int64(v.Revision),
	}
	if c := v.Conflict; c != nil {
		h.Conflict = &configpb.Conflict{
			Kind: int32(c.Kind), Key: string(c.Key), Have: int64(c.Have), Want: int64(c.Want),
			ChangedBy: c.ChangedBy, ChangeId: c.ChangeID, ChangedUnixNano: unixNano(c.Changed), Detail: c.Detail,
		}
	}
	return h
}

func verdictFromProto(h *configpb.HistoryEntry) Verdict {
	v := Verdict{
		ChangeID: h.ChangeId, Author: h.Author, Time: fromUnixNano(h.TimeUnixNano),
		Statement: h.Statement, Accepted: h.Accepted, Revision: Revision(h.Revision),
	}
	if c := h.Conflict; c != nil {
		v.Conflict = &Conflict{
			Kind: ConflictKind(c.Kind), Key: Key(c.Key), Have: Revision(c.Have), Want: Revision(c.Want),
			ChangedBy: c.ChangedBy, ChangeID: c.ChangeId, Changed: fromUnixNano(c.ChangedUnixNano), Detail: c.Detail,
		}
	}
	return v
}
