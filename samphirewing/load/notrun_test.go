package load

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

func TestFalseNotRunIsCounted(t *testing.T) {
	tally := newTally()
	call := Request{Organisation: "medina", Kind: KindService, Target: "parts-booking"}
	truthful, lying := call, call
	truthful.Key, lying.Key = "truthful", "lying"
	tally.rememberLocked(result{ids: []structs.RequestID{"a"}, outcome: OutcomeNotRun})
	tally.rememberLocked(result{ids: []structs.RequestID{"b"}, outcome: OutcomeNotRun})
	tally.rememberLocked(result{ids: []structs.RequestID{"c"}, outcome: OutcomeDone})
	tally.rememberLocked(result{request: truthful, outcome: OutcomeNotRun})
	tally.rememberLocked(result{request: lying, outcome: OutcomeNotRun})
	counted := tally.countStandIns(
		map[structs.RequestID]int{"b": 1, "c": 1},
		map[serviceKey]int{{"parts-booking", "medina/lying"}: 1})
	assert.DeepEqual(t, counted, StandInReport{Dispatched: 2, KeysRun: 1, NotRunButRan: 2})
}
