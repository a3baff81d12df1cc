package daemon

import (
	"context"
	"time"

	"github.com/samphirewing/coordkit/events"
)

// idlePollInterval is the interval at which a stopping daemon checks whether it
// is idle.
const idlePollInterval = 20 * time.Millisecond

// Stop shuts the daemon down without interrupting requests in progress. It marks
// the instance as leaving, which removes it from the entry list and hands its
// shards over, serves for as long as callers may cache the entry list, waits for
// all held requests and then closes. If the context ends first, it returns the
// context's error; Kill then interrupts the remaining requests.
func (d *Daemon) Stop(ctx context.Context) error {
	d.events.Emit(EventStopping, events.F("held", d.Held()))
	d.members.leave()
	if !sleep(ctx, d.settings.EntriesKeepFor+d.settings.DrainGrace) {
		return ctx.Err()
	}
	d.backend.draining.Store(true)
	if err := d.waitIdle(ctx); err != nil {
		return err
	}
	if err := d.bookings.journal.Drain(ctx); err != nil {
		return err
	}
	if err := d.orders.Drain(ctx); err != nil {
		return err
	}
	if err := d.callerServer.Shutdown(ctx); err != nil {
		return err
	}
	_ = d.stopTracing(ctx)
	d.events.Emit(EventStopped)
	d.Kill()
	return nil
}

// waitIdle waits until the entry holds no request.
func (d *Daemon) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for d.Held() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
