package entry

import (
	"sort"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// shardState returns the state of a shard and creates it if necessary.
func (e *Entry) shardState(now time.Time, s Shard) *shardState {
	state, ok := e.shards[s]
	if !ok {
		state = &shardState{
			requests:    make(map[structs.RequestID]*request),
			nextReoffer: now.Add(e.options.ReofferInterval),
		}
		e.shards[s] = state
	}
	return state
}

func (e *Entry) handleOwnerChanged(now time.Time, ev OwnerChanged) {
	state := e.shardState(now, ev.Shard)
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

// withdrawAll withdraws all waiting requests from a replaced owner, so that it
// places none of them if it is still running.
func (e *Entry) withdrawAll(previous instance.ID, shard Shard, state *shardState) {
	for _, r := range sortedByAcceptance(state.requests) {
		if r.phase != phaseWaiting {
			continue
		}
		w := scheduling.Withdraw{ID: r.spec.ID}
		e.emit(SendWithdraw{To: previous, Shard: shard, Withdraw: w})
	}
}

// offerAll offers all requests of a shard to its owner, in batches.
func (e *Entry) offerAll(now time.Time, shard Shard, state *shardState) {
	state.nextReoffer = now.Add(e.options.ReofferInterval)
	if state.owner == "" {
		return
	}
	var batch []scheduling.Offer
	for _, r := range sortedByAcceptance(state.requests) {
		batch = append(batch, e.offer(r))
		if len(batch) == OfferBatchLimit {
			e.emit(SendOffers{To: state.owner, Shard: shard, Offers: batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		e.emit(SendOffers{To: state.owner, Shard: shard, Offers: batch})
	}
}

func (e *Entry) offer(r *request) scheduling.Offer {
	o := scheduling.Offer{Request: r.spec}
	if r.phase != phaseWaiting {
		o.Running = true
		o.Endpoint = r.endpoint
		o.Streamed = r.output
	}
	return o
}

func (e *Entry) withdraw(r *request, reason structs.Reason) {
	owner := e.shards[r.shard].owner
	if owner == "" {
		return
	}
	w := scheduling.Withdraw{ID: r.spec.ID, Reason: reason}
	e.emit(SendWithdraw{To: owner, Shard: r.shard, Withdraw: w})
}

func (e *Entry) sortedShards() []Shard {
	all := make([]Shard, 0, len(e.shards))
	for s := range e.shards {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Less(all[j]) })
	return all
}

// sortedByAcceptance returns the requests in order of acceptance.
func sortedByAcceptance(requests map[structs.RequestID]*request) []*request {
	all := make([]*request, 0, len(requests))
	for _, r := range requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool {
		if !all[i].acceptedAt.Equal(all[j].acceptedAt) {
			return all[i].acceptedAt.Before(all[j].acceptedAt)
		}
		return all[i].spec.ID < all[j].spec.ID
	})
	return all
}
