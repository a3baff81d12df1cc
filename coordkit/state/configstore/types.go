// Package configstore folds a stream of change sets into a set of objects.
//
// The fold is deterministic: every reader of the same records accepts and
// rejects the same change sets and holds the same objects.
package configstore

import "time"

// Key names an object as "kind/name".
type Key string

// Revision is the log offset of the record that last wrote an object, or of
// the last record folded. Zero means "does not exist".
type Revision int64

// Precondition holds when the object has exactly this revision; revision zero
// means that it must not exist.
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

// ChangeSet is one record of the configuration stream: all of it takes hold
// or none.
type ChangeSet struct {
	// ID is unique per attempt of an operator; a repeated ID is folded once.
	ID     string
	Author string
	// Issued is informational; no decision rests on it.
	Issued time.Time
	// RuleVersion selects the rules that judge this change set, so that
	// daemons of different releases agree.
	RuleVersion uint32
	Requires    []Precondition
	Writes      []Write
	// Statement is the text that the operator gave, for the history.
	Statement string
}

// Object is one stored object.
type Object struct {
	Key      Key
	Value    []byte
	Revision Revision
	ChangeID string
	Author   string
	Changed  time.Time
}

// View reads a consistent set of objects. Range visits the objects whose key
// starts with prefix in key order until f returns false.
type View interface {
	Get(k Key) (Object, bool)
	Range(prefix Key, f func(Object) bool)
	Revision() Revision
}

// Rules judge a change set against the objects that would result. Check must
// be deterministic and must not keep the views. It returns an error that names
// the object at fault and the remedy.
type Rules interface {
	Check(version uint32, after View, c ChangeSet) error
}
