package language

import (
	"strconv"
	"strings"
)

func (c converter) query(n *showNode) (Query, *Error) {
	q := Query{
		Subject:   Subject(strings.ToLower(n.Subject.value())),
		statement: "show " + strings.TrimSpace(c.text[n.Pos.Offset:n.EndPos.Offset]),
	}
	spec, ok := subjects[q.Subject]
	if !ok || q.Subject == SubjectDecisions {
		return q, fault(n.Subject, "nothing to show under "+Quote(n.Subject.value()), suggest(n.Subject.value(), subjectNames()))
	}
	var err *Error
	if n.Where != nil {
		if q.Where, err = c.any(spec.columns, n.Where); err != nil {
			return q, err
		}
	}
	for _, o := range n.Order {
		column, err := findColumn(spec.columns, o.Column)
		if err != nil {
			return q, err
		}
		q.Order = append(q.Order, OrderBy{Column: column, Descending: o.Descending})
	}
	q.Limit, err = c.limit(n.Limit)
	return q, err
}

func subjectNames() []string {
	var names []string
	for _, s := range Subjects() {
		names = append(names, string(s))
	}
	return names
}

func (c converter) limit(n *wordNode) (int, *Error) {
	if n == nil {
		return 0, nil
	}
	limit, err := strconv.Atoi(n.value())
	if err != nil || limit < 1 {
		return 0, fault(n, "the limit is not a whole number above 0", "write for example `limit 20`")
	}
	return limit, nil
}

func findColumn(columns []Column, n *wordNode) (int, *Error) {
	names := make([]string, 0, len(columns))
	for i, c := range columns {
		if strings.EqualFold(c.Name, n.value()) {
			return i, nil
		}
		names = append(names, c.Name)
	}
	return 0, fault(n, "no column "+Quote(n.value()), suggest(n.value(), names))
}

func (c converter) any(columns []Column, n *orNode) (Condition, *Error) {
	parts, err := convertParts(columns, n.Any, c.all)
	if err != nil || len(parts) > 1 {
		return Any(parts), err
	}
	return parts[0], nil
}

func (c converter) all(columns []Column, n *andNode) (Condition, *Error) {
	parts, err := convertParts(columns, n.All, c.term)
	if err != nil || len(parts) > 1 {
		return All(parts), err
	}
	return parts[0], nil
}

// convertParts converts each of the nodes, of which the grammar gives at
// least one.
func convertParts[N any](columns []Column, nodes []N, convert func([]Column, N) (Condition, *Error)) ([]Condition, *Error) {
	parts := make([]Condition, 0, len(nodes))
	for _, n := range nodes {
		part, err := convert(columns, n)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func (c converter) term(columns []Column, n *termNode) (Condition, *Error) {
	var part Condition
	var err *Error
	if n.Group != nil {
		part, err = c.any(columns, n.Group)
	} else {
		part, err = c.compare(columns, n.Compare)
	}
	if err != nil || !n.Not {
		return part, err
	}
	return Not{Part: part}, nil
}

func (c converter) compare(columns []Column, n *compareNode) (Condition, *Error) {
	column, err := findColumn(columns, n.Column)
	if err != nil {
		return nil, err
	}
	kind := columns[column].Kind
	operator := Operator(strings.ToLower(n.Operator))
	if operator == OperatorContains && kind != KindText {
		return nil, fault(n.Column, columns[column].Name+" is not text", "use =, !=, <, <=, > or >=")
	}
	value, parseErr := ParseValue(kind, n.Value.value())
	if parseErr != nil {
		return nil, fault(n.Value, parseErr.Error(), "give a value of the kind that column "+columns[column].Name+" holds")
	}
	return Comparison{Column: column, Operator: operator, Value: value}, nil
}
