package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/gateway"
)

// listing is the newest record of each key of a topic, read at readAt.
type listing struct {
	records []keyedRecord
	end     int64
	readAt  time.Time
	// epoch is that of the offsets.
	epoch uint64
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
	if !f.applyListing(listing{records, l.End, l.ReadAt, l.Epoch}) {
		return false
	}
	f.relayed = true
	f.recordReadable()
	f.events.Emit(EventListingReceived, events.F("topic", f.topic), events.F("records", len(records)), events.F("waited_ms", time.Since(started).Milliseconds()))
	return true
}

// applyListing applies a listing. It returns false if the listing is stale.
func (f *follower) applyListing(l listing) bool {
	if l.epoch > f.epoch {
		f.beginEpoch(l.epoch)
	}
	if l.epoch < f.epoch || l.end < f.nextOffset || !f.reader.applyListing(l.records, l.end) {
		f.events.Emit(EventListingStale, events.F("topic", f.topic), events.F("end", l.end), events.F("known_end", f.nextOffset), events.F("epoch", l.epoch))
		return false
	}
	f.hasOffset, f.nextOffset, f.lastReadWasListing, f.listed = true, l.end, true, true
	if f.feed != nil {
		shared := gateway.Listing{End: l.end, ReadAt: l.readAt, Epoch: l.epoch}
		for _, r := range l.records {
			shared.Records = append(shared.Records, gateway.Record(r))
		}
		f.feed.EndListing(shared)
	}
	return true
}

// jitter returns between half and all of a delay, so that daemons that failed at the
// same time don't call the store at the same time again.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
