package gateway

import (
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/rollout"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// hungFactor and hungMin are the forecasts and the time after which a request
	// that ends without a response counts as lost by the endpoint.
	hungFactor = 4
	hungMin    = time.Second
)

// RolloutOrders is a change of the operator's orders.
type RolloutOrders struct {
	Orders  []rollout.Order
	Removed []structs.PoolName
	// Listing is set if Orders is complete; such orders may have been given before
	// this daemon started.
	Listing bool
	// Restored is set for a listing of a store that was restored from a copy. It may
	// lack orders, or have others that have been replaced since.
	Restored bool
}

// SetRolloutOrders applies orders. It returns whether any order is known.
func (g *Gateway) SetRolloutOrders(o RolloutOrders) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	listed := map[structs.PoolName]bool{}
	for _, order := range o.Orders {
		listed[order.Service] = true
		if o.Restored && g.rollouts.Ordered(order.Service) {
			continue
		}
		g.rollouts.PutOrder(now, order, !o.Listing)
	}
	for _, service := range o.Removed {
		g.rollouts.RemoveOrder(service)
	}
	if o.Listing && !o.Restored {
		g.rollouts.RetainOrders(listed)
	}
	g.emitRolloutNoticesLocked()
	return g.rollouts.Active()
}

// ApplyRolloutStatus applies the recorded status of a service's rollout.
func (g *Gateway) ApplyRolloutStatus(service structs.PoolName, s rollout.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.rollouts.ApplyStatus(now, service, s)
	g.emitRolloutNoticesLocked()
	g.advanceLocked(now)
}

// RolloutStatusesLost records that the store was restored from a copy, which may lack the
// newest statuses.
func (g *Gateway) RolloutStatusesLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.StatusesLost()
}

// RolloutStatusesRead records that the statuses before a position of their topic
// were applied.
func (g *Gateway) RolloutStatusesRead(topic string, next int64) {
	feed := g.Feed(topic)
	received, currentAt := feed.ownPosition().Next, feed.CurrentAt()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rolloutTopic = topic
	g.rollouts.StatusRead(max(next, received), currentAt)
}

// DueRolloutStatuses returns the statuses that this daemon is to write. Each must be
// followed by RolloutStatusWritten.
func (g *Gateway) DueRolloutStatuses() []rollout.Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rollouts.Due(time.Now())
}

// RolloutStatusWritten records the end of an attempt to write a status.
func (g *Gateway) RolloutStatusWritten(w rollout.Write, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.Written(time.Now(), w, err)
	g.emitRolloutNoticesLocked()
}

// SetRolloutBounds changes the bounds of rollouts.
func (g *Gateway) SetRolloutBounds(s rollout.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.SetSettings(s)
}

// ExplainRollouts says of each order why it advances, waits or was rolled back.
func (g *Gateway) ExplainRollouts() map[structs.PoolName]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rollouts.ExplainAll(time.Now())
}

func (g *Gateway) setRolloutMember(self instance.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.SetIncarnation(string(self.ID), uint32(aggregation.KeyOf(self)))
}

// rolloutFleetLocked returns what this daemon knows of the others.
func (p *Peering) rolloutFleetLocked(now time.Time, members []instance.ID, unresponsive int) rollout.Fleet {
	f := rollout.Fleet{Unresponsive: unresponsive, ViewAge: p.node.ViewAge(now)}
	for _, id := range members {
		if p.table.Responsive(now, id) {
			f.Responsive = append(f.Responsive, string(id))
		}
	}
	return f
}

// tickRollouts evaluates the evidence and returns what to report.
func (g *Gateway) tickRollouts(now time.Time, fleet rollout.Fleet) (up, down *peerpb.Rollouts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.SetFleet(now, fleet)
	if !g.rollouts.Active() {
		return nil, nil
	}
	if feed := g.feeds[g.rolloutTopic]; feed != nil {
		g.rollouts.StatusCurrent(feed.CurrentAt())
	}
	g.rollouts.Evaluate(now, func(o rollout.Order) rollout.Capacity {
		return g.scheduler.VersionCapacity(now, o.Service, o.Target)
	})
	g.emitRolloutNoticesLocked()
	inProgress, closed := g.rollouts.InProgress()
	g.metrics.rolloutsInProgress.Update(int64(inProgress))
	g.metrics.closedGates.Update(int64(closed))
	g.metrics.exposed.Inc(g.rollouts.TotalExposed() - g.metrics.exposed.Count())
	return g.rollouts.Outgoing(now)
}

func (g *Gateway) mergeRollouts(now time.Time, u aggregation.Update) {
	if u.Rollouts == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.Merge(now, u.Rollouts, u.FromChild)
}

func attemptOf(grant *dispatch.Grant) rollout.Attempt {
	return rollout.Attempt{Service: grant.Request.Pool, Route: grant.Request.Route, Endpoint: grant.Endpoint.Name, Version: grant.Endpoint.Version}
}

// forecastOf returns the forecast if it is based on the endpoint's responses.
func forecastOf(grant *dispatch.Grant) time.Duration {
	if grant.Learned {
		return grant.Forecast
	}
	return 0
}

// recordTimeLocked records the time until a grant's first event as evidence.
func (g *Gateway) recordTimeLocked(now time.Time, grant *dispatch.Grant) {
	if !grant.Started() && !grant.Released() {
		g.rollouts.Timed(attemptOf(grant), grant.Elapsed(now), forecastOf(grant), grant.Usual)
	}
}

// recordResultLocked records a grant's result as evidence. Attempts that did not
// reach the endpoint, or that it rejected, are none.
func (g *Gateway) recordResultLocked(now time.Time, grant *dispatch.Grant, result dispatch.Result) {
	if grant.Released() {
		return
	}
	switch result {
	case dispatch.Succeeded:
		if grant.Plain {
			g.rollouts.Timed(attemptOf(grant), grant.Elapsed(now), forecastOf(grant), grant.Usual)
		}
		g.rollouts.Ended(attemptOf(grant), rollout.Succeeded)
	case dispatch.Failed:
		g.rollouts.Ended(attemptOf(grant), rollout.Failed)
	case dispatch.Abandoned:
		if elapsed := grant.Elapsed(now); !grant.Started() && elapsed >= max(hungFactor*grant.Forecast, hungMin) {
			g.rollouts.Ended(attemptOf(grant), rollout.Broken)
		}
	}
}

// recordPace records the pace of a complete stream as evidence.
func (g *Gateway) recordPace(grant *dispatch.Grant, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slowness := 0.0
	if grant.Learned && grant.Usual > 0 {
		slowness = float64(grant.Forecast) / float64(grant.Usual)
	}
	g.rollouts.Streamed(attemptOf(grant), grant.Streaming(time.Now()), bytes, slowness)
}

// recordBroken records a response that was lost with its connection.
func (g *Gateway) recordBroken(grant *dispatch.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollouts.Ended(attemptOf(grant), rollout.Broken)
}

var rolloutEvents = map[rollout.NoticeKind]events.Event{
	rollout.NoticeOrdered: EventRolloutOrdered, rollout.NoticeStep: EventRolloutStep, rollout.NoticeGateClosed: EventRolloutGateClosed,
	rollout.NoticeGateOpened: EventRolloutGateOpened, rollout.NoticeBadVersion: EventRolloutBadVersion,
	rollout.NoticeVerdict: EventRolloutVerdict, rollout.NoticeWriteFailed: EventRolloutWriteFailed,
}

func (g *Gateway) emitRolloutNoticesLocked() {
	for _, n := range g.rollouts.TakeNotices() {
		requests, exposed := g.rollouts.Exposure(n.Order.Service)
		g.options.Events.Emit(rolloutEvents[n.Kind], events.F("service", string(n.Order.Service)), events.F("target", n.Order.Target),
			events.F("state", n.State.String()), events.F("reason", n.Reason), events.F("requests", requests), events.F("exposed", exposed))
	}
}
