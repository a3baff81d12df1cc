package configstore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/samphirewing/coordkit/state/configstore"
)

func write(key, value string) configstore.Write {
	return configstore.Write{Key: configstore.Key(key), Value: []byte(value)}
}

func applyAt(t *testing.T, s *configstore.Store, r configstore.Revision, c configstore.ChangeSet) configstore.Verdict {
	t.Helper()
	v, err := s.Apply(r, time.Unix(int64(r), 0), c)
	assert.NilError(t, err)
	return v
}

func TestConflictReportsObjectAndAuthor(t *testing.T) {
	s := configstore.NewStore(nil)
	create := configstore.ChangeSet{
		ID: "c1", Author: "lucia", Requires: []configstore.Precondition{{Key: "tier/gold"}},
		Writes: []configstore.Write{write("tier/gold", "1")},
	}
	assert.Assert(t, applyAt(t, s, 1, create).Accepted)
	concurrent := create
	concurrent.ID, concurrent.Author = "c2", "awa"
	v := applyAt(t, s, 2, concurrent)
	assert.Assert(t, !v.Accepted)
	assert.ErrorContains(t, v.Err(), "tier/gold was already created by lucia")
	repeated := applyAt(t, s, 3, create)
	assert.Assert(t, repeated.Repeated && repeated.Accepted)
	assert.Equal(t, repeated.Revision, configstore.Revision(1))
}

type rejectAll struct{ err error }

func (r rejectAll) Check(uint32, configstore.View, configstore.ChangeSet) error { return r.err }

func TestRulesRejectChangeAndUnknownRulesFail(t *testing.T) {
	s := configstore.NewStore(rejectAll{errors.New("tier/gold needs a rank; set one")})
	v := applyAt(t, s, 1, configstore.ChangeSet{ID: "c1", Writes: []configstore.Write{write("tier/gold", "1")}})
	assert.ErrorContains(t, v.Err(), "needs a rank")
	_, found := s.View().Get("tier/gold")
	assert.Assert(t, !found)
	s = configstore.NewStore(rejectAll{configstore.ErrUnknownRules})
	_, err := s.Apply(1, time.Unix(1, 0), configstore.ChangeSet{ID: "c1"})
	assert.Assert(t, errors.Is(err, configstore.ErrUnknownRules))
	assert.Equal(t, s.Revision(), configstore.Revision(0))
}

func TestOversizedChangeSetIsRejected(t *testing.T) {
	_, err := configstore.EncodeChangeSet(0, configstore.ChangeSet{
		Writes: []configstore.Write{{Key: "a", Value: make([]byte, configstore.MaxChangeSetBytes)}},
	})
	assert.Assert(t, errors.Is(err, configstore.ErrTooLarge))
}

// TestRestoredStoreEqualsOriginal checks that a store restored from snapshots
// at random points agrees with one that applied every record, and that earlier
// views never change.
func TestRestoredStoreEqualsOriginal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		original := configstore.NewStore(nil)
		restored := configstore.NewStore(nil)
		for r := configstore.Revision(1); r <= 30; r++ {
			key := fmt.Sprintf("k/%d", rapid.IntRange(0, 5).Draw(rt, "key"))
			c := configstore.ChangeSet{ID: fmt.Sprint(r), Writes: []configstore.Write{write(key, fmt.Sprint(r))}}
			c.Writes[0].Delete = rapid.Bool().Draw(rt, "delete")
			if rapid.Bool().Draw(rt, "stale") {
				c.Requires = []configstore.Precondition{{Key: configstore.Key(key), Revision: configstore.Revision(rapid.IntRange(0, 30).Draw(rt, "revision"))}}
			}
			before := restored.View()
			objectsBefore := formatObjects(before)
			for _, s := range []*configstore.Store{original, restored} {
				_, err := s.Apply(r, time.Unix(int64(r), 0), c)
				assert.NilError(rt, err)
			}
			assert.DeepEqual(rt, formatObjects(before), objectsBefore)
			if rapid.Bool().Draw(rt, "restore") {
				data, err := restored.Snapshot()
				assert.NilError(rt, err)
				restored, err = configstore.RestoreStore(nil, data)
				assert.NilError(rt, err)
			}
			assert.DeepEqual(rt, formatObjects(original.View()), formatObjects(restored.View()))
			assert.DeepEqual(rt, original.History(), restored.History())
		}
	})
}

func formatObjects(v configstore.View) []string {
	var out []string
	v.Range("", func(o configstore.Object) bool {
		out = append(out, fmt.Sprintf("%s=%s@%s", o.Key, o.Value, o.Revision))
		return true
	})
	return out
}

func TestDamagedSnapshotIsRejected(t *testing.T) {
	s := configstore.NewStore(nil)
	applyAt(t, s, 1, configstore.ChangeSet{ID: "c1", Writes: []configstore.Write{{Key: "a", Value: make([]byte, 3*configstore.ChunkBytes)}}})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	chunks := configstore.SplitSnapshot("s", 1, data)
	assert.Equal(t, len(chunks), 4)
	chunks[1].Data[7]++
	a := configstore.NewAssembler()
	for i, c := range chunks {
		_, complete, err := a.Add(c)
		assert.Assert(t, !complete)
		assert.Equal(t, err != nil, i == 3)
	}
}
