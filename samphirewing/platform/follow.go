package platform

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
)

const (
	// followWaitMargin is how long before the end of the contact window an
	// unresponsive connection to the store is detected. It leaves time for a
	// retry and a late timer.
	followWaitMargin = 300 * time.Millisecond
	// followWaitMin and followWaitMax bound how long one read of a topic waits
	// for records. The minimum limits the rate of calls; the maximum is well
	// below the 30 s that the store allows.
	followWaitMin = time.Second
	followWaitMax = 8 * time.Second
	// followPeersWait and followPeersBatchDelay are the read wait and the batch
	// delay for the daemons' own records. They may be long, since a new daemon
	// also reports to daemons that have not read its record yet.
	followPeersWait       = 20 * time.Second
	followPeersBatchDelay = 2 * time.Second
	// followRetryMin and followRetryMax bound the delay after a failed call.
	followRetryMin = 100 * time.Millisecond
	followRetryMax = 800 * time.Millisecond
	// followBatchDelay batches records that are written in quick succession
	// into one read, since the reads of every daemon are charged. Leaving
	// endpoints must be known within two seconds.
	followBatchDelay = 250 * time.Millisecond
	// staleRetryMax bounds the delay before a stale listing is requested again.
	// The store may return stale listings for seconds.
	staleRetryMax = 400 * time.Millisecond
)

// topicReader applies the contents of a keyed topic.
type topicReader interface {
	// applyListing applies the newest record of each key; records from end on
	// follow as changes. It returns false if the listing is older than the
	// state already applied. Listings older than the last read are not passed
	// in.
	applyListing(records []keyedRecord, end int64) bool
	// applyChanges applies records in their order.
	applyChanges(records []keyedRecord)
	// noChanges is called when a read has returned no records.
	noChanges()
	// maxWait returns the maximum wait of the next read; zero means no limit.
	maxWait() time.Duration
	// storeLost and storeRestored are called when the topic becomes unreadable,
	// and when it becomes readable again.
	storeLost()
	storeRestored()
}

// noopReader provides the optional methods of a topicReader, for topics whose
// entries don't expire.
type noopReader struct{}

func (noopReader) noChanges()             {}
func (noopReader) maxWait() time.Duration { return 0 }
func (noopReader) storeLost()             {}
func (noopReader) storeRestored()         {}

// follower keeps a topicReader up to date with a topic.
type follower struct {
	store *storeClient
	topic string
	// wait is how long one read waits for records. batchDelay is the delay
	// after a read with records, so that the next read returns several.
	wait, batchDelay time.Duration
	reader           topicReader
	events           events.Sink

	nextOffset     int64
	hasOffset      bool
	disconnected   bool
	disconnectedAt time.Time
	retryDelay     time.Duration
	// staleDelay is the last delay after a stale listing. lastReadWasListing is
	// set if nothing was read since the last listing.
	staleDelay         time.Duration
	lastReadWasListing bool
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrExpired):
			f.hasOffset = false
			f.events.Emit(EventRecordsExpired, events.F("topic", f.topic), events.F("offset", f.nextOffset))
			if f.lastReadWasListing {
				// The listing was older than the oldest record in the store.
				f.backOffStale(ctx)
			}
		case err != nil:
			f.recordFailure(ctx, err)
		}
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.hasOffset {
		return f.list(ctx)
	}
	wait := f.wait
	if f.disconnected {
		// Detect the store's return immediately, even if there are no changes.
		wait = 0
	}
	if limit := f.reader.maxWait(); limit > 0 {
		wait = min(wait, limit)
	}
	records, next, err := f.store.readRecords(ctx, f.topic, f.nextOffset, wait)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.nextOffset, f.staleDelay, f.lastReadWasListing = next, 0, false
	if len(records) == 0 {
		f.reader.noChanges()
		return nil
	}
	f.reader.applyChanges(records)
	sleep(ctx, f.batchDelay)
	return nil
}

func (f *follower) list(ctx context.Context) error {
	records, end, err := f.store.newestRecords(ctx, f.topic)
	if err != nil {
		return err
	}
	f.recordSuccess()
	if end < f.nextOffset || !f.reader.applyListing(records, end) {
		f.events.Emit(EventListingStale, events.F("topic", f.topic), events.F("end", end), events.F("known_end", f.nextOffset))
		f.backOffStale(ctx)
		return nil
	}
	f.hasOffset, f.nextOffset, f.lastReadWasListing = true, end, true
	return nil
}

// backOffStale sleeps after a stale listing, with exponential backoff.
func (f *follower) backOffStale(ctx context.Context) {
	f.staleDelay = min(max(2*f.staleDelay, followRetryMin), staleRetryMax)
	sleep(ctx, f.staleDelay)
}

func (f *follower) recordSuccess() {
	f.retryDelay = 0
	if f.disconnected {
		f.disconnected = false
		f.events.Emit(EventStoreRestored, events.F("topic", f.topic), events.F("away_ms", time.Since(f.disconnectedAt).Milliseconds()))
		f.reader.storeRestored()
	}
}

func (f *follower) recordFailure(ctx context.Context, err error) {
	if !f.disconnected {
		f.disconnected, f.disconnectedAt = true, time.Now()
		f.events.Emit(EventStoreLost, events.F("topic", f.topic), events.F("error", err))
		f.reader.storeLost()
	}
	f.retryDelay = min(max(2*f.retryDelay, followRetryMin), followRetryMax)
	sleep(ctx, f.retryDelay)
}

// followWait returns how long reads wait. An unresponsive connection to the
// store is then detected within the contact window.
func (s Settings) followWait() time.Duration {
	return min(max(s.ContactWindow-storeWaitSlack-followWaitMargin, followWaitMin), followWaitMax)
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
