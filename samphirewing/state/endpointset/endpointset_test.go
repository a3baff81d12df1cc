package endpointset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Unix(1000, 0)

func ready(name string) Endpoint {
	return Endpoint{Name: structs.EndpointName(name), Pool: "pool", Address: name + ":1"}
}

// usable returns what may be used by a read of the registry at that time.
func usable(s *Set, now time.Time) map[structs.EndpointName]bool {
	s.RecordRead(now)
	names := map[structs.EndpointName]bool{}
	for _, e := range s.Usable() {
		names[e.Name] = true
	}
	return names
}

func TestDrainingAndRemovedEndpointsAreNotUsable(t *testing.T) {
	s := New()
	draining := ready("a")
	draining.Draining = true
	s.Put(ready("a"), 1)
	s.Put(ready("b"), 2)
	s.Put(draining, 3)
	s.Remove(start, "b", 4)
	assert.Equal(t, len(s.Usable()), 0)
}

func TestOlderEntriesDoNotTakeThePlaceOfNewerOnes(t *testing.T) {
	s := New()
	draining := ready("a")
	draining.Draining = true
	s.Put(draining, 5)
	assert.Assert(t, !s.Put(ready("a"), 4))
	assert.Equal(t, len(s.Usable()), 0)
}

// After the registry has dropped its history, reads may be seconds behind.
func TestListingBehindWhatIsKnownIsRefused(t *testing.T) {
	s := New()
	s.Put(ready("a"), 1)
	s.Remove(start, "a", 9)
	assert.Assert(t, !s.ApplyListing(start, map[structs.EndpointName]bool{"a": true}, 5))
	assert.Equal(t, len(s.Usable()), 0)
}

func TestEndpointsMissingFromAListingAreGone(t *testing.T) {
	s := New()
	s.Put(ready("a"), 1)
	s.Put(ready("b"), 2)
	assert.Assert(t, s.ApplyListing(start, map[structs.EndpointName]bool{"b": true}, 9))
	assert.Assert(t, !usable(s, start)["a"])
	assert.Assert(t, usable(s, start)["b"])
}

func TestEntriesThatLapsedWhileTheRegistryWasAwayHaveTimeToReturn(t *testing.T) {
	s := New()
	s.Put(ready("back"), 1)
	s.Put(ready("gone"), 2)
	s.RegistryLost()
	s.RegistryRestored(start)
	s.Remove(start, "back", 3)
	s.Remove(start, "gone", 4)
	assert.Equal(t, len(usable(s, start)), 2)
	s.Put(ready("back"), 5)

	after := start.Add(ReturnGrace)
	assert.Assert(t, usable(s, after)["back"])
	assert.Assert(t, !usable(s, after)["gone"])
}

// An endpoint that said it was leaving did not merely lapse.
func TestLeavingEndpointsGetNoTimeToReturn(t *testing.T) {
	s := New()
	draining := ready("a")
	draining.Draining = true
	s.RegistryLost()
	s.Put(draining, 1)
	s.RegistryRestored(start)
	s.Remove(start, "a", 2)
	assert.Equal(t, len(s.Usable()), 0)
}

func TestRemovalWhileTheRegistryIsReachableHoldsAtOnce(t *testing.T) {
	s := New()
	s.Put(ready("a"), 1)
	s.Remove(start, "a", 2)
	assert.Equal(t, len(s.Usable()), 0)
}

// A connection that turns silent just after the registry's return shows neither
// that entries are back nor that they are not.
func TestMissingEndpointsAreGivenUpOnlyByWhatWasRead(t *testing.T) {
	s := New()
	s.Put(ready("a"), 1)
	s.RegistryLost()
	s.RegistryRestored(start)
	s.Remove(start, "a", 2)
	at, missing := s.NextGone()
	assert.Assert(t, missing)
	assert.Equal(t, at, start.Add(ReturnGrace))
	assert.Equal(t, len(s.Usable()), 1, "nothing was read since")
	s.RecordRead(at.Add(-time.Millisecond))
	assert.Equal(t, len(s.Usable()), 1)
	s.RecordRead(at)
	assert.Equal(t, len(s.Usable()), 0)
	_, missing = s.NextGone()
	assert.Assert(t, !missing)
}
