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

// shed refuses waiting requests above the queue limit: the youngest of the
// most served organisation in the least urgent tier that waits.
func (o *Owner) shed() {
	if !o.takenOver && !o.broken(breakShedInTakeover) {
		return
	}
	excess := o.excess()
	o.noteShedding(excess > 0)
	for ; excess > 0; excess-- {
		item := o.waiting.ShedCandidate()
		if o.broken(breakShedHighest) {
			o.waiting.Heads(func(first *queue.Item) bool { item = first; return false })
		}
		if item == nil || !o.shedOne(o.requests[item.ID]) {
			return
		}
	}
}

// Idle tells whether the owner holds no request.
func (o *Owner) Idle() bool { return len(o.requests) == 0 }

// SiblingReport returns what the other shards of the pool are to know before
// they shed.
func (o *Owner) SiblingReport() scheduling.SiblingReport {
	lowest, _ := o.waiting.Lowest()
	return scheduling.SiblingReport{Shard: o.options.Shard, LowestRank: lowest, Waiting: o.waiting.Len()}
}

func (o *Owner) excess() int {
	lowest, ok := o.waiting.Lowest()
	if !ok {
		return 0
	}
	own := admission.OwnLoad{LowestRank: lowest, Waiting: o.waiting.Len()}
	excess := o.shedder.Excess(o.now, o.queueLimit(), own)
	return min(excess, o.waiting.Waiting(lowest))
}

func (o *Owner) shedOne(r *request) bool {
	lowest, _ := o.waiting.Lowest()
	if !invariant.Check(r.spec.Rank == lowest, "shed-lowest", "rank %d shed while rank %d waits", r.spec.Rank, lowest) {
		return false
	}
	o.accounting.Shed++
	o.decisions.add(scheduling.Decision{
		At:      o.now,
		Request: r.spec.ID,
		Kind:    scheduling.DecisionShed,
		Reason:  structs.ReasonQueueFull,
	})
	o.refuse(r, structs.OutcomeNotRun, structs.ReasonQueueFull)
	return true
}

// noteShedding reports the begin and the end of a time with shedding.
func (o *Owner) noteShedding(now bool) {
	if now {
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
