package poolowner

import (
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (o *Owner) queueLimit() int {
	if o.pool.QueueLimit > 0 {
		return o.pool.QueueLimit
	}
	return o.options.DefaultQueueLimit
}

// shed refuses waiting requests above the queue limit: the youngest of the
// most served organisation in the least urgent tier that waits.
func (o *Owner) shed() {
	for o.takenOver && o.waiting.Len() > o.queueLimit() {
		item := o.waiting.ShedCandidate()
		r := o.requests[item.ID]
		lowest, _ := o.waiting.Lowest()
		if !invariant.Check(item.Rank == lowest, "shed-lowest", "rank %d shed while rank %d waits", item.Rank, lowest) {
			return
		}
		o.accounting.Shed++
		o.decisions.add(scheduling.Decision{
			At:      o.now,
			Request: r.spec.ID,
			Kind:    scheduling.DecisionShed,
			Reason:  structs.ReasonQueueFull,
		})
		o.refuse(r, structs.OutcomeNotRun, structs.ReasonQueueFull)
	}
}
