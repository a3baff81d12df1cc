package configstore

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrUnknownRules is returned by Rules.Check for a rule version that this
	// release does not have. The instance stops applying records there, so that
	// its state never differs from that of a newer release.
	ErrUnknownRules = errors.ConstError("rule version of the change is unknown; upgrade this instance")
	// ErrTooLarge means that an encoded change set exceeds MaxChangeSetBytes.
	ErrTooLarge = errors.ConstError("change set over the size limit; split it")
	// ErrMalformed means that a record of the configuration stream cannot be
	// decoded.
	ErrMalformed = errors.ConstError("record is not a change set; publish changes through the operator's tool")
)

// ConflictKind is the reason why a change set was rejected.
type ConflictKind int32

// The kinds of conflict.
const (
	// ConflictRevision: the object was changed since the author read it.
	ConflictRevision ConflictKind = iota + 1
	// ConflictExists: the object exists but must not.
	ConflictExists
	// ConflictMissing: the object was deleted since the author read it.
	ConflictMissing
	// ConflictRules: the resulting objects violate a rule.
	ConflictRules
	// ConflictMalformed: the record cannot be decoded.
	ConflictMalformed
	// ConflictGeneration: the change was written for a stream that was lost, or
	// while a new generation was being opened.
	ConflictGeneration
)

// Conflict describes why a change set was rejected. Its error text names the
// object, who changed it, and the remedy.
type Conflict struct {
	Kind ConflictKind
	Key  Key
	// Have is the object's revision, Want the one that the change set required.
	Have, Want Revision
	// ChangedBy, ChangeID and Changed describe the object's last write.
	ChangedBy string
	ChangeID  string
	Changed   time.Time
	Detail    string
}

// Error returns the reason and the remedy.
func (c *Conflict) Error() string {
	switch c.Kind {
	case ConflictRevision:
		return fmt.Sprintf("%s was changed by %s at %s (revision %s, change %s) after you read revision %s; read it again and reissue the change",
			c.Key, c.ChangedBy, c.Changed.UTC().Format(time.RFC3339), c.Have, c.ChangeID, c.Want)
	case ConflictExists:
		return fmt.Sprintf("%s was already created by %s at %s (revision %s, change %s); alter it, or choose another name",
			c.Key, c.ChangedBy, c.Changed.UTC().Format(time.RFC3339), c.Have, c.ChangeID)
	case ConflictMissing:
		return fmt.Sprintf("%s does not exist any more; read the configuration again and reissue the change", c.Key)
	case ConflictRules:
		return c.Detail
	case ConflictGeneration:
		return "the log was lost and opened again before this change was read back; reissue the change"
	default:
		return ErrMalformed.Error()
	}
}

// Verdict is the outcome of one change set.
type Verdict struct {
	ChangeID  string
	Author    string
	Statement string
	// Time is when the log service accepted the record.
	Time     time.Time
	Revision Revision
	Accepted bool
	// Conflict is nil when the change set was accepted.
	Conflict *Conflict
	// Repeated is set when an earlier change set had the same ID; the other
	// fields are then those of its verdict.
	Repeated bool
}

// Err returns the conflict, or nil when the change set was accepted.
func (v Verdict) Err() error {
	if v.Accepted || v.Conflict == nil {
		return nil
	}
	return v.Conflict
}
