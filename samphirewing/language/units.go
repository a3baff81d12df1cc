package language

// Unit is a unit of execution: one change set, or one other statement.
type Unit struct {
	// Changes are applied as one change set; empty if Single is set.
	Changes []Statement
	DryRun  bool
	NoWait  bool
	Single  Statement
}

// Position returns where the unit starts.
func (u Unit) Position() Position {
	if u.Single != nil {
		return u.Single.Position()
	}
	return u.Changes[0].Position()
}

// Units groups statements into units: the changes between begin and commit form
// one unit, every other statement its own. The error is an *Error.
func Units(statements []Statement) ([]Unit, error) {
	var units []Unit
	var begin *Begin
	var group []Statement
	for _, s := range statements {
		switch s := s.(type) {
		case Begin:
			if begin != nil {
				return nil, &Error{Position: s.Position(), Detail: "begin inside of begin", Remedy: "commit or abort the first one"}
			}
			begin, group = &s, nil
		case Commit:
			if begin == nil {
				return nil, &Error{Position: s.Position(), Detail: "commit without begin", Remedy: "put `begin` before the changes"}
			}
			if len(group) > 0 {
				units = append(units, Unit{Changes: group, DryRun: begin.DryRun, NoWait: s.NoWait})
			}
			begin = nil
		case Abort:
			if begin == nil {
				return nil, &Error{Position: s.Position(), Detail: "abort without begin", Remedy: "leave it out"}
			}
			begin = nil
		default:
			if begin == nil {
				units = append(units, newUnit(s))
				continue
			}
			if c, ok := s.(Change); !ok || c.IsDryRun() {
				return nil, &Error{Position: s.Position(), Detail: "only changes may stand between begin and commit", Remedy: "move it out; for a dry run of all write `begin dry run`"}
			}
			group = append(group, s)
		}
	}
	if begin != nil {
		return nil, &Error{Position: begin.Position(), Detail: "begin without commit", Remedy: "end the changes with `commit` or `abort`"}
	}
	return units, nil
}

func newUnit(s Statement) Unit {
	if c, ok := s.(Change); ok {
		return Unit{Changes: []Statement{s}, DryRun: c.IsDryRun()}
	}
	return Unit{Single: s}
}
