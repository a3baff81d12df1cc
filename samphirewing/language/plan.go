package language

import (
	"fmt"
	"strings"

	"github.com/google/uuid"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
)

// MaxHistoryBytes limits the statements that the history records for one change
// set. The note on omitted statements comes on top.
const MaxHistoryBytes = 4 << 10

// ConflictError reports that an object no longer has the revision that the
// statement expects.
type ConflictError struct {
	Position Position
	Key      configstore.Key
	Expected configstore.Revision
	Found    configstore.Revision
	// Author is the author of the object's last change.
	Author string
}

// Error returns the position, the object, both revisions and a remedy.
func (e *ConflictError) Error() string {
	if e.Found == 0 {
		return fmt.Sprintf("line %d, column %d: %s does not exist, the statement expects revision %d; look at `show history` and try again",
			e.Position.Line, e.Position.Column, e.Key, e.Expected)
	}
	return fmt.Sprintf("line %d, column %d: %s has revision %d, changed by %s, the statement expects %d; look at it with `show` and try again with the revision found",
		e.Position.Line, e.Position.Column, e.Key, e.Found, e.Author, e.Expected)
}

// Plan combines the changes among the statements into one change set, whose
// preconditions are the revisions of the objects in the view. It ignores Begin
// and Commit, returns an *Error for any other statement that is not a Change,
// and returns an *ObjectError or *ConflictError for a change that does not
// apply to the current objects. The caller sets Issued.
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

// planner accumulates the effect of the statements added so far.
type planner struct {
	view    configstore.View
	objects map[configstore.Key]*plannedObject
	// order lists the keys in the order of their first change.
	order   []configstore.Key
	sources []string
}

type plannedObject struct {
	stored  configstore.Object
	existed bool
	// planned is the object after the statements so far, nil if it does not exist.
	planned catalogue.Object
}

func (p *planner) add(c Change) error {
	o, err := p.object(c)
	if err != nil {
		return err
	}
	if expected, ok := c.Expected(); ok && expected != o.stored.Revision {
		return &ConflictError{Position: c.Position(), Key: c.Target(), Expected: expected, Found: o.stored.Revision, Author: o.stored.Author}
	}
	next, rejected := c.apply(o.planned)
	if rejected != nil {
		return &ObjectError{Position: c.Position(), Key: c.Target(), Detail: rejected.detail, Remedy: rejected.remedy}
	}
	o.planned = next
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
		o.planned = decoded
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
		case o.planned != nil:
			c.Writes = append(c.Writes, catalogue.Put(o.planned))
		case o.existed:
			c.Writes = append(c.Writes, catalogue.Remove(key))
		}
	}
	return c
}

// joinSources joins the statements for the history, up to MaxHistoryBytes,
// followed by the number of omitted statements, if any.
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

var notExist = &rejection{detail: "does not exist", remedy: "create it first, or look at the names with `show`"}

func (c Create) apply(current catalogue.Object) (catalogue.Object, *rejection) {
	if current != nil {
		return nil, &rejection{detail: "exists already", remedy: "use alter, or drop it first"}
	}
	return c.Object, nil
}

func (a Alter) apply(current catalogue.Object) (catalogue.Object, *rejection) {
	if current == nil {
		return nil, notExist
	}
	kind, _ := findKind(string(a.Kind))
	return kind.setProperties(current, a.Properties), nil
}

func (d Drop) apply(current catalogue.Object) (catalogue.Object, *rejection) {
	if current == nil {
		return nil, notExist
	}
	return nil, nil
}

func (s Serve) apply(catalogue.Object) (catalogue.Object, *rejection) { return s.Serving, nil }

func (s Set) apply(catalogue.Object) (catalogue.Object, *rejection) { return s.Setting, nil }

func (d Drain) apply(current catalogue.Object) (catalogue.Object, *rejection) {
	e, ok := current.(catalogue.Endpoint)
	if !ok {
		return nil, notExist
	}
	e.Drained = d.Drained
	return e, nil
}
