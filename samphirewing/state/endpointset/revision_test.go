package endpointset

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

// written returns an entry of the endpoint "a".
func written(startedUnixMs, sequence int64, draining bool) Endpoint {
	e := readyEndpoint("a")
	e.StartedUnixMs, e.Sequence, e.Draining = startedUnixMs, sequence, draining
	return e
}

// Guards against a draining endpoint being used again because the registry has
// executed one of its earlier writes late.
func TestLateWriteDoesNotUndoNewerEntry(t *testing.T) {
	for name, c := range map[string]struct {
		known, late Endpoint
		want        PutResult
	}{
		"earlier entry of the same start":  {written(100, 9, true), written(100, 5, false), Late},
		"later entry of the same start":    {written(100, 9, true), written(100, 10, false), Applied},
		"repeated entry":                   {written(100, 9, true), written(100, 9, true), Applied},
		"entry of an earlier start":        {written(100, 2, true), written(90, 50, false), Late},
		"first entry of a new start":       {written(100, 9, true), written(110, 1, false), Applied},
		"entry without a sequence":         {written(100, 9, true), written(100, 0, false), Applied},
		"entry without a start":            {written(100, 9, true), written(0, 5, false), Applied},
		"entry after one without sequence": {written(100, 0, true), written(100, 5, false), Applied},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.RecordRead(start)
			s.Put(c.known, 1)
			assert.Equal(t, s.Put(c.late, 2), c.want)
			assert.Equal(t, usableAt(s, start)["a"], c.want == Applied && !c.late.Draining)
			if c.want == Late {
				assert.Equal(t, s.Put(written(c.known.StartedUnixMs, c.known.Sequence+1, true), 3), Applied, "the endpoint's next entry")
			}
		})
	}
}

// Guards against an endpoint that has left being used again for the same reason,
// and against one that comes back being ignored.
func TestLateWriteDoesNotUndoRemoval(t *testing.T) {
	s := New()
	s.RecordRead(start)
	s.Put(written(100, 9, false), 1)
	s.Remove(start, "a", 2)
	assert.Assert(t, !usableAt(s, start)["a"])
	assert.Equal(t, s.Put(written(100, 8, false), 3), Late)
	assert.Assert(t, !usableAt(s, start.Add(time.Second))["a"])
	assert.Assert(t, s.ApplyListing(start.Add(time.Second), nil, 4))
	assert.Equal(t, s.Put(written(100, 8, false), 3), Late, "the same entry in a listing")
	assert.Equal(t, s.Put(written(100, 10, false), 5), Applied)
	assert.Assert(t, usableAt(s, start.Add(time.Second))["a"])
}

// Guards against an endpoint that is ignored for good after its clock was set
// back or its count fell back.
func TestEndpointWhoseCountFallsBackIsUsedAgain(t *testing.T) {
	s := New()
	s.RecordRead(start)
	s.Put(written(100, 9, false), 1)
	assert.Equal(t, s.Put(written(60, 1, false), 2), Late, "a start with an earlier time")
	assert.Equal(t, s.Put(written(60, 1, false), 2), Late, "the same entry in a listing")
	assert.Equal(t, s.Put(written(60, 2, false), 3), Applied, "a second entry of that start")

	assert.Equal(t, s.Put(written(60, 1, false), 4), Late)
	assert.Equal(t, s.Put(written(60, 1, false), 5), Late, "an earlier entry of the same start, again")
	s.RecordRead(start.Add(lateWriteWindow + time.Second))
	assert.Equal(t, s.Put(written(60, 1, false), 6), Applied, "nothing newer for longer than writes may be late")
}

// Guards against memory that grows with each endpoint that has left.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	s := New()
	s.RecordRead(start)
	s.Put(written(100, 9, false), 1)
	s.Remove(start, "a", 2)
	assert.Assert(t, !usableAt(s, start.Add(lateWriteWindow))["a"])
	assert.Equal(t, len(s.entries), 0)
}

// The registry is restored from a copy some seconds old, and gives out its offsets again.
// Guards against an endpoint that gets requests after it has announced that it leaves or
// is gone, and against one that is given up since the copy lacks it.
func TestOlderCopyOfTheRegistryRevivesNoEndpoint(t *testing.T) {
	now := time.Now()
	entry := func(name structs.EndpointName, sequence int64, draining bool) Endpoint {
		return Endpoint{Name: name, StartedUnixMs: 7, Sequence: sequence, Draining: draining}
	}
	s := New()
	s.RecordRead(now)
	for offset, name := range []structs.EndpointName{"stays", "drains", "goes"} {
		s.Put(entry(name, 1, false), int64(offset))
	}
	s.Put(entry("drains", 2, true), 3)
	s.Remove(now, "goes", 4)
	s.Put(entry("new", 1, false), 5)

	s.BeginEpoch(now)
	copied := map[structs.EndpointName]bool{"stays": true, "drains": true, "goes": true}
	assert.Assert(t, s.ApplyListing(now, copied, 3))
	assert.Equal(t, s.Put(entry("stays", 1, false), 0), Applied)
	assert.Equal(t, s.Put(entry("drains", 1, false), 1), Late)
	assert.Equal(t, s.Put(entry("goes", 1, false), 2), Late)
	assert.DeepEqual(t, usableNames(s), []structs.EndpointName{"new", "stays"})

	assert.Equal(t, s.Put(entry("drains", 3, true), 3), Applied)
	assert.Equal(t, s.Put(entry("new", 2, false), 4), Applied)
	s.RecordRead(now.Add(RelistGracePeriod))
	assert.DeepEqual(t, usableNames(s), []structs.EndpointName{"new", "stays"})
}

func usableNames(s *Set) (names []structs.EndpointName) {
	for _, e := range s.Usable() {
		names = append(names, e.Name)
	}
	slices.Sort(names)
	return names
}
