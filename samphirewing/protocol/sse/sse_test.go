package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestEventsRoundTrip(t *testing.T) {
	events := []Event{
		{ID: 1, Data: []byte(`{"a":1}`)},
		{Name: "error", Data: []byte("x")},
		{ID: 18446744073709551615, Name: "n", Data: []byte("[DONE]")},
	}
	var wire []byte
	for _, e := range events {
		wire = AppendComment(wire, "keep-alive")
		wire = AppendEvent(wire, e)
	}
	r := NewReader(bytes.NewReader(wire))
	for _, want := range events {
		got, err := r.Next()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
	_, err := r.Next()
	assert.Equal(t, err, io.EOF)
}

func TestTruncatedEventReturnsUnexpectedEOF(t *testing.T) {
	_, err := NewReader(strings.NewReader("id: 1\ndata: cut")).Next()
	assert.Equal(t, err, io.ErrUnexpectedEOF)
}

func TestReaderRejectsLongLine(t *testing.T) {
	_, err := NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxLineBytes))).Next()
	assert.Assert(t, errors.Is(err, ErrLineTooLong))
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("event: a\nid: 7\ndata: b\ndata: c\n\n: x\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data\n\n:\n\nid: -1\ndata:\n\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		r := NewReader(bytes.NewReader(wire))
		for range len(wire) + 1 {
			e, err := r.Next()
			if err != nil {
				return
			}
			assert.Assert(t, len(e.Data) <= len(wire))
		}
		t.Fatal("more events than bytes")
	})
}
