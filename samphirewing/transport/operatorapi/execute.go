package operatorapi

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/language"
)

// RowWidth is the invariant that each row of a daemon has one cell for each
// column of its subject.
const RowWidth invariant.Name = "operator-row-width"

// session carries out the statements of one request of one operator.
type session struct {
	backend  Backend
	options  Options
	operator string
}

// run carries out units in order and stops at the first failure.
func (s session) run(ctx context.Context, units []language.Unit) Response {
	response := Response{Results: []Result{}}
	for _, u := range units {
		result, err := s.unit(ctx, u)
		if err != nil {
			response.Error = s.fail(err)
			break
		}
		response.Results = append(response.Results, result)
		response.Incomplete = response.Incomplete || result.incomplete()
	}
	return response
}

func (s session) fail(err error) *Failure {
	f := failureOf(err)
	s.options.Events.Emit(eventRefused, events.F("operator", s.operator), events.F("kind", f.Kind), events.F("object", f.Object))
	return f
}

func (s session) unit(ctx context.Context, u language.Unit) (Result, error) {
	if u.Single == nil {
		return s.change(ctx, u)
	}
	switch statement := u.Single.(type) {
	case language.Show:
		return s.query(ctx, statement.Query)
	case language.Explain:
		return s.explain(ctx, statement.Query)
	case language.Resolve:
		return s.resolve(ctx, statement)
	case language.Help:
		return Result{Text: language.HelpText(statement.Topic)}, nil
	default:
		return Result{}, &language.Error{Position: u.Position(), Detail: "watch must be the only statement", Remedy: "send it alone"}
	}
}

func (s session) change(ctx context.Context, u language.Unit) (Result, error) {
	view := s.backend.View()
	c, err := language.Plan(view, s.operator, u.Changes)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	c.Issued = s.options.Clock.Now()
	if err := language.DryRun(view, c); err != nil {
		return Result{}, errors.Trace(err)
	}
	change := &Change{Objects: writtenKeys(c)}
	if u.DryRun {
		change.DryRun = true
		return Result{Change: change}, nil
	}
	change.ID = c.ID
	return s.commit(ctx, c, change, !u.NoWait)
}

func (s session) commit(ctx context.Context, c configstore.ChangeSet, change *Change, wait bool) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CommitTimeout)
	defer cancel()
	committed, err := s.backend.Commit(ctx, c, wait)
	if err != nil {
		s.options.Events.Emit(eventUnsettled, events.F("operator", s.operator), events.F("change", c.ID), events.F("error", err.Error()))
		return Result{}, errors.Annotatef(err, "change %s: look for it in `show history` before you repeat it", c.ID)
	}
	if err := committed.Verdict.Err(); err != nil {
		return Result{}, errors.Trace(err)
	}
	change.Revision = committed.Verdict.Revision
	change.Behind = committed.Behind
	change.Everywhere = wait && len(committed.Behind) == 0
	s.options.Events.Emit(eventChange, events.F("operator", s.operator), events.F("change", c.ID),
		events.F("revision", change.Revision), events.F("objects", len(change.Objects)))
	return Result{Change: change}, nil
}

func writtenKeys(c configstore.ChangeSet) []configstore.Key {
	keys := make([]configstore.Key, 0, len(c.Writes))
	for _, w := range c.Writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// query answers from the configuration in force, or asks all daemons.
func (s session) query(ctx context.Context, q language.Query) (Result, error) {
	if q.Subject.Declared() {
		table := language.ShowDeclared(s.backend.View(), q)
		return Result{Rows: &table}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.QueryTimeout)
	defer cancel()
	found, err := s.backend.Query(ctx, q)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	result := Result{Rows: &language.Table{Columns: q.Subject.Columns(), Rows: q.Select(joinRows(q.Subject, found.Answered))}}
	for _, silent := range found.Unresponsive {
		result.Silent = append(result.Silent, Silent(silent))
	}
	slices.SortFunc(result.Silent, func(a, b Silent) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return result, nil
}

// joinRows returns the rows of all daemons that answered.
func joinRows(subject language.Subject, parts []DaemonRows) []language.Row {
	width := len(subject.Columns())
	var rows []language.Row
	for _, part := range parts {
		for _, row := range part.Rows {
			if invariant.Check(len(row) == width, RowWidth, "%s of %s: %d cells, want %d", subject, part.Daemon, len(row), width) {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func (s session) explain(ctx context.Context, q language.Query) (Result, error) {
	result, err := s.query(ctx, q)
	if err != nil || len(result.Rows.Rows) > 0 || len(result.Silent) > 0 {
		return result, err
	}
	text := fmt.Sprintf("no daemon remembers a decision on request %s; only the latest are kept, see also `show refused`", language.Quote(q.Request))
	return Result{Text: text}, nil
}

func (s session) resolve(ctx context.Context, r language.Resolve) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CommitTimeout)
	defer cancel()
	err := s.backend.Resolve(ctx, Resolution{Service: r.Service, Key: r.Key, Outcome: r.Outcome, Author: s.operator})
	if errors.Is(err, journal.ErrNotOpen) || errors.Is(err, journal.ErrTooEarly) {
		return Result{}, &language.ObjectError{
			Position: r.Position(),
			Key:      configstore.Key("booking/" + string(r.Service) + "/" + r.Key),
			Detail:   "was not resolved: " + err.Error(),
			Remedy:   "look at `show bookings`",
		}
	}
	if err != nil {
		return Result{}, errors.Annotatef(err, "resolving %s: look at `show bookings` before you repeat it", language.Quote(r.Key))
	}
	s.options.Events.Emit(eventResolved, events.F("operator", s.operator), events.F("service", r.Service), events.F("outcome", r.Outcome.String()))
	return Result{Text: fmt.Sprintf("booking %s %s is resolved as %s", r.Service, language.Quote(r.Key), r.Outcome)}, nil
}
