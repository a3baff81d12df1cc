// Package language is the operators' query and command language.
//
// Parse turns a text into typed statements; Plan turns changing statements
// into one change set; queries become typed Query values. The package does no
// I/O: transport/operatorapi serves it over HTTP and language/shell is its
// client.
package language

import (
	"time"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Statement is one parsed statement.
type Statement interface {
	// Position is where the statement starts.
	Position() Position
	// Source is the statement's text with secrets hidden.
	Source() string
}

// origin is the part that all statements share.
type origin struct {
	position Position
	source   string
}

// Position returns where the statement starts.
func (o origin) Position() Position { return o.position }

// Source returns the statement's text with secrets hidden.
func (o origin) Source() string { return o.source }

// Change is a statement that changes one object of the catalogue.
type Change interface {
	Statement
	// Target is the object that is changed.
	Target() configstore.Key
	// IsDryRun reports whether the statement is only to be checked.
	IsDryRun() bool
	// Expected is the revision that the object must have, when any is named.
	Expected() (configstore.Revision, bool)
	// apply returns the object after the change; nil when it is dropped.
	apply(current catalogue.Object) (catalogue.Object, *faultDetail)
}

// faultDetail says why a change does not fit the object as it is.
type faultDetail struct {
	detail string
	remedy string
}

// change is the part that all changes share.
type change struct {
	origin
	key      configstore.Key
	dryRun   bool
	expected *configstore.Revision
}

// Target returns the key of the object that is changed.
func (c change) Target() configstore.Key { return c.key }

// IsDryRun reports whether the statement is only to be checked.
func (c change) IsDryRun() bool { return c.dryRun }

// Expected returns the revision that the object must have, when any is named.
func (c change) Expected() (configstore.Revision, bool) {
	if c.expected == nil {
		return 0, false
	}
	return *c.expected, true
}

// Property is one named value of a create or alter statement.
type Property struct {
	Position Position
	Name     string
	Values   []string
}

// Create makes a new object.
type Create struct {
	change
	Object catalogue.Object
}

// Alter changes properties of an object that exists.
type Alter struct {
	change
	Kind       catalogue.Kind
	Properties []Property
}

// Drop deletes an object.
type Drop struct{ change }

// Serve declares which pool serves a model, anew or instead of another pool.
type Serve struct {
	change
	Serving catalogue.Serving
}

// Drain stops or allows new work on an endpoint.
type Drain struct {
	change
	Drained bool
}

// Set gives a setting a value.
type Set struct {
	change
	Setting catalogue.Setting
}

// Begin opens a change set that the following Commit closes.
type Begin struct {
	origin
	DryRun bool
}

// Commit closes a change set. NoWait returns when the change is accepted,
// without waiting until it is in force everywhere.
type Commit struct {
	origin
	NoWait bool
}

// Abort drops the statements since Begin.
type Abort struct{ origin }

// Resolve settles a booking whose outcome is unknown.
type Resolve struct {
	origin
	Service structs.Target
	Key     string
	// Outcome is done, failed or not_run.
	Outcome structs.Outcome
}

// Show asks for rows.
type Show struct {
	origin
	Query Query
}

// Watch asks for rows again and again.
type Watch struct {
	origin
	Query Query
	Every time.Duration
}

// Explain asks why a request was placed, refused or left waiting.
type Explain struct {
	origin
	Query Query
}

// Help asks for a page of help; Topic may be empty.
type Help struct {
	origin
	Topic string
}
