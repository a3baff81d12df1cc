package platform

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
)

const (
	// followWaitMargin is what is left of the time after which an instance counts
	// as in contact again when a connection to the store that has gone silent is
	// noticed: for the retry and a late timer.
	followWaitMargin = 300 * time.Millisecond
	// followWaitMin and followWaitMax bound how long one read of a topic waits
	// for records: the first against too many calls, the second is well under the
	// 30 s that the store allows.
	followWaitMin = time.Second
	followWaitMax = 8 * time.Second
	// followPeersWait and followPeersPause are the wait and the pause for the
	// daemons' own records: a new daemon also reports to those that have not read
	// its record, so that they may do so later.
	followPeersWait  = 20 * time.Second
	followPeersPause = 2 * time.Second
	// followRetryMin and followRetryMax bound the pause after a failed call.
	followRetryMin = 100 * time.Millisecond
	followRetryMax = 800 * time.Millisecond
	// followPause collects records that are written one after another into one
	// read, since every daemon's read is charged. Endpoints that leave must be
	// known of within two seconds.
	followPause = 250 * time.Millisecond
	// staleRetryMax bounds the pause before a listing from before what is known
	// is asked for again; such listings may go on for seconds.
	staleRetryMax = 400 * time.Millisecond
)

// topicReader takes in what a keyed topic holds.
type topicReader interface {
	// listed takes the newest record of each key; records from end on follow as
	// changes. It returns false for a listing older than what is held. Listings
	// from before what was read don't come here.
	listed(records []keyedRecord, end int64) bool
	// changed takes records in their order.
	changed(records []keyedRecord)
	// confirmed tells that a read has found no change.
	confirmed()
	// within returns the most that the next read may wait; zero sets no limit.
	within() time.Duration
	// lost and back tell that the topic can't be read, and that it can again.
	lost()
	back()
}

// plainReader is the part of a topicReader that does nothing: for topics whose
// entries don't lapse.
type plainReader struct{}

func (plainReader) confirmed()            {}
func (plainReader) within() time.Duration { return 0 }
func (plainReader) lost()                 {}
func (plainReader) back()                 {}

// follower keeps a topicReader up to date.
type follower struct {
	store *storeClient
	topic string
	// wait is how long one read waits for records, and collect how long records
	// gather before the next.
	wait, collect time.Duration
	reader        topicReader
	events        events.Sink

	next  int64
	known bool
	away  bool
	since time.Time
	pause time.Duration
	// stalePause is the last pause after a stale listing; listedLast tells that
	// nothing was read since the last listing.
	stalePause time.Duration
	listedLast bool
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrExpired):
			f.known = false
			f.events.Emit(EventTopicExpired, events.F("topic", f.topic), events.F("offset", f.next))
			if f.listedLast {
				// The listing was older than what the store still holds.
				f.waitForNewer(ctx)
			}
		case err != nil:
			f.failed(ctx, err)
		}
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.known {
		return f.list(ctx)
	}
	wait := f.wait
	if f.away {
		// The store's return shows at once, though nothing has changed.
		wait = 0
	}
	if limit := f.reader.within(); limit > 0 {
		wait = min(wait, limit)
	}
	records, next, err := f.store.read(ctx, f.topic, f.next, wait)
	if err != nil {
		return err
	}
	f.succeeded()
	f.next, f.stalePause, f.listedLast = next, 0, false
	if len(records) == 0 {
		f.reader.confirmed()
		return nil
	}
	f.reader.changed(records)
	sleep(ctx, f.collect)
	return nil
}

func (f *follower) list(ctx context.Context) error {
	records, end, err := f.store.newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.succeeded()
	if end < f.next || !f.reader.listed(records, end) {
		f.events.Emit(EventListingStale, events.F("topic", f.topic), events.F("end", end), events.F("known_end", f.next))
		f.waitForNewer(ctx)
		return nil
	}
	f.known, f.next, f.listedLast = true, end, true
	return nil
}

// waitForNewer pauses after a stale listing, longer each time.
func (f *follower) waitForNewer(ctx context.Context) {
	f.stalePause = min(max(2*f.stalePause, followRetryMin), staleRetryMax)
	sleep(ctx, f.stalePause)
}

func (f *follower) succeeded() {
	f.pause = 0
	if f.away {
		f.away = false
		f.events.Emit(EventStoreBack, events.F("topic", f.topic), events.F("away_ms", time.Since(f.since).Milliseconds()))
		f.reader.back()
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if !f.away {
		f.away, f.since = true, time.Now()
		f.events.Emit(EventStoreLost, events.F("topic", f.topic), events.F("error", err))
		f.reader.lost()
	}
	f.pause = min(max(2*f.pause, followRetryMin), followRetryMax)
	sleep(ctx, f.pause)
}

// followWait is how long reads wait, so that a connection that has gone silent is
// noticed before its instance counts as in contact again.
func (s Settings) followWait() time.Duration {
	return min(max(s.ContactAfter-storeWaitSlack-followWaitMargin, followWaitMin), followWaitMax)
}

// sleep waits, or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
