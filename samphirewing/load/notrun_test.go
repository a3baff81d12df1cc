package load

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

func TestFalseNotRunIsCounted(t *testing.T) {
	tally := newTally()
	call := Request{Organisation: "medina", Kind: KindService, Target: "parts-booking"}
	correct, wrong := call, call
	correct.Key, wrong.Key = "correct", "wrong"
	tally.recordAcceptedLocked(result{ids: []structs.RequestID{"a"}, outcome: OutcomeNotRun})
	tally.recordAcceptedLocked(result{ids: []structs.RequestID{"b"}, outcome: OutcomeNotRun})
	tally.recordAcceptedLocked(result{ids: []structs.RequestID{"c"}, outcome: OutcomeDone})
	tally.recordAcceptedLocked(result{request: correct, outcome: OutcomeNotRun})
	tally.recordAcceptedLocked(result{request: wrong, outcome: OutcomeNotRun})
	counted := tally.standInReport(
		map[structs.RequestID]int{"b": 1, "c": 1},
		map[serviceKey]int{{"parts-booking", "medina/wrong"}: 1})
	assert.DeepEqual(t, counted, StandInReport{Dispatched: 2, KeysRun: 1, NotRunButRan: 2})
}
