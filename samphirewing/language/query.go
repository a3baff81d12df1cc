package language

import (
	"slices"
	"sort"
)

// Subject names a table that can be shown.
type Subject string

// The subjects that are read from the configuration in force.
const (
	SubjectTiers         Subject = "tiers"
	SubjectOrganisations Subject = "organisations"
	SubjectPools         Subject = "pools"
	SubjectEndpoints     Subject = "endpoints"
	SubjectServices      Subject = "services"
	SubjectModels        Subject = "models"
	SubjectSettings      Subject = "settings"
)

// The subjects that daemons are asked for.
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
	// SubjectDecisions holds the decisions on one request; it is asked for
	// with explain.
	SubjectDecisions Subject = "decisions"
)

type subjectSpec struct {
	columns []Column
	// declared subjects are read from the configuration.
	declared bool
	about    string
}

var subjects = map[Subject]subjectSpec{
	SubjectTiers: {declared: true, about: "classes of urgency", columns: []Column{
		{"name", KindText}, {"rank", KindInteger}, {"deadline", KindDuration}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectOrganisations: {declared: true, about: "customers", columns: []Column{
		{"name", KindText}, {"weight", KindNumber}, {"tiers", KindText}, {"token", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectPools: {declared: true, about: "pools of endpoints", columns: []Column{
		{"name", KindText}, {"queue", KindInteger}, {"shards", KindInteger}, {"preempt", KindBool}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectEndpoints: {declared: true, about: "declared endpoints", columns: []Column{
		{"name", KindText}, {"pool", KindText}, {"address", KindText}, {"domain", KindText}, {"class", KindText},
		{"fencing", KindBool}, {"drained", KindBool}, {"serves", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectServices: {declared: true, about: "plain services", columns: []Column{
		{"name", KindText}, {"pool", KindText}, {"repeatable", KindBool}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectModels: {declared: true, about: "which pool serves which model", columns: []Column{
		{"name", KindText}, {"pool", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectSettings: {declared: true, about: "values that all daemons share", columns: []Column{
		{"name", KindText}, {"value", KindText}, {"revision", KindInteger}, {"changed_by", KindText},
	}},
	SubjectDaemons: {about: "daemons as they see themselves", columns: []Column{
		{"daemon", KindText}, {"incarnation", KindText}, {"domain", KindText}, {"address", KindText}, {"ready", KindBool},
		{"leaving", KindBool}, {"revision", KindInteger}, {"held", KindInteger}, {"uptime", KindDuration},
	}},
	SubjectRunning: {about: "requests on an endpoint", columns: []Column{
		{"request", KindText}, {"organisation", KindText}, {"tier", KindText}, {"target", KindText}, {"pool", KindText},
		{"endpoint", KindText}, {"entry", KindText}, {"age", KindDuration}, {"deadline_in", KindDuration}, {"output_tokens", KindInteger},
	}},
	SubjectWaiting: {about: "requests that wait for an endpoint", columns: []Column{
		{"request", KindText}, {"organisation", KindText}, {"tier", KindText}, {"target", KindText}, {"pool", KindText},
		{"entry", KindText}, {"age", KindDuration}, {"deadline_in", KindDuration}, {"prompt_tokens", KindInteger},
	}},
	SubjectRefused: {about: "requests lately refused, with the reason", columns: []Column{
		{"request", KindText}, {"at", KindTime}, {"organisation", KindText}, {"tier", KindText}, {"target", KindText},
		{"outcome", KindText}, {"reason", KindText}, {"remedy", KindText}, {"entry", KindText},
	}},
	SubjectBookings: {about: "keys of calls that may not be repeated", columns: []Column{
		{"service", KindText}, {"key", KindText}, {"outcome", KindText}, {"entry", KindText}, {"issued", KindTime}, {"age", KindDuration},
	}},
	SubjectLoads: {about: "endpoints as the pool's owner sees them", columns: []Column{
		{"endpoint", KindText}, {"pool", KindText}, {"owner", KindText}, {"listed", KindBool}, {"leaving", KindBool}, {"drained", KindBool},
		{"state", KindText}, {"running", KindInteger}, {"in_flight", KindInteger}, {"window", KindInteger},
	}},
	SubjectOwners: {about: "which daemon owns which pool shard", columns: []Column{
		{"pool", KindText}, {"shard", KindInteger}, {"owner", KindText}, {"incarnation", KindText}, {"waiting", KindInteger}, {"running", KindInteger},
	}},
	SubjectLeases: {about: "leases on orders to engines", columns: []Column{
		{"endpoint", KindText}, {"holder", KindText}, {"fencing", KindInteger}, {"expires_in", KindDuration},
	}},
	SubjectHistory: {about: "changes of the configuration", columns: []Column{
		{"revision", KindInteger}, {"at", KindTime}, {"author", KindText}, {"accepted", KindBool}, {"statement", KindText}, {"reason", KindText}, {"change", KindText},
	}},
	SubjectDecisions: {about: "decisions on one request", columns: []Column{
		{"at", KindTime}, {"decision", KindText}, {"reason", KindText}, {"chosen", KindText}, {"place", KindInteger},
		{"endpoint", KindText}, {"removed_by", KindText}, {"estimate", KindDuration}, {"scores", KindText},
	}},
}

// Columns returns the columns of a subject, in the order that rows have.
func (s Subject) Columns() []Column { return subjects[s].columns }

// Declared reports whether the subject is read from the configuration in
// force; other subjects are asked of all daemons.
func (s Subject) Declared() bool { return subjects[s].declared }

// About says in a few words what the subject's rows are.
func (s Subject) About() string { return subjects[s].about }

// Subjects returns the subjects that show knows, by name.
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

// Query asks for the rows of one subject.
type Query struct {
	Subject Subject
	// Request is the request that decisions are asked for.
	Request string
	// Where is nil when all rows are wanted.
	Where Condition
	Order []OrderBy
	// Limit is the most rows wanted; zero means all.
	Limit int
	// statement is the show statement that says the same.
	statement string
}

// OrderBy sorts by one column.
type OrderBy struct {
	Column     int
	Descending bool
}

// Condition decides whether a row is wanted.
type Condition interface {
	Holds(row Row) bool
}

// Comparison compares one cell with a value.
type Comparison struct {
	Column   int
	Operator Operator
	Value    Value
}

// Operator is a comparison's operator.
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

// Holds compares the row's cell.
func (c Comparison) Holds(row Row) bool {
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

// All holds when each part holds.
type All []Condition

// Holds asks each part.
func (a All) Holds(row Row) bool {
	for _, c := range a {
		if !c.Holds(row) {
			return false
		}
	}
	return true
}

// Any holds when one part holds.
type Any []Condition

// Holds asks each part.
func (a Any) Holds(row Row) bool {
	for _, c := range a {
		if c.Holds(row) {
			return true
		}
	}
	return false
}

// Not holds when its part does not.
type Not struct{ Part Condition }

// Holds asks the part.
func (n Not) Holds(row Row) bool { return !n.Part.Holds(row) }

// Select returns the wanted rows in the wanted order. It does not change the
// rows that it is given.
func (q Query) Select(rows []Row) []Row {
	selected := make([]Row, 0, len(rows))
	for _, r := range rows {
		if q.Where == nil || q.Where.Holds(r) {
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
