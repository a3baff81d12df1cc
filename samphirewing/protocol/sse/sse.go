// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// ContentType is the media type of an event stream.
const ContentType = "text/event-stream"

// MaxLineBytes is the maximum line length that a Reader accepts.
const MaxLineBytes = 1 << 20

// ErrLineTooLong is returned for a line longer than MaxLineBytes.
const ErrLineTooLong = errors.ConstError("event line over the limit; close the stream")

// Event is one server-sent event.
type Event struct {
	// ID is zero if the event has none.
	ID uint64
	// Name is the event type, empty for the default type "message".
	Name string
	Data []byte
}

// AppendEvent appends the wire form of an event. Data must not contain a
// newline.
func AppendEvent(dst []byte, e Event) []byte {
	if e.Name != "" {
		dst = append(dst, "event: "...)
		dst = append(dst, e.Name...)
		dst = append(dst, '\n')
	}
	if e.ID != 0 {
		dst = append(dst, "id: "...)
		dst = strconv.AppendUint(dst, e.ID, 10)
		dst = append(dst, '\n')
	}
	dst = append(dst, "data: "...)
	dst = append(dst, e.Data...)
	return append(dst, "\n\n"...)
}

// AppendComment appends a comment line, which readers ignore. It serves as a
// keep-alive.
func AppendComment(dst []byte, text string) []byte {
	dst = append(dst, ": "...)
	dst = append(dst, text...)
	return append(dst, "\n\n"...)
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a Reader of the stream r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxLineBytes)
	return &Reader{lines: lines}
}

// Next returns the next event with data, skipping comments. It returns io.EOF at
// the end of the stream and io.ErrUnexpectedEOF if the stream ends inside an
// event.
func (r *Reader) Next() (Event, error) {
	var e Event
	inEvent, hasData := false, false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e, inEvent = Event{}, false
			continue
		}
		inEvent = inEvent || line[0] != ':'
		if field, value := splitField(line); field == "data" {
			e.Data = appendData(e.Data, value, hasData)
			hasData = true
		} else {
			e.setField(field, value)
		}
	}
	return Event{}, r.endError(inEvent)
}

func (r *Reader) endError(inEvent bool) error {
	err := r.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Trace(ErrLineTooLong)
	case err != nil:
		return errors.Trace(err)
	case inEvent:
		return io.ErrUnexpectedEOF
	default:
		return io.EOF
	}
}

func splitField(line []byte) (string, []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	return string(field), bytes.TrimPrefix(value, []byte(" "))
}

func appendData(data, value []byte, hasData bool) []byte {
	if hasData {
		data = append(data, '\n')
	}
	return append(data, value...)
}

func (e *Event) setField(field string, value []byte) {
	switch field {
	case "event":
		e.Name = string(value)
	case "id":
		if id, err := strconv.ParseUint(string(value), 10, 64); err == nil {
			e.ID = id
		}
	}
}
