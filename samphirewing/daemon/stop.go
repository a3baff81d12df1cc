package daemon

import (
	"context"
	"time"

	"github.com/samphirewing/coordkit/events"
)

// stopPoll is how often a stopping daemon looks whether it is idle.
const stopPoll = 20 * time.Millisecond

// Stop ends the daemon without cutting a request in progress. It leaves the
// entry list, goes on serving for as long as callers may keep the list, hands
// its shards over, waits for all that it holds and then closes. It returns the
// context's error when that ends first; Kill then cuts what is left.
func (d *Daemon) Stop(ctx context.Context) error {
	d.events.Emit(EventStopping, events.F("held", d.Held()))
	d.members.leave()
	if !sleep(ctx, d.settings.EntriesKeepFor+d.settings.DrainGrace) {
		return ctx.Err()
	}
	d.backend.refusing.Store(true)
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

// waitIdle waits until nothing is held and no other entry's request waits in
// a shard here.
func (d *Daemon) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(stopPoll)
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
