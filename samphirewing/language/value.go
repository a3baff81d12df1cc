package language

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ValueKind is the type of a Value or of the values of a column.
type ValueKind int8

// The kinds of values.
const (
	KindText ValueKind = iota + 1
	KindInteger
	KindNumber
	KindBool
	KindDuration
	KindTime
)

// Value is one cell of a table. The zero Value is an empty cell, which sorts
// first and matches no comparison but "!=".
type Value struct {
	kind ValueKind
	text string
	// integer is the value of an integer, 0 or 1 for a boolean, nanoseconds for
	// a duration and Unix nanoseconds for a time.
	integer int64
	number  float64
}

// Text returns a text cell.
func Text[S ~string](s S) Value { return Value{kind: KindText, text: string(s)} }

// Integer returns an integer cell.
func Integer[I ~int | ~int32 | ~int64 | ~uint32 | ~uint64](i I) Value {
	return Value{kind: KindInteger, integer: int64(i)}
}

// Number returns a floating-point cell.
func Number(f float64) Value { return Value{kind: KindNumber, number: f} }

// Bool returns a boolean cell.
func Bool(b bool) Value {
	v := Value{kind: KindBool}
	if b {
		v.integer = 1
	}
	return v
}

// Duration returns a duration cell.
func Duration(d time.Duration) Value { return Value{kind: KindDuration, integer: int64(d)} }

// Time returns a time cell, empty for the zero time.
func Time(t time.Time) Value {
	if t.IsZero() {
		return Value{}
	}
	return Value{kind: KindTime, integer: t.UnixNano()}
}

// IsEmpty reports whether the cell is empty.
func (v Value) IsEmpty() bool { return v.kind == 0 }

// String returns the text of the cell in a table.
func (v Value) String() string {
	switch v.kind {
	case KindText:
		return v.text
	case KindInteger:
		return strconv.FormatInt(v.integer, 10)
	case KindNumber:
		return strconv.FormatFloat(v.number, 'g', -1, 64)
	case KindBool:
		if v.integer == 1 {
			return "yes"
		}
		return "no"
	case KindDuration:
		return time.Duration(v.integer).Round(time.Millisecond).String()
	case KindTime:
		return time.Unix(0, v.integer).UTC().Format(time.RFC3339)
	default:
		return ""
	}
}

// MarshalJSON encodes numbers and booleans as such, durations as strings such
// as "1.5s", times as RFC 3339 strings and empty cells as null.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.kind {
	case 0:
		return []byte("null"), nil
	case KindInteger:
		return strconv.AppendInt(nil, v.integer, 10), nil
	case KindNumber:
		return json.Marshal(v.number)
	case KindBool:
		return strconv.AppendBool(nil, v.integer == 1), nil
	default:
		return json.Marshal(v.String())
	}
}

// Compare compares two cells: empty cells come first, then the order is by kind,
// then by value.
func (v Value) Compare(o Value) int {
	if v.kind != o.kind {
		return cmp.Compare(v.kind, o.kind)
	}
	return cmp.Or(
		strings.Compare(v.text, o.text),
		cmp.Compare(v.integer, o.integer),
		cmp.Compare(v.number, o.number),
	)
}

// ParseValue parses a word as a value of the given kind.
func ParseValue(kind ValueKind, word string) (Value, error) {
	switch kind {
	case KindInteger:
		i, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return Value{}, errors.Errorf("%q is not a whole number", word)
		}
		return Integer(i), nil
	case KindNumber:
		f, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return Value{}, errors.Errorf("%q is not a number", word)
		}
		return Number(f), nil
	case KindBool:
		b, err := parseBool(word)
		return Bool(b), err
	case KindDuration:
		d, err := time.ParseDuration(word)
		if err != nil {
			return Value{}, errors.Errorf("%q is not a duration such as 1.5s or 200ms", word)
		}
		return Duration(d), nil
	case KindTime:
		t, err := time.Parse(time.RFC3339, word)
		if err != nil {
			return Value{}, errors.Errorf("%q is not a time such as 2026-01-31T08:15:00Z", word)
		}
		return Time(t), nil
	default:
		return Text(word), nil
	}
}

func parseBool(word string) (bool, error) {
	switch strings.ToLower(word) {
	case "yes", "on", "true":
		return true, nil
	case "no", "off", "false":
		return false, nil
	default:
		return false, errors.Errorf("%q is neither yes nor no", word)
	}
}

// Column is one column of a table.
type Column struct {
	Name string
	Kind ValueKind
}

// Row has one cell for each column of its table.
type Row []Value

// Table is a list of rows.
// Invariant: each row has as many cells as there are columns.
type Table struct {
	Columns []Column
	Rows    []Row
}

// MarshalJSON encodes the table as a list of objects, one for each row, with the
// fields in column order.
func (t Table) MarshalJSON() ([]byte, error) {
	out := []byte{'['}
	for i, row := range t.Rows {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, '{')
		for j, v := range row {
			if j > 0 {
				out = append(out, ',')
			}
			out = strconv.AppendQuote(out, t.Columns[j].Name)
			out = append(out, ':')
			cell, err := v.MarshalJSON()
			if err != nil {
				return nil, errors.Trace(err)
			}
			out = append(out, cell...)
		}
		out = append(out, '}')
	}
	return append(out, ']'), nil
}

// contains reports whether a text cell contains the substring, ignoring case.
func (v Value) contains(substring Value) bool {
	return v.kind == KindText && strings.Contains(strings.ToLower(v.text), strings.ToLower(substring.text))
}
