package language

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/samphirewing/protocol/querypb"
)

// ErrIncompatibleQuery is returned for a query or rows that this release cannot
// decode, usually because the peer runs another release.
const ErrIncompatibleQuery = errors.ConstError("query of another release can't be read; upgrade the older daemon")

// EncodeQuery returns the wire form of a query sent to other daemons.
func EncodeQuery(q Query) ([]byte, error) {
	data, err := proto.Marshal(&querypb.Query{Subject: string(q.Subject), Request: q.Request, Statement: q.statement})
	return data, errors.Trace(err)
}

// DecodeQuery decodes a query received from another daemon. It returns
// ErrIncompatibleQuery when the query names a subject or column that this
// release does not know.
func DecodeQuery(data []byte) (Query, error) {
	var m querypb.Query
	if err := proto.Unmarshal(data, &m); err != nil {
		return Query{}, errors.Wrap(err, ErrIncompatibleQuery)
	}
	q := Query{Subject: Subject(m.Subject), Request: m.Request}
	if _, known := subjects[q.Subject]; !known {
		return Query{}, errors.Annotatef(ErrIncompatibleQuery, "subject %q", m.Subject)
	}
	if m.Statement == "" {
		return q, nil
	}
	statements, err := Parse(m.Statement)
	if err != nil || len(statements) != 1 {
		return Query{}, errors.Annotatef(ErrIncompatibleQuery, "statement %q", m.Statement)
	}
	show, ok := statements[0].(Show)
	if !ok || show.Query.Subject != q.Subject {
		return Query{}, errors.Annotatef(ErrIncompatibleQuery, "statement %q", m.Statement)
	}
	return show.Query, nil
}

// EncodeRows returns the wire form of rows sent to other daemons.
func EncodeRows(rows []Row) ([]byte, error) {
	m := &querypb.Rows{Rows: make([]*querypb.Row, 0, len(rows))}
	for _, row := range rows {
		cells := make([]*querypb.Cell, 0, len(row))
		for _, v := range row {
			cells = append(cells, &querypb.Cell{Kind: int32(v.kind), Text: v.text, Integer: v.integer, Number: v.number})
		}
		m.Rows = append(m.Rows, &querypb.Row{Cells: cells})
	}
	data, err := proto.Marshal(m)
	return data, errors.Trace(err)
}

// DecodeRows decodes rows of a subject. Columns that the sender did not send
// are empty; surplus columns of a newer sender are ignored.
func DecodeRows(s Subject, data []byte) ([]Row, error) {
	var m querypb.Rows
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, ErrIncompatibleQuery)
	}
	width := len(s.Columns())
	rows := make([]Row, 0, len(m.Rows))
	for _, r := range m.Rows {
		row := make(Row, width)
		for i, c := range r.Cells[:min(width, len(r.Cells))] {
			row[i] = Value{kind: ValueKind(c.Kind), text: c.Text, integer: c.Integer, number: c.Number}
		}
		rows = append(rows, row)
	}
	return rows, nil
}
