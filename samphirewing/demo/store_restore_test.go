package demo

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/platform"
	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
)

// restoreAway is how long the store is away before it comes back from a copy.
const restoreAway = 300 * time.Millisecond

// publishKey publishes a configuration in which a key is the only one.
func publishKey(s *PlatformSystem, key string) int {
	return s.Operator.Publish(func(document map[string]any) {
		operator.SetTenants(document, operator.Tenant{Name: operator.Organisation, Keys: []string{key}})
	})
}

// awaitVersion waits until a daemon applies a version. It fails the test after the bound,
// and if the daemon goes back to a version before the oldest.
func awaitVersion(t *testing.T, d *platform.Daemon, oldest, version int, since time.Time, bound time.Duration) {
	t.Helper()
	for d.Version() != int64(version) {
		assert.Assert(t, d.Version() >= int64(oldest), "%s has gone back to version %d", d.Settings().Instance, d.Version())
		assert.Assert(t, time.Since(since) < bound, "%s has version %d, not %d, after %v", d.Settings().Instance, d.Version(), version, bound)
		time.Sleep(5 * time.Millisecond)
	}
}

// The store is restored from a copy and gives out the same offsets again. Guards against
// daemons that take their offsets for newer than the store's, and so keep an older
// configuration until the store has written as many records as were lost.
func TestConfigurationsAreAppliedAfterTheStoreIsRestored(t *testing.T) {
	const bound = 2 * time.Second
	for name, daemons := range map[string]int{"every daemon reads the store": 4, "few daemons read the store for all": 14} {
		t.Run(name, func(t *testing.T) {
			s := startPlatform(t, daemons)
			time.Sleep(2 * time.Second)
			copied := s.Store.Copy()
			version := 0
			for range 5 {
				version = publishKey(s, "lost")
			}
			for _, d := range s.Daemons {
				awaitVersion(t, d, 1, version, time.Now(), bound)
			}
			s.Store.SetFaults(metastore.Faults{Unavailable: true})
			time.Sleep(restoreAway)
			s.Store.Restore(copied)
			s.Store.SetFaults(metastore.Faults{})
			for _, r := range s.Runners {
				r.Register("ready")
			}
			known := version
			published := time.Now()
			version = publishKey(s, operator.APIKey)
			for _, d := range s.Daemons {
				awaitVersion(t, d, known, version, published, bound)
			}
			for range 4 {
				published = time.Now()
				version = publishKey(s, operator.APIKey)
				for _, d := range s.Daemons {
					awaitVersion(t, d, known, version, published, bound)
				}
			}
			for _, d := range s.Daemons {
				status, _, err := sendRequest(d, "POST", "/confirm/1", operator.APIKey)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
			}
		})
	}
}

// Guards against daemons that nobody finds any more, since the copy of the store lacks the
// records that they wrote.
func TestDaemonsRecordThemselvesAgainAfterTheStoreIsRestored(t *testing.T) {
	s := startPlatform(t, 1)
	copied := s.Store.Copy()
	_, err := s.StartDaemon("late")
	assert.NilError(t, err)
	assert.NilError(t, s.awaitReady())
	eventually(t, "the daemon is recorded", func() bool { return len(s.Store.Values("keyed.samphirewing-instances", "late")) == 1 })
	s.Store.Restore(copied)
	assert.Equal(t, len(s.Store.Values("keyed.samphirewing-instances", "late")), 0)
	s.Operator.Publish(nil)
	eventually(t, "the daemon is recorded again", func() bool { return len(s.Store.Values("keyed.samphirewing-instances", "late")) == 1 })
}
