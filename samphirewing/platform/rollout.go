package platform

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/rollout"
	"github.com/samphirewing/samphirewing/gateway"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// statusWaitShare and statusAgeShare are the parts of the roll-back time for which
	// one read of the statuses waits, and for which relayed statuses count as current.
	// Without a read for half of it, a version without a verdict gets no requests.
	statusWaitShare = 8
	statusAgeShare  = 3
	// statusWriteInterval is how often due statuses are looked for.
	statusWriteInterval = 100 * time.Millisecond
	// maxOrderSeconds bounds the duration of an order to a week.
	maxOrderSeconds = 7 * 24 * 3600
)

// rolloutOrder is the operator's order to move a service to a version.
type rolloutOrder struct {
	Service, Target string
	DurationS       float64
}

// rolloutStatus is the status of an order.
type rolloutStatus struct{ State, Target string }

var rolloutStates = map[string]rollout.State{"in_progress": rollout.InProgress, "completed": rollout.Completed, "rolled_back": rollout.RolledBack}

func stateName(s rollout.State) string {
	for name, state := range rolloutStates {
		if state == s {
			return name
		}
	}
	return ""
}

func decodeOrder(key string, value []byte) (rollout.Order, error) {
	var o rolloutOrder
	if err := json.Unmarshal(value, &o); err != nil {
		return rollout.Order{}, errors.Annotatef(err, "order %s", key)
	}
	service := strings.TrimPrefix(key, keyRollout)
	if o.Service != service || o.Target == "" || !(o.DurationS > 0) || o.DurationS > maxOrderSeconds {
		return rollout.Order{}, errors.Errorf("order %s names service %q, target %q and %v s; it needs the key's service, a target and a duration of at most %d s", key, o.Service, o.Target, o.DurationS, maxOrderSeconds)
	}
	return rollout.Order{Service: structs.PoolName(service), Target: o.Target, Duration: seconds(o.DurationS)}, nil
}

// orderReader applies the operator's orders. From the first one on, this daemon
// follows and writes the statuses.
type orderReader struct {
	daemon    *Daemon
	ctx       context.Context
	following bool
	// restored is set until the listing that follows a restore of the store.
	restored bool
}

func (r *orderReader) apply(records []keyedRecord, listing bool) {
	change := gateway.RolloutOrders{Listing: listing, Restored: listing && r.restored}
	r.restored = r.restored && !listing
	for _, record := range records {
		service, isOrder := strings.CutPrefix(record.Key, keyRollout)
		if !isOrder {
			continue
		}
		if record.Value == nil {
			change.Removed = append(change.Removed, structs.PoolName(service))
			continue
		}
		order, err := decodeOrder(record.Key, record.Value)
		if err != nil {
			r.daemon.events.Emit(EventRolloutOrderFault, events.F("offset", record.Offset), events.F("error", err))
			continue
		}
		change.Orders = append(change.Orders, order)
	}
	if r.daemon.gateway.SetRolloutOrders(change) && !r.following {
		r.following = true
		r.daemon.followStatuses(r.ctx)
	}
}

// followStatuses follows the statuses of orders, and writes those that this daemon
// has to write.
func (d *Daemon) followStatuses(ctx context.Context) {
	bound := d.settings.Rollout.RollbackTime
	if bound <= 0 {
		bound = rollout.DefaultRollbackTime
	}
	feed := d.gateway.Feed(topicStatus)
	feed.SetMaxAge(bound / statusAgeShare)
	f := &follower{
		store: d.store, topic: topicStatus, wait: bound / statusWaitShare, batchDelay: followRetryMin, relayWait: bound / statusWaitShare,
		feed: feed, reader: &statusReader{gateway: d.gateway, events: d.events}, events: d.events,
	}
	d.running.Go(func() { f.run(ctx) })
	d.running.Go(func() {
		for ctx.Err() == nil {
			for _, w := range d.gateway.DueRolloutStatuses() {
				d.gateway.RolloutStatusWritten(w, d.writeStatus(ctx, w))
			}
			sleep(ctx, statusWriteInterval)
		}
	})
}

func (d *Daemon) writeStatus(ctx context.Context, w rollout.Write) error {
	value, err := json.Marshal(rolloutStatus{State: stateName(w.Status.State), Target: w.Status.Target})
	if err != nil {
		return errors.Trace(err)
	}
	err = d.store.putKeyedAt(ctx, topicStatus, keyRollout+string(w.Service), value, w.At)
	if errors.Is(err, ErrPositionTaken) {
		d.events.Emit(EventRolloutStatusRaced, events.F("service", string(w.Service)), events.F("at", w.At))
		return nil
	}
	return err
}

// statusReader applies the statuses of orders.
type statusReader struct {
	noopReader
	gateway *gateway.Gateway
	events  events.Sink
}

func (r *statusReader) applyListing(records []keyedRecord, end int64) bool {
	r.applyAll(records)
	r.gateway.RolloutStatusesRead(topicStatus, end)
	return true
}

func (r *statusReader) applyChanges(records []keyedRecord) {
	r.applyAll(records)
	r.gateway.RolloutStatusesRead(topicStatus, records[len(records)-1].Offset+1)
}

func (r *statusReader) epochBegan() { r.gateway.RolloutStatusesLost() }

func (r *statusReader) noChanges(time.Time) { r.gateway.RolloutStatusesRead(topicStatus, 0) }

func (r *statusReader) applyAll(records []keyedRecord) {
	for _, record := range records {
		service, isStatus := strings.CutPrefix(record.Key, keyRollout)
		if !isStatus || record.Value == nil {
			continue
		}
		var s rolloutStatus
		err := json.Unmarshal(record.Value, &s)
		if state, known := rolloutStates[s.State]; err == nil && known {
			r.gateway.ApplyRolloutStatus(structs.PoolName(service), rollout.Status{State: state, Target: s.Target})
			continue
		}
		r.events.Emit(EventRolloutStatusFault, events.F("offset", record.Offset), events.F("state", s.State), events.F("error", err))
	}
}
