package sse

import "bytes"

// Splitter cuts a stream of bytes into whole events without changing them, so
// that a relay never passes on a part of an event.
type Splitter struct {
	pending []byte
	lastID  string
}

// Add takes in the next bytes and returns those that end whole events. The
// result is valid until the next call.
func (s *Splitter) Add(p []byte) []byte {
	// A boundary may lie across the seam, one line end on each side.
	s.pending = append(s.pending, p...)
	end := lastBoundary(s.pending)
	if end == 0 {
		return nil
	}
	whole := s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	s.noteIDs(whole)
	return whole
}

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

func (s *Splitter) noteIDs(events []byte) {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			s.lastID = string(bytes.TrimSpace(value))
		}
	}
}

// Pending returns how many bytes of an unfinished event are held.
func (s *Splitter) Pending() int { return len(s.pending) }

// LastID returns the ID of the last whole event that carried one.
func (s *Splitter) LastID() string { return s.lastID }
