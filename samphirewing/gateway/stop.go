package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/stopping"
	"github.com/samphirewing/samphirewing/state/structs"
)

const reasonStopping = "this daemon is stopping"

// errStopped is the cause for which the requests in progress are ended.
var errStopped = errors.New(reasonStopping)

// BeginStop announces that the daemon stops. Requests are refused from then on as the
// schedule says.
func (g *Gateway) BeginStop(s stopping.Schedule) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop = s
	g.refuseWaitingLocked(time.Now())
}

// EndRequests ends the requests in progress, so that their callers get an answer
// before the process exits. Those that may have run are answered as such.
func (g *Gateway) EndRequests() { g.endRequests() }

// StopServing takes a server through a stop that has begun. While callers may have its
// address, it goes on. Then it takes no new connections and waits for the requests in
// progress, which are ended in time for the exit. It returns an error if callers have
// not taken all answers in the end.
func (g *Gateway) StopServing(server *http.Server, s stopping.Schedule) error {
	end, cancel := context.WithDeadline(context.Background(), s.EndAt())
	defer cancel()
	timer := time.NewTimer(time.Until(s.AddressUntil))
	defer timer.Stop()
	select {
	case <-timer.C:
		// An error means that requests are still in progress.
		_ = server.Shutdown(end)
	case <-end.Done():
	}
	g.EndRequests()
	exit, cancelExit := context.WithDeadline(context.Background(), s.Latest)
	defer cancelExit()
	return errors.Trace(server.Shutdown(exit))
}

// refusesNew reports whether a request that has just been read must be refused.
func (g *Gateway) refusesNew(now time.Time, pool structs.PoolName, deadline time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stop.RefusesNew(now, deadline) || g.stop.RefusesUnsent(now, deadline, g.meanDurationLocked(pool))
}

// refusesUnsent reports whether a request that has been sent nowhere must be refused.
func (g *Gateway) refusesUnsent(now time.Time, pool structs.PoolName, deadline time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stop.RefusesUnsent(now, deadline, g.meanDurationLocked(pool))
}

func (g *Gateway) meanDurationLocked(pool structs.PoolName) time.Duration {
	if !g.stop.Begun() {
		return 0
	}
	return g.scheduler.MeanDuration(pool)
}

// refuseWaitingLocked refuses the waiting requests that may not end before the daemon.
// The most urgent and those that came first return first.
func (g *Gateway) refuseWaitingLocked(now time.Time) {
	if !g.stop.Begun() {
		return
	}
	means := map[structs.PoolName]time.Duration{}
	var refused []*dispatch.Request
	for r := range g.waiters {
		mean, known := means[r.Pool]
		if !known {
			mean = g.meanDurationLocked(r.Pool)
			means[r.Pool] = mean
		}
		if g.stop.RefusesUnsent(now, r.Deadline, mean) && g.scheduler.Withdraw(r) {
			refused = append(refused, r)
		}
	}
	slices.SortFunc(refused, func(a, b *dispatch.Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Arrived.Compare(b.Arrived))
	})
	for n, r := range refused {
		g.notifyLocked(r, decision{stopping: true, retryAfter: stopping.RetryAfterOf(n)})
	}
}
