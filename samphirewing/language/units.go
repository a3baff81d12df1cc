package language

// Unit is what is carried out as one: a change set, or one other statement.
type Unit struct {
	// Changes are made together; empty when Single is set.
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

// Units groups statements: those between begin and commit into one unit, each
// other one into its own. The error is an *Error.
func Units(statements []Statement) ([]Unit, error) {
	var units []Unit
	var open *Begin
	var group []Statement
	for _, s := range statements {
		switch s := s.(type) {
		case Begin:
			if open != nil {
				return nil, &Error{Position: s.Position(), Detail: "begin inside of begin", Remedy: "commit or abort the first one"}
			}
			open, group = &s, nil
		case Commit:
			if open == nil {
				return nil, &Error{Position: s.Position(), Detail: "commit without begin", Remedy: "put `begin` before the changes"}
			}
			if len(group) > 0 {
				units = append(units, Unit{Changes: group, DryRun: open.DryRun, NoWait: s.NoWait})
			}
			open = nil
		case Abort:
			if open == nil {
				return nil, &Error{Position: s.Position(), Detail: "abort without begin", Remedy: "leave it out"}
			}
			open = nil
		default:
			if open == nil {
				units = append(units, single(s))
				continue
			}
			if c, ok := s.(Change); !ok || c.IsDryRun() {
				return nil, &Error{Position: s.Position(), Detail: "only changes may stand between begin and commit", Remedy: "move it out; for a dry run of all write `begin dry run`"}
			}
			group = append(group, s)
		}
	}
	if open != nil {
		return nil, &Error{Position: open.Position(), Detail: "begin without commit", Remedy: "end the changes with `commit` or `abort`"}
	}
	return units, nil
}

func single(s Statement) Unit {
	if c, ok := s.(Change); ok {
		return Unit{Changes: []Statement{s}, DryRun: c.IsDryRun()}
	}
	return Unit{Single: s}
}
