package sse

import "bytes"

// Splitter splits a byte stream at event boundaries without changing it, so that
// a relay never forwards a partial event.
type Splitter struct {
	pending []byte
}

// Add appends the next bytes of the stream and returns the bytes up to the end
// of the last complete event, or nil. The result is valid until the next call.
func (s *Splitter) Add(p []byte) []byte {
	// The two line ends of a boundary may arrive in different calls.
	s.pending = append(s.pending, p...)
	end := lastBoundary(s.pending)
	if end == 0 {
		return nil
	}
	complete := s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	return complete
}

// lastBoundary returns the offset after the last event boundary, or 0.
func lastBoundary(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// Pending returns how many bytes of an incomplete event are buffered.
func (s *Splitter) Pending() int { return len(s.pending) }
