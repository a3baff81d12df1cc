package sse

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// ErrOutOfSequence is returned for an event that does not follow the ones before it.
const ErrOutOfSequence = errors.ConstError("the event has no id or not a higher one than the event before; the bytes are no part of the stream")

// Sequence checks that the events of a stream, which may come from several endpoints,
// have increasing ids. Streams whose events have no ids are not checked, and neither
// are ids that are no numbers.
type Sequence struct {
	lastID string
	last   uint64
	number bool
}

// LastID returns the id of the last event, or an empty string.
func (s *Sequence) LastID() string { return s.lastID }

// Add returns the part of the complete events that continues the stream, and
// ErrOutOfSequence if it is not all.
func (s *Sequence) Add(events []byte) ([]byte, error) {
	for start := 0; start < len(events); {
		event := events[start : start+firstBoundary(events[start:])]
		if !s.follows(event) {
			return events[:start], ErrOutOfSequence
		}
		start += len(event)
	}
	return events, nil
}

// firstBoundary returns the offset after the first event boundary.
func firstBoundary(p []byte) int {
	end := len(p)
	if i := bytes.Index(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(p[:end], []byte("\n\r\n")); i >= 0 {
		end = i + 3
	}
	return end
}

// follows records the id of an event, and reports whether it continues the stream.
func (s *Sequence) follows(event []byte) bool {
	id, comment := "", true
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		comment = comment && (line[0] == ':' || len(bytes.TrimSpace(line)) == 0)
	}
	if id == "" {
		return comment || s.lastID == ""
	}
	n, err := strconv.ParseUint(id, 10, 64)
	number := err == nil
	if number && s.number && n <= s.last {
		return false
	}
	s.lastID, s.last, s.number = id, n, number
	return true
}
