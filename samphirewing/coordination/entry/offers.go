package entry

import (
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (e *Entry) shard(now time.Time, s Shard) *shardState {
	state, ok := e.shards[s]
	if !ok {
		state = &shardState{
			requests:    make(map[structs.RequestID]*held),
			nextReoffer: now.Add(e.options.ReofferEvery),
		}
		e.shards[s] = state
	}
	return state
}

func (e *Entry) ownerIs(now time.Time, ev OwnerChanged) {
	state := e.shard(now, ev.Shard)
	if state.owner == ev.Owner {
		return
	}
	previous := state.owner
	state.owner = ev.Owner
	if previous != "" {
		e.withdrawAll(previous, ev.Shard, state)
	}
	e.offerAll(now, ev.Shard, state)
}

// withdrawAll takes waiting requests back from an owner that was replaced, so
// that one which still lives places none of them.
func (e *Entry) withdrawAll(previous instance.ID, shard Shard, state *shardState) {
	for _, h := range sortedHeld(state.requests) {
		if h.phase != waiting {
			continue
		}
		w := scheduling.Withdraw{ID: h.request.ID}
		e.emit(SendWithdraw{To: previous, Shard: shard, Withdraw: w})
	}
}

func (e *Entry) offerAll(now time.Time, shard Shard, state *shardState) {
	state.nextReoffer = now.Add(e.options.ReofferEvery)
	if state.owner == "" {
		return
	}
	var batch []scheduling.Offer
	for _, h := range sortedHeld(state.requests) {
		batch = append(batch, e.offer(h))
		if len(batch) == OfferBatchLimit {
			e.emit(SendOffers{To: state.owner, Shard: shard, Offers: batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		e.emit(SendOffers{To: state.owner, Shard: shard, Offers: batch})
	}
}

func (e *Entry) offer(h *held) scheduling.Offer {
	o := scheduling.Offer{Request: h.request}
	if h.phase != waiting {
		o.Running = true
		o.Endpoint = h.endpoint
		o.Streamed = h.output
	}
	return o
}

func (e *Entry) withdrawFrom(h *held, reason structs.Reason) {
	owner := e.shards[h.shard].owner
	if owner == "" {
		return
	}
	w := scheduling.Withdraw{ID: h.request.ID, Reason: reason}
	e.emit(SendWithdraw{To: owner, Shard: h.shard, Withdraw: w})
}

func (e *Entry) sortedShards() []Shard {
	all := make([]Shard, 0, len(e.shards))
	for s := range e.shards {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Less(all[j]) })
	return all
}

// sortedHeld returns requests in the order of their acceptance.
func sortedHeld(requests map[structs.RequestID]*held) []*held {
	all := make([]*held, 0, len(requests))
	for _, h := range requests {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool {
		if !all[i].accepted.Equal(all[j].accepted) {
			return all[i].accepted.Before(all[j].accepted)
		}
		return all[i].request.ID < all[j].request.ID
	})
	return all
}
