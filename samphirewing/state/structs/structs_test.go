package structs

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEveryReasonHasRemedy(t *testing.T) {
	for reason := range remedies {
		r := Refusal{Reason: reason}
		assert.Assert(t, r.Reason.Remedy() != "", "reason %s has no remedy", reason)
	}
}

func TestOutcomeString(t *testing.T) {
	assert.Equal(t, OutcomeDone.String(), "done")
	assert.Equal(t, OutcomeNotRun.String(), "not_run")
	assert.Equal(t, OutcomeFailed.String(), "failed")
	assert.Equal(t, OutcomeUnknown.String(), "unknown")
}
