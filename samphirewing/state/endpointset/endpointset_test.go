package endpointset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

var start = time.Unix(1000, 0)

func readyEndpoint(name string) Endpoint {
	return Endpoint{Name: structs.EndpointName(name), Pool: "pool", Address: name + ":1"}
}

// usableAt returns the names of the usable endpoints after a read of the
// registry at now.
func usableAt(s *Set, now time.Time) map[structs.EndpointName]bool {
	s.RecordRead(now)
	names := map[structs.EndpointName]bool{}
	for _, e := range s.Usable() {
		names[e.Name] = true
	}
	return names
}

func TestDrainingAndRemovedEndpointsAreNotUsable(t *testing.T) {
	s := New()
	draining := readyEndpoint("a")
	draining.Draining = true
	s.Put(readyEndpoint("a"), 1)
	s.Put(readyEndpoint("b"), 2)
	s.Put(draining, 3)
	s.Remove(start, "b", 4)
	assert.Equal(t, len(s.Usable()), 0)
}

func TestOlderEntryDoesNotReplaceNewer(t *testing.T) {
	s := New()
	draining := readyEndpoint("a")
	draining.Draining = true
	s.Put(draining, 5)
	assert.Equal(t, s.Put(readyEndpoint("a"), 4), Superseded)
	assert.Equal(t, len(s.Usable()), 0)
}

// After the registry has lost its history, reads may be seconds behind.
func TestStaleListingIsRejected(t *testing.T) {
	s := New()
	s.Put(readyEndpoint("a"), 1)
	s.Remove(start, "a", 9)
	assert.Assert(t, !s.ApplyListing(start, map[structs.EndpointName]bool{"a": true}, 5))
	assert.Equal(t, len(s.Usable()), 0)
}

func TestEndpointsMissingFromListingAreRemoved(t *testing.T) {
	s := New()
	s.Put(readyEndpoint("a"), 1)
	s.Put(readyEndpoint("b"), 2)
	assert.Assert(t, s.ApplyListing(start, map[structs.EndpointName]bool{"b": true}, 9))
	assert.Assert(t, !usableAt(s, start)["a"])
	assert.Assert(t, usableAt(s, start)["b"])
}

func TestEntriesLapsedDuringRegistryOutageHaveGracePeriod(t *testing.T) {
	s := New()
	s.Put(readyEndpoint("back"), 1)
	s.Put(readyEndpoint("gone"), 2)
	s.RegistryLost()
	s.RegistryRestored(start)
	s.Remove(start, "back", 3)
	s.Remove(start, "gone", 4)
	assert.Equal(t, len(usableAt(s, start)), 2)
	s.Put(readyEndpoint("back"), 5)

	after := start.Add(RelistGracePeriod)
	assert.Assert(t, usableAt(s, after)["back"])
	assert.Assert(t, !usableAt(s, after)["gone"])
}

// The entry of an endpoint that announced its departure did not lapse.
func TestDrainingEndpointsHaveNoGracePeriod(t *testing.T) {
	s := New()
	draining := readyEndpoint("a")
	draining.Draining = true
	s.RegistryLost()
	s.Put(draining, 1)
	s.RegistryRestored(start)
	s.Remove(start, "a", 2)
	assert.Equal(t, len(s.Usable()), 0)
}

func TestRemovalTakesEffectImmediatelyWhileRegistryIsReachable(t *testing.T) {
	s := New()
	s.Put(readyEndpoint("a"), 1)
	s.Remove(start, "a", 2)
	assert.Equal(t, len(s.Usable()), 0)
}

// If the connection becomes unresponsive just after the registry's return, it
// is unknown whether entries have been renewed.
func TestMissingEndpointsExpireOnlyAfterRegistryRead(t *testing.T) {
	s := New()
	s.Put(readyEndpoint("a"), 1)
	s.RegistryLost()
	s.RegistryRestored(start)
	s.Remove(start, "a", 2)
	expiry, missing := s.NextExpiry()
	assert.Assert(t, missing)
	assert.Equal(t, expiry, start.Add(RelistGracePeriod))
	assert.Equal(t, len(s.Usable()), 1, "nothing was read since")
	s.RecordRead(expiry.Add(-time.Millisecond))
	assert.Equal(t, len(s.Usable()), 1)
	s.RecordRead(expiry)
	assert.Equal(t, len(s.Usable()), 0)
	_, missing = s.NextExpiry()
	assert.Assert(t, !missing)
}
