package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

const (
	// batchWork is how long a batch runs, and batchDeadline its time limit: longer than
	// a daemon that stops goes on.
	batchWork     = stopGrace + time.Second
	batchDeadline = 14 * time.Second
	batchSlots    = 2
	// batchesBefore and batchesAfter are the numbers of batches sent before a daemon is
	// stopped and in the batchPeriod from then on, in which callers may still have its
	// address.
	batchesBefore = 10
	batchesAfter  = 10
	batchPeriod   = 3 * time.Second
	// batchLead is the time from the first batches to the stop.
	batchLead = 500 * time.Millisecond
)

// batchRoute is a route of long calls, to an endpoint of its own.
var batchRoute = route{name: "batch", pool: "batches", maxRuns: 1, deadline: batchDeadline}

func addBatchRoute(document map[string]any) {
	operator.AddService(document, batchRoute.pool, batchRoute.name, batchRoute.deadline)
}

func (env *environment) startBatchEndpoint() error {
	env.batches = &endpoint{options: runner.Options{ID: "batches-1", Service: batchRoute.pool, Zone: zone(0), Slots: batchSlots, Delay: batchWork}}
	return env.startEndpoint(env.batches, 0)
}

// stopWhileWaiting stops a daemon where batches wait for a slot, and sends it more
// while it stops.
func (in *injector) stopWhileWaiting(f fault, d *daemon) error {
	if !d.tryAcquire() {
		return nil
	}
	defer in.env.history.beginSpan(f.kind, d.name)()
	random := rand.New(rand.NewPCG(uint64(f.target), 1))
	var sent sync.WaitGroup
	for n := range batchesBefore + batchesAfter {
		delay := time.Duration(random.Int64N(int64(batchLead / 2)))
		if n >= batchesBefore {
			delay = batchLead + time.Duration(random.Int64N(int64(batchPeriod)))
		}
		sent.Go(func() {
			time.Sleep(delay)
			in.env.sendBatch(d, fmt.Sprintf("b%d-%d-%d", f.at.Milliseconds(), f.target, n))
		})
	}
	time.Sleep(batchLead)
	killed, err := d.terminate()
	if killed {
		in.env.history.addOverdueStop(d.name)
	}
	sent.Wait()
	return err
}

func (env *environment) sendBatch(d *daemon, id string) {
	c := caller.New(env.dial)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), batchDeadline+time.Second)
	defer cancel()
	o := outcome{id: id, route: batchRoute.name, key: operator.APIKey, daemon: d.name, incarnation: d.currentIncarnation(), sentAt: time.Now()}
	o.answer = c.Send(ctx, d.port(operator.FrontendPort), caller.Request{
		ID: id, Host: operator.Host, Path: "/" + batchRoute.name + "/" + id, Key: operator.APIKey, Deadline: batchDeadline,
	})
	o.endedAt = time.Now()
	env.history.addOutcome(o)
}
