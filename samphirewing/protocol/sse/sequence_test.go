package sse

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against the text or the head of an error, and events that were delivered
// already, being taken for a part of a stream.
func TestSequenceEndsWhereEventsDoNotFollow(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		more, valid string
		broken      bool
	}{
		"next event":            {more: "id: 3\ndata: c\n\n", valid: "id: 3\ndata: c\n\n"},
		"ids with gaps":         {more: "id: 7\r\ndata: c\r\n\r\nid: 9\r\n\r\n", valid: "id: 7\r\ndata: c\r\n\r\nid: 9\r\n\r\n"},
		"comment":               {more: ":\n\nid: 3\n\n", valid: ":\n\nid: 3\n\n"},
		"repeated event":        {more: "id: 2\ndata: b\n\n", broken: true},
		"from the start":        {more: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n", broken: true},
		"text of an error":      {more: "the engine is full\n\n", broken: true},
		"head of an error":      {more: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n", broken: true},
		"event, then an error":  {more: "id: 3\ndata: c\n\n<html>\n\n", valid: "id: 3\ndata: c\n\n", broken: true},
		"event without an id":   {more: "data: c\n\n", broken: true},
		"id that is no number":  {more: "id: x\n\n", valid: "id: x\n\n"},
		"larger than a machine": {more: "id: 99999999999999999999\n\n", valid: "id: 99999999999999999999\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var s Sequence
			_, err := s.Add([]byte(begun))
			assert.NilError(t, err)
			valid, err := s.Add([]byte(c.more))
			assert.Equal(t, string(valid), c.valid)
			assert.Equal(t, errors.Is(err, ErrOutOfSequence), c.broken)
		})
	}
}

func TestStreamWithoutIDsIsNotChecked(t *testing.T) {
	var s Sequence
	valid, err := s.Add([]byte("data: a\n\ndata: b\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(valid), "data: a\n\ndata: b\n\n")
	assert.Equal(t, s.LastID(), "")
}
