package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPlanIsDeterministicForSeed(t *testing.T) {
	assert.Equal(t, newPlan(7, 20*time.Second, nil).String(), newPlan(7, 20*time.Second, nil).String())
	assert.Assert(t, newPlan(7, 20*time.Second, nil).String() != newPlan(8, 20*time.Second, nil).String())
}

// Each plan starts with planned work only. Across seeds, faults overlap and every
// kind occurs.
func TestPlansStartWithPlannedFaultsAndCoverEveryKind(t *testing.T) {
	seen := map[faultKind]bool{}
	overlapping := 0
	for seed := range uint64(50) {
		p := newPlan(seed, 16*time.Second, nil)
		for i, f := range p.faults {
			seen[f.kind] = true
			assert.Assert(t, f.kind.isPlanned() || f.at > 7*time.Second, "%v", f)
			if i > 0 && p.faults[i-1].at+p.faults[i-1].duration > f.at {
				overlapping++
			}
		}
	}
	assert.Equal(t, len(seen), len(plannedKinds)+len(unplannedKinds))
	assert.Assert(t, overlapping > 100, "%d overlap", overlapping)
}

func TestShrinkKeepsOnlyFaultsThatCauseFailure(t *testing.T) {
	p := newPlan(3, 16*time.Second, nil)
	guilty := p.faults[len(p.faults)/2]
	smaller := shrink(p, 100, func(tried plan) bool {
		for _, f := range tried.faults {
			if f == guilty {
				return true
			}
		}
		return false
	})
	assert.Equal(t, smaller.String(), guilty.String())
}

func TestShrinkHonoursTryLimit(t *testing.T) {
	tries := 0
	shrink(newPlan(3, 16*time.Second, nil), 5, func(plan) bool { tries++; return true })
	assert.Assert(t, tries <= 5)
}
