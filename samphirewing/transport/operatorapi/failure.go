package operatorapi

import (
	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/coordination/replication"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/catalogue"
)

// newFailure returns the Failure for the error of a statement.
func newFailure(err error) *Failure {
	f := &Failure{Message: err.Error()}
	var syntax *language.Error
	var object *language.ObjectError
	var stale *language.ConflictError
	var conflict *configstore.Conflict
	var rule *catalogue.RuleError
	switch {
	case errors.As(err, &syntax):
		f.Kind, f.Excerpt = FailureInvalid, syntax.Excerpt
		f.setPosition(syntax.Position)
	case errors.As(err, &object):
		f.Kind, f.Object = FailureRefused, object.Key
		f.setPosition(object.Position)
	case errors.As(err, &stale):
		f.Kind, f.Object, f.ChangedBy, f.Revision = FailureConflict, stale.Key, stale.Author, stale.Found
		f.setPosition(stale.Position)
	case errors.As(err, &conflict):
		f.Kind, f.Object, f.ChangedBy, f.Revision = conflictKind(conflict), conflict.Key, conflict.ChangedBy, conflict.Have
	case errors.As(err, &rule):
		f.Kind, f.Object = FailureRefused, rule.Key
	case errors.Is(err, configstore.ErrTooLarge):
		f.Kind = FailureRefused
	case notPublished(err):
		f.Kind = FailureUnavailable
	default:
		f.Kind = FailureUnknown
	}
	return f
}

// notPublished reports whether an error proves that nothing was published.
func notPublished(err error) bool {
	return errors.Is(err, eventlog.ErrUnavailable) ||
		errors.Is(err, replication.ErrNotReady) ||
		errors.Is(err, journal.ErrLogUnavailable)
}

func (f *Failure) setPosition(p language.Position) { f.Line, f.Column = p.Line, p.Column }

func conflictKind(c *configstore.Conflict) FailureKind {
	if c.Kind == configstore.ConflictRules {
		return FailureRefused
	}
	return FailureConflict
}
