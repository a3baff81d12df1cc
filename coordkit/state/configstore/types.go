// Package configstore applies a stream of change sets to a set of objects.
//
// Applying is deterministic: every reader of the same records accepts and
// rejects the same change sets and has the same objects.
package configstore

import "time"

// Key names an object as "kind/name".
type Key string

// Revision identifies a record of the configuration stream by its generation
// and log offset. An object has the revision of the record that last wrote it, a
// Store that of the last record applied. Zero means that the object does not
// exist.
type Revision int64

// Precondition holds when the object has exactly this revision; revision zero
// requires that it does not exist.
type Precondition struct {
	Key      Key
	Revision Revision
}

// Write creates, replaces or deletes one object.
type Write struct {
	Key    Key
	Value  []byte
	Delete bool
}

// ChangeSet is one record of the configuration stream. It is applied completely
// or not at all.
type ChangeSet struct {
	// ID is unique per attempt of an operator; a repeated ID is applied once.
	ID     string
	Author string
	// Issued is informational; no decision depends on it.
	Issued time.Time
	// RuleVersion selects the rules for this change set, so that instances of
	// different releases reach the same verdict.
	RuleVersion uint32
	Requires    []Precondition
	Writes      []Write
	// Statement is the statement as the operator entered it. It is shown in the
	// change history.
	Statement string
}

// Object is a stored object. Revision, ChangeID, Author and Changed describe its
// last write.
type Object struct {
	Key      Key
	Value    []byte
	Revision Revision
	ChangeID string
	Author   string
	Changed  time.Time
}

// View reads a consistent set of objects. Get returns false if there is no
// object with the key. Range visits the objects whose key starts with prefix in
// key order until f returns false.
type View interface {
	Get(k Key) (Object, bool)
	Range(prefix Key, f func(Object) bool)
	Revision() Revision
}

// Rules validate a change set against the objects that would result. Check must
// be deterministic and must not retain the views. Its error names the offending
// object and the remedy.
type Rules interface {
	Check(version uint32, after View, c ChangeSet) error
}
