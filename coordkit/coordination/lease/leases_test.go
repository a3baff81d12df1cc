package lease_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog/memlog"
	"github.com/samphirewing/coordkit/transport/clock"
)

func startLeases(t *testing.T, log *memlog.Log, id instance.ID, d time.Duration) (*lease.Leases, chan lease.Grant) {
	grants := make(chan lease.Grant, 100)
	l, err := lease.Start(lease.Options{
		Log: log, Stream: "leases", Self: instance.Process{ID: id, Incarnation: 1}, Duration: d,
		OnGranted: func(g lease.Grant) { grants <- g },
	})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l, grants
}

func TestReleasedLeaseGoesOverAtOnce(t *testing.T) {
	log := memlog.New(clock.System{})
	// Well above the second after which a waiting instance looks at an idle log.
	const duration = 4 * time.Second
	a, grantsA := startLeases(t, log, "a", duration)
	b, grantsB := startLeases(t, log, "b", duration)
	c, grantsC := startLeases(t, log, "c", duration)
	a.Acquire("endpoint/e1")
	first := <-grantsA
	assert.Assert(t, !first.DisplacedUntil.IsZero(), "the holder before is not known to have ended")
	b.Acquire("endpoint/e1")
	_, held := b.Valid("endpoint/e1")
	assert.Assert(t, !held)
	assert.NilError(t, a.ReleaseAll(context.Background()))
	second := <-grantsB
	assert.Assert(t, second.Fencing > first.Fencing)
	assert.Assert(t, !second.DisplacedUntil.IsZero(), "the first holder gave back before it had waited others out")
	_, held = a.Valid("endpoint/e1")
	assert.Assert(t, !held)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Now().After(second.DisplacedUntil) {
			return poll.Success()
		}
		return poll.Continue("still waiting the first holders out")
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(20*time.Second))
	c.Acquire("endpoint/e1")
	assert.NilError(t, b.ReleaseAll(context.Background()))
	third := <-grantsC
	assert.Assert(t, third.Fencing > second.Fencing)
	assert.Assert(t, third.DisplacedUntil.IsZero())
}

func TestLeaseOfDeadHolderExpires(t *testing.T) {
	log := memlog.New(clock.System{})
	a, grantsA := startLeases(t, log, "a", 200*time.Millisecond)
	a.Acquire("endpoint/e1")
	first := <-grantsA
	a.Close()
	b, grantsB := startLeases(t, log, "b", time.Minute)
	b.Acquire("endpoint/e1")
	second := <-grantsB
	assert.Assert(t, second.Fencing > first.Fencing)
	assert.Assert(t, !second.DisplacedUntil.IsZero())
}

func TestFencingRisesAboveLostLog(t *testing.T) {
	log := memlog.New(clock.System{})
	a, grants := startLeases(t, log, "a", time.Minute)
	a.Acquire("endpoint/e1")
	first := <-grants
	seen := first.Fencing + 1000
	a.Raise("endpoint/e1", seen)
	second := <-grants
	assert.Assert(t, second.Fencing > seen, "%d after %d", second.Fencing, first.Fencing)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f, ok := a.Valid("endpoint/e1"); ok && f == second.Fencing {
			return poll.Success()
		}
		return poll.Continue("not valid")
	})
}
