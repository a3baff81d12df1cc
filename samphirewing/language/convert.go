package language

import (
	"strconv"
	"strings"
	"time"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	defaultWatchInterval = 2 * time.Second
	minWatchInterval     = 200 * time.Millisecond
	// decisionTimeColumn is the column "at" of SubjectDecisions.
	decisionTimeColumn = 0
)

// converter turns parsed nodes into typed statements.
type converter struct{ text string }

func fault(at *wordNode, detail, remedy string) *Error {
	return &Error{Position: toPosition(at.Pos), Detail: detail, Remedy: remedy}
}

// value returns what a word stands for: itself, or what its quotes enclose.
func (w *wordNode) value() string {
	if !strings.HasPrefix(w.Text, "'") {
		return w.Text
	}
	return strings.ReplaceAll(w.Text[1:len(w.Text)-1], "''", "'")
}

// name returns a word that must be an object's name.
func (w *wordNode) name() (string, *Error) {
	name := w.value()
	if detail := catalogue.InvalidNameReason(name); detail != "" {
		return "", fault(w, detail, "choose another name")
	}
	return name, nil
}

func (c converter) statement(n *statementNode) (Statement, *Error) {
	o := origin{position: toPosition(n.Pos), source: c.source(n)}
	if n.DryRun && !n.changes() {
		return nil, &Error{Position: o.position, Detail: "dry run stands before a statement that changes nothing", Remedy: "use it before a change or as `begin dry run`"}
	}
	base := change{origin: o, dryRun: n.DryRun}
	switch {
	case n.Begin != nil:
		return Begin{origin: o, DryRun: n.Begin.DryRun}, nil
	case n.Commit != nil:
		return Commit{origin: o, NoWait: n.Commit.NoWait}, nil
	case n.Abort:
		return Abort{origin: o}, nil
	case n.Write != nil:
		return c.write(base, n.Write)
	case n.Drop != nil:
		return c.drop(base, n.Drop)
	case n.Serve != nil:
		return c.serve(base, n.Serve)
	case n.Drain != nil:
		return c.drain(base, n.Drain)
	case n.Set != nil:
		return c.set(base, n.Set)
	case n.Resolve != nil:
		return c.resolve(o, n.Resolve)
	case n.Show != nil:
		query, err := c.query(n.Show)
		return Show{origin: o, Query: query}, err
	case n.Explain != nil:
		return c.explain(o, n.Explain)
	case n.Watch != nil:
		return c.watch(o, n.Watch)
	default:
		return c.help(o, n.Help), nil
	}
}

func (n *statementNode) changes() bool {
	return n.Write != nil || n.Drop != nil || n.Serve != nil || n.Drain != nil || n.Set != nil
}

// source returns the statement's text with secret values hidden.
func (c converter) source(n *statementNode) string {
	text := c.text[n.Pos.Offset:n.EndPos.Offset]
	if n.Write == nil {
		return strings.TrimSpace(text)
	}
	kind, _ := findKind(n.Write.Kind.value())
	for i := len(n.Write.Properties) - 1; i >= 0; i-- {
		p := n.Write.Properties[i]
		if spec, known := kind.find(p.Name.value()); !known || !spec.secret {
			continue
		}
		first, last := p.Values[0], p.Values[len(p.Values)-1]
		from := first.Pos.Offset - n.Pos.Offset
		to := last.Pos.Offset - n.Pos.Offset + len(last.Text)
		text = text[:from] + "'***'" + text[to:]
	}
	return strings.TrimSpace(text)
}

func (c converter) expect(base *change, revision *wordNode) *Error {
	if revision == nil {
		return nil
	}
	n, err := strconv.ParseInt(revision.value(), 10, 64)
	if err != nil || n < 0 {
		return fault(revision, "the revision is not a whole number", "take it from the column revision of `show`")
	}
	r := configstore.Revision(n)
	base.expected = &r
	return nil
}

func (c converter) write(base change, n *writeNode) (Statement, *Error) {
	kind, ok := findKind(n.Kind.value())
	if !ok {
		return nil, fault(n.Kind, "unknown kind of object "+Quote(n.Kind.value()), suggest(n.Kind.value(), kindNames()))
	}
	name, err := n.Name.name()
	if err != nil {
		return nil, err
	}
	base.key = kind.kind.Key(name)
	if err := c.expect(&base, n.Revision); err != nil {
		return nil, err
	}
	properties, err := c.properties(kind, n.Properties)
	if err != nil {
		return nil, err
	}
	if strings.EqualFold(n.Verb, "alter") {
		if len(properties) == 0 {
			return nil, fault(n.Name, "nothing is altered", "name a property and its value: "+joinOr(kind.propertyNames()))
		}
		return Alter{change: base, Kind: kind.kind, Properties: properties}, nil
	}
	for _, spec := range kind.properties {
		if spec.required && !hasProperty(properties, spec.name) {
			return nil, fault(n.Name, "a new "+string(kind.kind)+" needs "+spec.name, "add `"+spec.name+" "+spec.usage+"`")
		}
	}
	return Create{change: base, Object: kind.setProperties(kind.fresh(name), properties)}, nil
}

func hasProperty(properties []Property, name string) bool {
	for _, p := range properties {
		if p.Name == name {
			return true
		}
	}
	return false
}

// properties checks each value on a scratch object.
func (c converter) properties(kind kindSpec, nodes []*propertyNode) ([]Property, *Error) {
	properties := make([]Property, 0, len(nodes))
	scratch := kind.fresh("scratch")
	for _, n := range nodes {
		spec, ok := kind.find(n.Name.value())
		if !ok {
			return nil, fault(n.Name, "a "+string(kind.kind)+" has no property "+Quote(n.Name.value()), suggest(n.Name.value(), kind.propertyNames()))
		}
		if hasProperty(properties, spec.name) {
			return nil, fault(n.Name, spec.name+" is given twice", "give each property once")
		}
		if len(n.Values) > 1 && !spec.list {
			return nil, fault(n.Values[1], spec.name+" takes one value", "write `"+spec.name+" "+spec.usage+"`")
		}
		p := Property{Position: toPosition(n.Name.Pos), Name: spec.name}
		for _, v := range n.Values {
			p.Values = append(p.Values, v.value())
		}
		var err error
		if scratch, err = spec.set(scratch, p.Values); err != nil {
			return nil, fault(n.Values[0], err.Error(), "write `"+spec.name+" "+spec.usage+"`")
		}
		properties = append(properties, p)
	}
	return properties, nil
}

func (c converter) drop(base change, n *dropNode) (Statement, *Error) {
	word := strings.ToLower(n.Kind.value())
	kind, ok := droppable[word]
	if spec, found := findKind(word); found {
		kind, ok = spec.kind, true
	}
	if !ok {
		return nil, fault(n.Kind, "unknown kind of object "+Quote(word), suggest(word, append(kindNames(), "model", "setting")))
	}
	name, err := n.Name.name()
	if err != nil {
		return nil, err
	}
	if err := c.expect(&base, n.Revision); err != nil {
		return nil, err
	}
	base.key = kind.Key(name)
	return Drop{change: base}, nil
}

func (c converter) serve(base change, n *serveNode) (Statement, *Error) {
	model, err := n.Model.name()
	if err != nil {
		return nil, err
	}
	pool, err := n.Pool.name()
	if err != nil {
		return nil, err
	}
	if err := c.expect(&base, n.Revision); err != nil {
		return nil, err
	}
	s := catalogue.Serving{Model: structs.Target(model), Pool: structs.PoolName(pool)}
	base.key = s.Key()
	return Serve{change: base, Serving: s}, nil
}

func (c converter) drain(base change, n *drainNode) (Statement, *Error) {
	name, err := n.Name.name()
	if err != nil {
		return nil, err
	}
	if err := c.expect(&base, n.Revision); err != nil {
		return nil, err
	}
	base.key = catalogue.KindEndpoint.Key(name)
	return Drain{change: base, Drained: strings.EqualFold(n.Verb, "drain")}, nil
}

func (c converter) set(base change, n *setNode) (Statement, *Error) {
	name, err := n.Name.name()
	if err != nil {
		return nil, err
	}
	if err := c.expect(&base, n.Revision); err != nil {
		return nil, err
	}
	s := catalogue.Setting{Name: name, Value: n.Value.value()}
	base.key = s.Key()
	return Set{change: base, Setting: s}, nil
}

func (c converter) resolve(o origin, n *resolveNode) (Statement, *Error) {
	service, err := n.Service.name()
	if err != nil {
		return nil, err
	}
	outcomes := []structs.Outcome{structs.OutcomeDone, structs.OutcomeFailed, structs.OutcomeNotRun}
	words := make([]string, 0, len(outcomes))
	for _, outcome := range outcomes {
		if strings.EqualFold(outcome.String(), n.Outcome.value()) {
			return Resolve{origin: o, Service: structs.Target(service), Key: n.Key.value(), Outcome: outcome}, nil
		}
		words = append(words, outcome.String())
	}
	return nil, fault(n.Outcome, "a booking can't be resolved as "+Quote(n.Outcome.value()), suggest(n.Outcome.value(), words))
}

func (c converter) explain(o origin, n *explainNode) (Statement, *Error) {
	whats := []string{"request", "refusal", "placement"}
	for _, what := range whats {
		if strings.EqualFold(what, n.What.value()) {
			byTime := []OrderBy{{Column: decisionTimeColumn}}
			return Explain{origin: o, Query: Query{Subject: SubjectDecisions, Request: n.ID.value(), Order: byTime}}, nil
		}
	}
	return nil, fault(n.What, "can't explain "+Quote(n.What.value()), suggest(n.What.value(), whats))
}

func (c converter) watch(o origin, n *watchNode) (Statement, *Error) {
	query, err := c.query(n.Show)
	if err != nil {
		return nil, err
	}
	w := Watch{origin: o, Query: query, Every: defaultWatchInterval}
	if n.Every == nil {
		return w, nil
	}
	every, parseErr := time.ParseDuration(n.Every.value())
	if parseErr != nil || every < minWatchInterval {
		return nil, fault(n.Every, "the interval is not a duration of 200ms or more", "write for example `every 2s`")
	}
	w.Every = every
	return w, nil
}

func (c converter) help(o origin, n *helpNode) Statement {
	h := Help{origin: o}
	if n.Topic != nil {
		h.Topic = strings.ToLower(n.Topic.value())
	}
	return h
}
