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

// MaxLineBytes bounds one line that a Reader accepts.
const MaxLineBytes = 1 << 20

// ErrLineTooLong means that the sender broke MaxLineBytes.
const ErrLineTooLong = errors.ConstError("event line over the limit; close the stream")

// Event is one server-sent event.
type Event struct {
	// ID is zero when the event carried none.
	ID uint64
	// Name is empty for an ordinary message.
	Name string
	Data []byte
}

// AppendEvent appends the wire form of an event. Data must not hold a newline.
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

// AppendComment appends a comment line, which readers pass over. It serves as
// a keep-alive.
func AppendComment(dst []byte, text string) []byte {
	dst = append(dst, ": "...)
	dst = append(dst, text...)
	return append(dst, "\n\n"...)
}

// Reader reads events. It is not safe for use by several goroutines.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a Reader of a stream.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxLineBytes)
	return &Reader{lines: lines}
}

// Next returns the next event that carries data, passing over comments. It
// returns io.EOF at a clean end and io.ErrUnexpectedEOF inside an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	begun, hasData := false, false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e, begun = Event{}, false
			continue
		}
		begun = begun || line[0] != ':'
		if field, value := splitField(line); field == "data" {
			e.Data = appendData(e.Data, value, hasData)
			hasData = true
		} else {
			e.setField(field, value)
		}
	}
	return Event{}, r.endError(begun)
}

func (r *Reader) endError(inside bool) error {
	err := r.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Trace(ErrLineTooLong)
	case err != nil:
		return errors.Trace(err)
	case inside:
		return io.ErrUnexpectedEOF
	default:
		return io.EOF
	}
}

func splitField(line []byte) (string, []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	return string(field), bytes.TrimPrefix(value, []byte(" "))
}

func appendData(data, value []byte, more bool) []byte {
	if more {
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
