package simulation_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/coordination/simulation"
	"github.com/samphirewing/coordkit/protocol/invariant"
)

// TestDefectsAreDetected shows that the checks can fail: each deliberate fault
// violates an invariant with its seed.
func TestDefectsAreDetected(t *testing.T) {
	for _, c := range []struct {
		defect   simulation.Defect
		seed     uint64
		violated invariant.Name
	}{
		{simulation.DefectNoReadBack, 1, "simulation-key-runs-at-most-once"},
		{simulation.DefectTrustIndex, 1, "simulation-key-runs-at-most-once"},
		{simulation.DefectDispatchEarly, 1, "simulation-not-run-is-true"},
		{simulation.DefectLateWin, 2, "simulation-not-run-is-true"},
		{simulation.DefectNoSendByCheck, 36, "simulation-key-runs-at-most-once"},
		{simulation.DefectFalseNotRun, 1, "simulation-key-runs-at-most-once"},
		{simulation.DefectIgnoreRevisions, 1, "simulation-one-racing-change-accepted"},
		{simulation.DefectDivergentState, 2, "simulation-same-history"},
		{simulation.DefectOldSnapshot, 1, "simulation-revision-never-falls"},
		{simulation.DefectStalledReplica, 1, "simulation-in-force-in-time"},
		{simulation.DefectNoLeaseCheck, 5, "simulation-orders-of-holders-in-order"},
		{simulation.DefectNoWaitOut, 4, "simulation-orders-of-holders-in-order"},
	} {
		t.Run(string(c.defect), func(t *testing.T) {
			r := simulation.RunSeed(c.seed, c.defect)
			assert.Assert(t, r.Failed)
			assert.Equal(t, r.Violation.Name, c.violated)
		})
	}
}
