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
		return q, errorAt(n.Subject, "nothing to show under "+Quote(n.Subject.value()), suggest(n.Subject.value(), subjectNames()))
	}
	var err *Error
	if n.Where != nil {
		if q.Where, err = c.disjunction(spec.columns, n.Where); err != nil {
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
		return 0, errorAt(n, "the limit is not a whole number above 0", "write for example `limit 20`")
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
	return 0, errorAt(n, "no column "+Quote(n.value()), suggest(n.value(), names))
}

func (c converter) disjunction(columns []Column, n *orNode) (Condition, *Error) {
	conditions, err := convertConditions(columns, n.Any, c.conjunction)
	if err != nil || len(conditions) > 1 {
		return Any(conditions), err
	}
	return conditions[0], nil
}

func (c converter) conjunction(columns []Column, n *andNode) (Condition, *Error) {
	conditions, err := convertConditions(columns, n.All, c.term)
	if err != nil || len(conditions) > 1 {
		return All(conditions), err
	}
	return conditions[0], nil
}

// convertConditions converts each node. The grammar guarantees at least one.
func convertConditions[N any](columns []Column, nodes []N, convert func([]Column, N) (Condition, *Error)) ([]Condition, *Error) {
	conditions := make([]Condition, 0, len(nodes))
	for _, n := range nodes {
		condition, err := convert(columns, n)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, condition)
	}
	return conditions, nil
}

func (c converter) term(columns []Column, n *termNode) (Condition, *Error) {
	var condition Condition
	var err *Error
	if n.Group != nil {
		condition, err = c.disjunction(columns, n.Group)
	} else {
		condition, err = c.comparison(columns, n.Compare)
	}
	if err != nil || !n.Not {
		return condition, err
	}
	return Not{Condition: condition}, nil
}

func (c converter) comparison(columns []Column, n *compareNode) (Condition, *Error) {
	column, err := findColumn(columns, n.Column)
	if err != nil {
		return nil, err
	}
	kind := columns[column].Kind
	operator := Operator(strings.ToLower(n.Operator))
	if operator == OperatorContains && kind != KindText {
		return nil, errorAt(n.Column, columns[column].Name+" is not text", "use =, !=, <, <=, > or >=")
	}
	value, parseErr := ParseValue(kind, n.Value.value())
	if parseErr != nil {
		return nil, errorAt(n.Value, parseErr.Error(), "give a value of the kind that column "+columns[column].Name+" holds")
	}
	return Comparison{Column: column, Operator: operator, Value: value}, nil
}
