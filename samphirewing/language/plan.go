package language

import (
	"fmt"
	"strings"

	"github.com/google/uuid"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
)

// MaxHistoryBytes bounds the text of one change in the history.
const MaxHistoryBytes = 4 << 10

// ConflictError says that an object changed since the operator read it.
type ConflictError struct {
	Position Position
	Key      configstore.Key
	Wanted   configstore.Revision
	Found    configstore.Revision
	// Author is who changed it last.
	Author string
}

// Error returns the object, who changed it, and what to do.
func (e *ConflictError) Error() string {
	if e.Found == 0 {
		return fmt.Sprintf("line %d, column %d: %s does not exist, the statement expects revision %d; look at `show history` and try again",
			e.Position.Line, e.Position.Column, e.Key, e.Wanted)
	}
	return fmt.Sprintf("line %d, column %d: %s has revision %d, changed by %s, the statement expects %d; look at it with `show` and try again with the revision found",
		e.Position.Line, e.Position.Column, e.Key, e.Found, e.Author, e.Wanted)
}

// Plan turns changing statements into one change set whose preconditions are
// the revisions that were read. Statements that open or close a change set are
// passed over. It returns an *ObjectError or *ConflictError for a change that
// does not fit the objects as they are. The caller sets Issued.
func Plan(view configstore.View, author string, statements []Statement) (configstore.ChangeSet, error) {
	p := planner{view: view, objects: make(map[configstore.Key]*plannedObject)}
	for _, s := range statements {
		switch s := s.(type) {
		case Change:
			if err := p.add(s); err != nil {
				return configstore.ChangeSet{}, err
			}
		case Begin, Commit:
		default:
			return configstore.ChangeSet{}, &Error{Position: s.Position(), Detail: "the statement changes no object of the catalogue", Remedy: "run it outside of begin and commit"}
		}
	}
	return p.changeSet(author), nil
}

// planner keeps the objects as they will stand after the statements so far.
type planner struct {
	view    configstore.View
	objects map[configstore.Key]*plannedObject
	// order holds the keys as they were first touched.
	order   []configstore.Key
	sources []string
}

type plannedObject struct {
	stored  configstore.Object
	existed bool
	// now is nil when the object does not exist after the statements so far.
	now catalogue.Object
}

func (p *planner) add(c Change) error {
	o, err := p.object(c)
	if err != nil {
		return err
	}
	if wanted, ok := c.Expected(); ok && wanted != o.stored.Revision {
		return &ConflictError{Position: c.Position(), Key: c.Target(), Wanted: wanted, Found: o.stored.Revision, Author: o.stored.Author}
	}
	next, fault := c.apply(o.now)
	if fault != nil {
		return &ObjectError{Position: c.Position(), Key: c.Target(), Detail: fault.detail, Remedy: fault.remedy}
	}
	o.now = next
	p.sources = append(p.sources, c.Source())
	return nil
}

func (p *planner) object(c Change) (*plannedObject, error) {
	key := c.Target()
	if o, ok := p.objects[key]; ok {
		return o, nil
	}
	o := &plannedObject{}
	o.stored, o.existed = p.view.Get(key)
	if o.existed {
		decoded, err := catalogue.DecodeObject(key, o.stored.Value)
		if err != nil || catalogue.HasUnknownFields(key, o.stored.Value) {
			return nil, &ObjectError{Position: c.Position(), Key: key, Detail: "was written by a newer release", Remedy: "send the statement to an upgraded daemon"}
		}
		o.now = decoded
	}
	p.objects[key] = o
	p.order = append(p.order, key)
	return o, nil
}

func (p *planner) changeSet(author string) configstore.ChangeSet {
	c := configstore.ChangeSet{
		ID:          uuid.NewString(),
		Author:      author,
		RuleVersion: catalogue.RuleVersion,
		Statement:   joinSources(p.sources),
	}
	for _, key := range p.order {
		o := p.objects[key]
		c.Requires = append(c.Requires, configstore.Precondition{Key: key, Revision: o.stored.Revision})
		switch {
		case o.now != nil:
			c.Writes = append(c.Writes, catalogue.Put(o.now))
		case o.existed:
			c.Writes = append(c.Writes, catalogue.Remove(key))
		}
	}
	return c
}

// joinSources returns the statements for the history, at most
// MaxHistoryBytes and a note on how many are left out.
func joinSources(sources []string) string {
	var b strings.Builder
	for i, source := range sources {
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		if b.Len()+len(source) > MaxHistoryBytes {
			fmt.Fprintf(&b, "... and %d more", len(sources)-i)
			break
		}
		b.WriteString(source)
	}
	return b.String()
}

var errMissing = &faultDetail{detail: "does not exist", remedy: "create it first, or look at the names with `show`"}

func (c Create) apply(current catalogue.Object) (catalogue.Object, *faultDetail) {
	if current != nil {
		return nil, &faultDetail{detail: "exists already", remedy: "use alter, or drop it first"}
	}
	return c.Object, nil
}

func (a Alter) apply(current catalogue.Object) (catalogue.Object, *faultDetail) {
	if current == nil {
		return nil, errMissing
	}
	kind, _ := findKind(string(a.Kind))
	return kind.setProperties(current, a.Properties), nil
}

func (d Drop) apply(current catalogue.Object) (catalogue.Object, *faultDetail) {
	if current == nil {
		return nil, errMissing
	}
	return nil, nil
}

func (s Serve) apply(catalogue.Object) (catalogue.Object, *faultDetail) { return s.Serving, nil }

func (s Set) apply(catalogue.Object) (catalogue.Object, *faultDetail) { return s.Setting, nil }

func (d Drain) apply(current catalogue.Object) (catalogue.Object, *faultDetail) {
	e, ok := current.(catalogue.Endpoint)
	if !ok {
		return nil, errMissing
	}
	e.Drained = d.Drained
	return e, nil
}
