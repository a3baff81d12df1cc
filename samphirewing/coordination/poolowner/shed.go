package poolowner

import (
	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/admission"
	"github.com/samphirewing/samphirewing/coordination/queue"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (o *Owner) queueLimit() int {
	if o.pool.QueueLimit > 0 {
		return o.pool.QueueLimit
	}
	return o.options.DefaultQueueLimit
}

// shed refuses waiting requests above the queue limit: the newest of the most
// served organisation in the least urgent tier that has waiting requests.
func (o *Owner) shed() {
	if !o.takeoverDone && !o.defectInjected(defectShedDuringTakeover) {
		return
	}
	excess := o.excess()
	o.updateShedding(excess > 0)
	for ; excess > 0; excess-- {
		item := o.waiting.ShedCandidate()
		if o.defectInjected(defectShedHighestTier) {
			o.waiting.Heads(func(first *queue.Item) bool { item = first; return false })
		}
		if item == nil || !o.shedRequest(o.requests[item.ID]) {
			return
		}
	}
}

// Idle reports whether the owner has no unfinished request.
func (o *Owner) Idle() bool { return len(o.requests) == 0 }

// SiblingReport returns the queue state that the other shards of the pool need
// for shedding.
func (o *Owner) SiblingReport() scheduling.SiblingReport {
	lowest, _ := o.waiting.LowestRank()
	return scheduling.SiblingReport{Shard: o.options.Shard, LowestRank: lowest, Waiting: o.waiting.Len()}
}

// excess returns how many waiting requests to shed.
func (o *Owner) excess() int {
	lowest, ok := o.waiting.LowestRank()
	if !ok {
		return 0
	}
	own := admission.OwnLoad{LowestRank: lowest, Waiting: o.waiting.Len()}
	excess := o.shedder.Excess(o.now, o.queueLimit(), own)
	return min(excess, o.waiting.WaitingAt(lowest))
}

func (o *Owner) shedRequest(r *request) bool {
	lowest, _ := o.waiting.LowestRank()
	if !invariant.Check(r.spec.Rank == lowest, "shed-lowest", "rank %d shed while rank %d waits", r.spec.Rank, lowest) {
		return false
	}
	o.totals.Shed++
	o.decisions.add(scheduling.Decision{
		At:      o.now,
		Request: r.spec.ID,
		Kind:    scheduling.DecisionShed,
		Reason:  structs.ReasonQueueFull,
	})
	o.refuse(r, structs.OutcomeNotRun, structs.ReasonQueueFull)
	return true
}

// updateShedding emits events when shedding begins, and when it has not
// occurred for sweepInterval.
func (o *Owner) updateShedding(active bool) {
	if active {
		o.lastShed = o.now
		if !o.shedding {
			o.shedding = true
			o.options.Events.Emit(EventSheddingBegan, events.F("pool", o.options.Pool), events.F("waiting", o.waiting.Len()))
		}
		return
	}
	if o.shedding && o.now.Sub(o.lastShed) > sweepInterval {
		o.shedding = false
		o.options.Events.Emit(EventSheddingEnded, events.F("pool", o.options.Pool))
	}
}
