// Package language implements the operators' query and command language.
//
// Parse converts a text into typed statements, Units groups them into units of
// execution, and Plan converts the changes of a unit into one change set.
// Queries are Query values. The package does no I/O: transport/operatorapi
// serves the language over HTTP and language/shell is its client.
package language

import (
	"time"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Statement is one parsed statement.
type Statement interface {
	// Position returns where the statement starts.
	Position() Position
	// Source returns the statement's text with secrets masked.
	Source() string
}

// origin is embedded in all statements.
type origin struct {
	position Position
	source   string
}

// Position returns where the statement starts.
func (o origin) Position() Position { return o.position }

// Source returns the statement's text with secrets masked.
func (o origin) Source() string { return o.source }

// Change is a statement that changes one object of the catalogue.
type Change interface {
	Statement
	// Target returns the key of the changed object.
	Target() configstore.Key
	// IsDryRun reports whether the change is only checked, not made.
	IsDryRun() bool
	// Expected returns the revision that the object must have, and whether the
	// statement names one.
	Expected() (configstore.Revision, bool)
	// apply returns the object after the change, nil if it is dropped. The
	// current object is nil if it does not exist.
	apply(current catalogue.Object) (catalogue.Object, *rejection)
}

// rejection is the reason why a change does not apply to an object.
type rejection struct {
	detail string
	remedy string
}

// change is embedded in all changes.
type change struct {
	origin
	key      configstore.Key
	dryRun   bool
	expected *configstore.Revision
}

// Target returns the key of the changed object.
func (c change) Target() configstore.Key { return c.key }

// IsDryRun reports whether the change is only checked, not made.
func (c change) IsDryRun() bool { return c.dryRun }

// Expected returns the revision that the object must have, and whether the
// statement names one.
func (c change) Expected() (configstore.Revision, bool) {
	if c.expected == nil {
		return 0, false
	}
	return *c.expected, true
}

// Property is a property in a create or alter statement.
type Property struct {
	Position Position
	Name     string
	Values   []string
}

// Create creates an object.
type Create struct {
	change
	Object catalogue.Object
}

// Alter changes properties of an existing object.
type Alter struct {
	change
	Kind       catalogue.Kind
	Properties []Property
}

// Drop deletes an object.
type Drop struct{ change }

// Serve declares which pool serves a model, replacing an earlier declaration.
type Serve struct {
	change
	Serving catalogue.Serving
}

// Drain starts or ends the draining of an endpoint.
type Drain struct {
	change
	// Drained is set if the endpoint gets no new work.
	Drained bool
}

// Set sets the value of a setting.
type Set struct {
	change
	Setting catalogue.Setting
}

// Begin starts a change set that the next Commit or Abort ends.
type Begin struct {
	origin
	DryRun bool
}

// Commit ends a change set and applies it. NoWait returns once the change is
// accepted, without waiting until it is in force on all daemons.
type Commit struct {
	origin
	NoWait bool
}

// Abort discards the changes since Begin.
type Abort struct{ origin }

// Resolve sets the outcome of a booking whose outcome is unknown.
type Resolve struct {
	origin
	Service structs.Target
	Key     string
	// Outcome is done, failed or not_run.
	Outcome structs.Outcome
}

// Show runs a query once.
type Show struct {
	origin
	Query Query
}

// Watch runs a query repeatedly, once in each interval Every.
type Watch struct {
	origin
	Query Query
	Every time.Duration
}

// Explain queries the decisions on a request: why it was placed, refused or
// left waiting.
type Explain struct {
	origin
	Query Query
}

// Help requests a help page, or the overview if Topic is empty.
type Help struct {
	origin
	Topic string
}
