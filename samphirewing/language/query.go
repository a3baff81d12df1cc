package language

import (
	"slices"
	"sort"
)

// Subject is the name of a table that can be queried.
type Subject string

// Subjects read from the current configuration.
const (
	SubjectTiers         Subject = "tiers"
	SubjectOrganisations Subject = "organisations"
	SubjectPools         Subject = "pools"
	SubjectEndpoints     Subject = "endpoints"
	SubjectServices      Subject = "services"
	SubjectModels        Subject = "models"
	SubjectSettings      Subject = "settings"
)

// Subjects whose rows the daemons return.
const (
	SubjectDaemons  Subject = "daemons"
	SubjectRunning  Subject = "running"
	SubjectWaiting  Subject = "waiting"
	SubjectRefused  Subject = "refused"
	SubjectBookings Subject = "bookings"
	SubjectLoads    Subject = "loads"
	SubjectOwners   Subject = "owners"
	SubjectLeases   Subject = "leases"
	SubjectHistory  Subject = "history"
	// SubjectDecisions has the decisions on one request. Only explain queries
	// it.
	SubjectDecisions Subject = "decisions"
)

type subjectSpec struct {
	columns []Column
	// declared is set for subjects read from the configuration.
	declared    bool
	description string
}

var subjects = map[Subject]subjectSpec{
	SubjectTiers: {declared: true, description: "classes of urgency", columns: []Column{
		{"name", KindText}, {"rank", KindInteger}, {"deadline", KindDuration}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectOrganisations: {declared: true, description: "customers", columns: []Column{
		{"name", KindText}, {"weight", KindNumber}, {"tiers", KindText}, {"token", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectPools: {declared: true, description: "pools of endpoints", columns: []Column{
		{"name", KindText}, {"queue", KindInteger}, {"shards", KindInteger}, {"preempt", KindBool}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectEndpoints: {declared: true, description: "declared endpoints", columns: []Column{
		{"name", KindText}, {"pool", KindText}, {"address", KindText}, {"domain", KindText}, {"class", KindText},
		{"fencing", KindBool}, {"drained", KindBool}, {"serves", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectServices: {declared: true, description: "plain services", columns: []Column{
		{"name", KindText}, {"pool", KindText}, {"repeatable", KindBool}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectModels: {declared: true, description: "which pool serves which model", columns: []Column{
		{"name", KindText}, {"pool", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectSettings: {declared: true, description: "values that all daemons share", columns: []Column{
		{"name", KindText}, {"value", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectDaemons: {description: "daemons as they see themselves", columns: []Column{
		{"daemon", KindText}, {"incarnation", KindText}, {"domain", KindText}, {"address", KindText}, {"ready", KindBool},
		{"leaving", KindBool}, {"revision", KindInteger}, {"held", KindInteger}, {"uptime", KindDuration},
	}},
	SubjectRunning: {description: "requests on an endpoint", columns: []Column{
		{"request", KindText}, {"organisation", KindText}, {"tier", KindText}, {"target", KindText}, {"pool", KindText},
		{"endpoint", KindText}, {"entry", KindText}, {"age", KindDuration}, {"deadline_in", KindDuration}, {"output_tokens", KindInteger},
	}},
	SubjectWaiting: {description: "requests that wait for an endpoint", columns: []Column{
		{"request", KindText}, {"organisation", KindText}, {"tier", KindText}, {"target", KindText}, {"pool", KindText},
		{"entry", KindText}, {"age", KindDuration}, {"deadline_in", KindDuration}, {"prompt_tokens", KindInteger},
	}},
	SubjectRefused: {description: "requests lately refused, with the reason", columns: []Column{
		{"request", KindText}, {"at", KindTime}, {"organisation", KindText}, {"tier", KindText}, {"target", KindText},
		{"outcome", KindText}, {"reason", KindText}, {"remedy", KindText}, {"entry", KindText},
	}},
	SubjectBookings: {description: "keys of calls that may not be repeated", columns: []Column{
		{"service", KindText}, {"key", KindText}, {"outcome", KindText}, {"entry", KindText}, {"issued", KindTime}, {"age", KindDuration},
	}},
	SubjectLoads: {description: "endpoints as the pool's owner sees them", columns: []Column{
		{"endpoint", KindText}, {"pool", KindText}, {"owner", KindText}, {"listed", KindBool}, {"leaving", KindBool}, {"drained", KindBool},
		{"state", KindText}, {"running", KindInteger}, {"in_flight", KindInteger}, {"window", KindInteger},
	}},
	SubjectOwners: {description: "which daemon owns which pool shard", columns: []Column{
		{"pool", KindText}, {"shard", KindInteger}, {"owner", KindText}, {"incarnation", KindText}, {"waiting", KindInteger}, {"running", KindInteger},
	}},
	SubjectLeases: {description: "leases on orders to engines", columns: []Column{
		{"endpoint", KindText}, {"holder", KindText}, {"fencing", KindInteger}, {"expires_in", KindDuration},
	}},
	SubjectHistory: {description: "changes of the configuration", columns: []Column{
		{"revision", KindInteger}, {"at", KindTime}, {"author", KindText}, {"accepted", KindBool}, {"statement", KindText}, {"reason", KindText}, {"change", KindText},
	}},
	SubjectDecisions: {description: "decisions on one request", columns: []Column{
		{"at", KindTime}, {"decision", KindText}, {"reason", KindText}, {"chosen", KindText}, {"place", KindInteger},
		{"endpoint", KindText}, {"removed_by", KindText}, {"estimate", KindDuration}, {"scores", KindText},
	}},
}

// Columns returns the columns of the subject, in the order of the cells of a
// row.
func (s Subject) Columns() []Column { return subjects[s].columns }

// Declared reports whether the subject is read from the current configuration.
// All daemons are queried for the other subjects.
func (s Subject) Declared() bool { return subjects[s].declared }

// About returns a short description of the subject's rows.
func (s Subject) About() string { return subjects[s].description }

// Subjects returns the subjects that show accepts, sorted by name.
func Subjects() []Subject {
	var all []Subject
	for s := range subjects {
		if s != SubjectDecisions {
			all = append(all, s)
		}
	}
	slices.Sort(all)
	return all
}

// Query selects rows of one subject.
type Query struct {
	Subject Subject
	// Request is the ID of the request in a query of SubjectDecisions.
	Request string
	// Where is nil to select all rows.
	Where Condition
	Order []OrderBy
	// Limit is the maximum number of rows; zero means no limit.
	Limit int
	// statement is the equivalent show statement, in which a query is sent to
	// other daemons.
	statement string
}

// OrderBy is one sort key: the index of a column and the direction.
type OrderBy struct {
	Column     int
	Descending bool
}

// Condition is a predicate on rows.
type Condition interface {
	Matches(row Row) bool
}

// Comparison compares the cell of one column with a value.
type Comparison struct {
	Column   int
	Operator Operator
	Value    Value
}

// Operator is the operator of a Comparison.
type Operator string

// The operators.
const (
	OperatorEqual          Operator = "="
	OperatorNotEqual       Operator = "!="
	OperatorLess           Operator = "<"
	OperatorLessOrEqual    Operator = "<="
	OperatorGreater        Operator = ">"
	OperatorGreaterOrEqual Operator = ">="
	OperatorContains       Operator = "contains"
)

// Matches reports whether the comparison holds for the row. An empty cell
// matches only "!=".
func (c Comparison) Matches(row Row) bool {
	cell := row[c.Column]
	if c.Operator == OperatorContains {
		return cell.contains(c.Value)
	}
	if cell.IsEmpty() {
		return c.Operator == OperatorNotEqual
	}
	order := cell.Compare(c.Value)
	switch c.Operator {
	case OperatorEqual:
		return order == 0
	case OperatorNotEqual:
		return order != 0
	case OperatorLess:
		return order < 0
	case OperatorLessOrEqual:
		return order <= 0
	case OperatorGreater:
		return order > 0
	default:
		return order >= 0
	}
}

// All is the conjunction of conditions.
type All []Condition

// Matches reports whether every condition matches the row.
func (a All) Matches(row Row) bool {
	for _, c := range a {
		if !c.Matches(row) {
			return false
		}
	}
	return true
}

// Any is the disjunction of conditions.
type Any []Condition

// Matches reports whether at least one condition matches the row.
func (a Any) Matches(row Row) bool {
	for _, c := range a {
		if c.Matches(row) {
			return true
		}
	}
	return false
}

// Not is the negation of a condition.
type Not struct{ Condition Condition }

// Matches reports whether the negated condition does not match the row.
func (n Not) Matches(row Row) bool { return !n.Condition.Matches(row) }

// Select filters, sorts and limits the rows. It does not modify the slice that
// it is given.
func (q Query) Select(rows []Row) []Row {
	selected := make([]Row, 0, len(rows))
	for _, r := range rows {
		if q.Where == nil || q.Where.Matches(r) {
			selected = append(selected, r)
		}
	}
	if len(q.Order) > 0 {
		sort.SliceStable(selected, func(i, j int) bool { return q.less(selected[i], selected[j]) })
	}
	if q.Limit > 0 && len(selected) > q.Limit {
		selected = selected[:q.Limit]
	}
	return selected
}

func (q Query) less(a, b Row) bool {
	for _, o := range q.Order {
		order := a[o.Column].Compare(b[o.Column])
		if order == 0 {
			continue
		}
		return (order < 0) != o.Descending
	}
	return false
}
