package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/gateway"
)

// recordsPatience is how long a daemon that starts waits for the records of the
// other daemons before it lists the other topics without knowing them.
const recordsPatience = 500 * time.Millisecond

// listing is the newest record of each key of a topic, read at readAt.
type listing struct {
	records []keyedRecord
	end     int64
	readAt  time.Time
}

// listingGate holds the first listings of a daemon that starts until it knows
// whether it reads them from the store or waits for those of other daemons.
type listingGate struct {
	once  sync.Once
	known chan struct{}
	until time.Time
}

func newListingGate() *listingGate { return &listingGate{known: make(chan struct{})} }

// release lets the listings go on, which wait so long for other daemons. Later
// calls have no effect.
func (g *listingGate) release(delay time.Duration) {
	g.once.Do(func() {
		g.until = time.Now().Add(delay)
		close(g.known)
	})
}

// wait returns how long to wait for the listing of another daemon.
func (g *listingGate) wait(ctx context.Context) time.Duration {
	timer := time.NewTimer(recordsPatience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.known:
		return time.Until(g.until)
	}
	return 0
}

// awaitRelayedListing waits for the listing of another daemon and applies it. It
// returns whether there was one.
func (f *follower) awaitRelayedListing(ctx context.Context, limit time.Duration) bool {
	if f.feed == nil || limit <= 0 {
		return false
	}
	started := time.Now()
	l, received := f.feed.AwaitListing(ctx, limit)
	if !received {
		return false
	}
	records := make([]keyedRecord, 0, len(l.Records))
	for _, r := range l.Records {
		records = append(records, keyedRecord(r))
	}
	if !f.applyListing(listing{records, l.End, l.ReadAt}, true) {
		return false
	}
	f.events.Emit(EventListingReceived, events.F("topic", f.topic), events.F("records", len(records)), events.F("waited_ms", time.Since(started).Milliseconds()))
	return true
}

// applyListing applies a listing. It returns false if the listing is stale.
func (f *follower) applyListing(l listing, relayed bool) bool {
	if l.end < f.nextOffset || !f.reader.applyListing(l.records, l.end) {
		f.events.Emit(EventListingStale, events.F("topic", f.topic), events.F("end", l.end), events.F("known_end", f.nextOffset))
		return false
	}
	f.hasOffset, f.nextOffset, f.lastReadWasListing = true, l.end, true
	if f.feed != nil {
		shared := gateway.Listing{End: l.end, ReadAt: l.readAt}
		for _, r := range l.records {
			shared.Records = append(shared.Records, gateway.Record(r))
		}
		f.feed.EndListing(shared, relayed)
	}
	return true
}

// jitter returns between half and all of a delay, so that daemons that failed at the
// same time don't call the store at the same time again.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
