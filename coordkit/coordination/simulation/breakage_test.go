package simulation_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/coordination/simulation"
	"github.com/samphirewing/coordkit/protocol/invariant"
)

// TestBreakagesAreCaught shows that the checks can fail: each deliberate fault
// breaks an invariant in the named seed.
func TestBreakagesAreCaught(t *testing.T) {
	for _, c := range []struct {
		broken simulation.Breakage
		seed   uint64
		breach invariant.Name
	}{
		{simulation.BreakNoReadBack, 1, "simulation-key-runs-at-most-once"},
		{simulation.BreakTrustIndex, 1, "simulation-key-runs-at-most-once"},
		{simulation.BreakDispatchEarly, 1, "simulation-not-run-is-true"},
		{simulation.BreakLateWin, 2, "simulation-not-run-is-true"},
		{simulation.BreakNoSendBy, 36, "simulation-key-runs-at-most-once"},
		{simulation.BreakFalseNotRun, 1, "simulation-key-runs-at-most-once"},
		{simulation.BreakIgnoreRevisions, 1, "simulation-one-racing-change-accepted"},
		{simulation.BreakOneFoldDiffers, 2, "simulation-same-history"},
		{simulation.BreakOldSnapshot, 1, "simulation-revision-never-falls"},
		{simulation.BreakDeafReplica, 1, "simulation-in-force-in-time"},
		{simulation.BreakNoLeaseCheck, 5, "simulation-orders-of-holders-in-order"},
		{simulation.BreakNoWaitOut, 4, "simulation-orders-of-holders-in-order"},
	} {
		t.Run(string(c.broken), func(t *testing.T) {
			r := simulation.Do(c.seed, c.broken)
			assert.Assert(t, r.Failed)
			assert.Equal(t, r.Breach.Name, c.breach)
		})
	}
}
