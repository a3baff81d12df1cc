package configstore

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/configpb"
)

// MaxChangeSetBytes is the maximum size of an encoded change set.
const MaxChangeSetBytes = 256 << 10

// LogRecord is one decoded record of the stream: a change set or a chunk of a
// snapshot. Exactly one of Change and Chunk is set.
type LogRecord struct {
	Generation Generation
	Change     *ChangeSet
	Chunk      *configpb.Chunk
}

// EncodeChangeSet returns the record for a change set. It fails with
// ErrTooLarge when the record exceeds MaxChangeSetBytes.
func EncodeChangeSet(g Generation, c ChangeSet) ([]byte, error) {
	data, err := proto.Marshal(&configpb.LogRecord{
		Generation: int64(g),
		Body:       &configpb.LogRecord_Change{Change: changeToProto(c)},
	})
	if err != nil {
		return nil, errors.Annotate(err, "encode change set")
	}
	if len(data) > MaxChangeSetBytes {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes, at most %d", len(data), MaxChangeSetBytes)
	}
	return data, nil
}

// EncodeChunk returns the record for one chunk of a snapshot.
func EncodeChunk(g Generation, c *configpb.Chunk) ([]byte, error) {
	data, err := proto.Marshal(&configpb.LogRecord{
		Generation: int64(g),
		Body:       &configpb.LogRecord_Chunk{Chunk: c},
	})
	return data, errors.Annotate(err, "encode chunk")
}

// DecodeRecord decodes a record of the stream, or fails with ErrMalformed.
func DecodeRecord(data []byte) (LogRecord, error) {
	var p configpb.LogRecord
	if err := proto.Unmarshal(data, &p); err != nil {
		return LogRecord{}, ErrMalformed
	}
	r := LogRecord{Generation: Generation(p.Generation), Chunk: p.GetChunk()}
	if c := p.GetChange(); c != nil {
		change := changeFromProto(c)
		r.Change = &change
	}
	if r.Change == nil && r.Chunk == nil {
		return LogRecord{}, ErrMalformed
	}
	return r, nil
}

func changeToProto(c ChangeSet) *configpb.ChangeSet {
	p := &configpb.ChangeSet{
		Id:             c.ID,
		Author:         c.Author,
		IssuedUnixNano: unixNano(c.Issued),
		RuleVersion:    c.RuleVersion,
		Statement:      c.Statement,
	}
	for _, r := range c.Requires {
		p.Requires = append(p.Requires, &configpb.Precondition{Key: string(r.Key), Revision: int64(r.Revision)})
	}
	for _, w := range c.Writes {
		p.Writes = append(p.Writes, &configpb.Write{Key: string(w.Key), Value: w.Value, Delete: w.Delete})
	}
	return p
}

func changeFromProto(p *configpb.ChangeSet) ChangeSet {
	c := ChangeSet{
		ID:          p.Id,
		Author:      p.Author,
		Issued:      fromUnixNano(p.IssuedUnixNano),
		RuleVersion: p.RuleVersion,
		Statement:   p.Statement,
	}
	for _, r := range p.Requires {
		c.Requires = append(c.Requires, Precondition{Key: Key(r.Key), Revision: Revision(r.Revision)})
	}
	for _, w := range p.Writes {
		c.Writes = append(c.Writes, Write{Key: Key(w.Key), Value: w.Value, Delete: w.Delete})
	}
	return c
}

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
