package gateway

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// Record is a record of a keyed topic. A nil Value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is a sequence of records without gaps.
type Batch struct {
	// From is the offset of the first record, Next the offset after the last, in an
	// epoch of the store.
	From, Next int64
	Epoch      uint64
	Records    []Record
	// Compressed is the encoding with which the batch arrived, if it was compressed,
	// so that it is passed on without compressing it again.
	Compressed []byte
}

// after returns the records from an offset on.
func (b Batch) after(next int64) Batch {
	if next <= b.From {
		return b
	}
	rest := Batch{From: next, Next: b.Next, Epoch: b.Epoch}
	for _, r := range b.Records {
		if r.Offset >= next {
			rest.Records = append(rest.Records, r)
		}
	}
	return rest
}

// size returns the size of the records' keys and values.
func (b Batch) size() (bytes int) {
	for _, r := range b.Records {
		bytes += len(r.Key) + len(r.Value)
	}
	return bytes
}

// compressedRecords returns the encoding of the records that is relayed in place of one
// that is too large.
func (b Batch) compressedRecords() []byte {
	if b.Compressed != nil {
		return b.Compressed
	}
	return compressRecords(b.Records, flate.BestSpeed)
}

func encodeRecord(r Record) *peerpb.Record {
	return &peerpb.Record{Key: []byte(r.Key), Value: r.Value, Deleted: r.Value == nil, Offset: r.Offset}
}

func decodeRecord(m *peerpb.Record) Record {
	r := Record{Key: string(m.GetKey()), Offset: m.GetOffset()}
	if !m.GetDeleted() {
		r.Value = append([]byte{}, m.GetValue()...)
	}
	return r
}

// compressRecords encodes records. They are much alike, so that they become several
// times smaller, and a parent on a slow link can serve its children in time.
func compressRecords(records []Record, level int) []byte {
	list := &peerpb.ListedRecords{}
	for _, r := range records {
		list.Records = append(list.Records, encodeRecord(r))
	}
	content, err := proto.Marshal(list)
	if err != nil {
		return nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, level)
	if err != nil {
		return nil
	}
	// Writing to a buffer does not fail.
	_, _ = w.Write(content)
	_ = w.Close()
	return compressed.Bytes()
}

func decompressRecords(compressed []byte) ([]Record, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxListingContentBytes))
	if err != nil {
		return nil, err
	}
	var list peerpb.ListedRecords
	if err := proto.Unmarshal(content, &list); err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(list.GetRecords()))
	for _, m := range list.GetRecords() {
		records = append(records, decodeRecord(m))
	}
	return records, nil
}
