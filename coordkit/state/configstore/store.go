package configstore

import (
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/invariant"
)

// HistoryLimit is how many verdicts a Store retains; an older change id is no
// longer recognised as repeated.
const HistoryLimit = 4096

const invariantRevisionRises invariant.Name = "configuration-revision-rises"

// Store is the state that results from the records of the stream; it depends on
// them alone. It is not safe for concurrent use; the Views that it returns are
// immutable.
type Store struct {
	rules Rules
	// objects are sorted by key, without duplicates.
	objects []*Object
	// shared is set while a View refers to objects.
	shared bool
	// revision never decreases.
	revision Revision
	history  history
	opening  Opening
}

// Opening describes how a generation of the stream was opened.
type Opening struct {
	// From is the revision of the state that the generation was opened with.
	From Revision
	// Time is when the log service accepted the record that opened it.
	Time time.Time
}

// Opening returns how the current generation was opened; it is zero in
// generation 0.
func (s *Store) Opening() Opening { return s.opening }

// Reopen makes the store the first state of a new generation. r is the revision
// of the record that completed the opening snapshot. It returns false and changes
// nothing if r is not newer than the store's revision.
func (s *Store) Reopen(r Revision, at time.Time) bool {
	from := s.revision
	if !s.Advance(r) {
		return false
	}
	s.opening = Opening{From: from, Time: at}
	return true
}

// NewStore returns an empty Store that validates change sets with rules. With nil
// rules, it accepts every change set whose preconditions hold.
func NewStore(rules Rules) *Store {
	return &Store{rules: rules, history: newHistory()}
}

// Revision returns the revision of the last record applied.
func (s *Store) Revision() Revision { return s.revision }

// View returns the current objects. Later changes don't affect it.
func (s *Store) View() View {
	s.shared = true
	return &objectList{objects: s.objects, revision: s.revision}
}

// History returns the retained verdicts, oldest first.
func (s *Store) History() []Verdict { return s.history.all() }

// Lookup returns the verdict on a change ID, or false if it is not retained.
func (s *Store) Lookup(changeID string) (Verdict, bool) { return s.history.find(changeID) }

// Advance applies a record that changes no object, such as a chunk of a
// snapshot. It returns false and changes nothing if r is not newer than the
// store's revision.
func (s *Store) Advance(r Revision) bool {
	if !invariant.Check(r > s.revision, invariantRevisionRises, "record %s offered at revision %s", r, s.revision) {
		return false
	}
	s.revision = r
	return true
}

// Reject applies a record whose change set is rejected without being validated.
// It returns a zero Verdict and changes nothing if r is not newer than the
// store's revision.
func (s *Store) Reject(r Revision, at time.Time, c ChangeSet, kind ConflictKind) Verdict {
	if !s.Advance(r) {
		return Verdict{}
	}
	return s.record(r, at, c, &Conflict{Kind: kind})
}

// Apply validates the change set of the record with revision r, which the log
// service accepted at the given time, and applies it unless it conflicts. It
// fails with ErrUnknownRules, and changes nothing, when this release does not
// have the rules. If r is not newer than the store's revision, it changes nothing
// and returns a zero Verdict without an error.
func (s *Store) Apply(r Revision, at time.Time, c ChangeSet) (Verdict, error) {
	if !invariant.Check(r > s.revision, invariantRevisionRises, "record %s offered at revision %s", r, s.revision) {
		return Verdict{}, nil
	}
	if earlier, ok := s.history.find(c.ID); ok {
		s.revision = r
		earlier.Repeated = true
		return earlier, nil
	}
	conflict := s.checkPreconditions(c)
	writes, deleted := materialise(r, at, c)
	if conflict == nil {
		var err error
		if conflict, err = s.checkRules(r, c, writes, deleted); err != nil {
			return Verdict{}, err
		}
	}
	s.revision = r
	if conflict == nil {
		s.objects = apply(s.objects, !s.shared, writes, deleted)
		s.shared = false
	}
	return s.record(r, at, c, conflict), nil
}

func (s *Store) record(r Revision, at time.Time, c ChangeSet, conflict *Conflict) Verdict {
	v := Verdict{
		ChangeID:  c.ID,
		Author:    c.Author,
		Statement: c.Statement,
		Time:      at,
		Revision:  r,
		Accepted:  conflict == nil,
		Conflict:  conflict,
	}
	s.history.add(v)
	return v
}

func (s *Store) checkPreconditions(c ChangeSet) *Conflict {
	for _, p := range c.Requires {
		i, exists := search(s.objects, p.Key)
		if !exists {
			if p.Revision != 0 {
				return &Conflict{Kind: ConflictMissing, Key: p.Key, Want: p.Revision}
			}
			continue
		}
		o := s.objects[i]
		if o.Revision == p.Revision {
			continue
		}
		kind := ConflictRevision
		if p.Revision == 0 {
			kind = ConflictExists
		}
		return &Conflict{
			Kind: kind, Key: p.Key, Have: o.Revision, Want: p.Revision,
			ChangedBy: o.Author, ChangeID: o.ChangeID, Changed: o.Changed,
		}
	}
	return nil
}

func (s *Store) checkRules(r Revision, c ChangeSet, writes []*Object, deleted []Key) (*Conflict, error) {
	if s.rules == nil {
		return nil, nil
	}
	base := &objectList{objects: s.objects, revision: s.revision}
	err := s.rules.Check(c.RuleVersion, newOverlay(base, writes, deleted, r), c)
	if errors.Is(err, ErrUnknownRules) {
		return nil, err
	}
	if err != nil {
		return &Conflict{Kind: ConflictRules, Detail: err.Error()}, nil
	}
	return nil, nil
}

// materialise converts the writes of a change set into objects. The last write
// of a key wins.
func materialise(r Revision, at time.Time, c ChangeSet) (writes []*Object, deleted []Key) {
	last := make(map[Key]int, len(c.Writes))
	for i, w := range c.Writes {
		last[w.Key] = i
	}
	for i, w := range c.Writes {
		if last[w.Key] != i {
			continue
		}
		if w.Delete {
			deleted = append(deleted, w.Key)
			continue
		}
		writes = append(writes, &Object{
			Key: w.Key, Value: w.Value, Revision: r, ChangeID: c.ID, Author: c.Author, Changed: at,
		})
	}
	return writes, deleted
}
