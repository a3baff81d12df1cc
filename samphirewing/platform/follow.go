package platform

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/gateway"
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
	// relayAgeFraction is the fraction of the propagation bound for which a relay
	// counts as current after its last read, relayWaitFraction that for which its
	// reads wait. The difference leaves time for followBatchDelay and the passage
	// of reports.
	relayAgeFraction  = 0.75
	relayWaitFraction = 0.375
	// defaultPropagationBound is used where the settings name none.
	defaultPropagationBound = 2 * time.Second
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
	// noChanges is called when there are no further records. They were read at readAt,
	// by this daemon or by the one that relays them.
	noChanges(readAt time.Time)
	// maxWait returns the maximum wait of the next read; zero means no limit.
	maxWait() time.Duration
	// storeLost and storeRestored are called when the topic becomes unreadable,
	// and when it becomes readable again.
	storeLost()
	storeRestored()
	// epochBegan is called when the store has been restored from a copy that may lack
	// the newest records. Offsets begin anew, and a listing follows.
	epochBegan()
}

// noopReader provides the optional methods of a topicReader, for topics whose
// entries don't expire.
type noopReader struct{}

func (noopReader) noChanges(time.Time)    {}
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
	// feed relays the records that another daemon has read; nil without peers.
	feed *gateway.Feed
	// relayWait replaces wait while other daemons rely on this one's reads; zero
	// leaves it.
	relayWait time.Duration
	reader    topicReader
	events    events.Sink
	// gate delays the first listing of a daemon that starts; nil delays none.
	// first is that listing if it was already read.
	gate  *gateway.ListingGate
	first *listing

	// listingDelay returns how long to wait for the listing of another daemon after
	// the store was restored; nil waits for none.
	listingDelay func() time.Duration

	// nextOffset is the offset from which to read, in an epoch of the store. listed is
	// set once the topic has been listed in any epoch.
	nextOffset int64
	hasOffset  bool
	epoch      uint64
	listed     bool
	// relayed is set while another daemon relays the records.
	relayed bool
	// failedAt is when this daemon's own last read failed, or zero if it succeeded.
	// The topic is lost, since lostAt, while another daemon does not relay it either.
	failedAt   time.Time
	lost       bool
	lostAt     time.Time
	retryDelay time.Duration
	// staleDelay is the last delay after a stale listing. lastReadWasListing is
	// set if nothing was read since the last listing.
	staleDelay         time.Duration
	lastReadWasListing bool
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.guardedStep(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrRestored):
			f.hasOffset = false
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

// guardedStep reports a panic, such as on a malformed record, as an error. The
// records of that step are skipped.
func (f *follower) guardedStep(ctx context.Context) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			f.events.Emit(gateway.EventPanicRecovered, events.F("where", "topic "+f.topic), events.F("error", cause), events.F("stack", string(debug.Stack())))
			err = errors.Errorf("panic: %v", cause)
		}
	}()
	return f.step(ctx)
}

func (f *follower) step(ctx context.Context) error {
	if f.feed != nil && f.feed.Epoch() > f.epoch {
		f.beginEpoch(f.feed.Epoch())
		if f.listed && f.listingDelay != nil && f.awaitRelayedListing(ctx, f.listingDelay()) {
			return nil
		}
	}
	if !f.hasOffset {
		return f.list(ctx)
	}
	wait := f.wait
	if f.relayWait > 0 && f.feed.Relaying() {
		wait = min(wait, f.relayWait)
	}
	failed := !f.failedAt.IsZero()
	if failed {
		// Detect the store's return immediately, even if there are no changes.
		wait = 0
	}
	relayWait, limit := f.wait, f.reader.maxWait()
	if limit > 0 {
		wait, relayWait = min(wait, limit), min(relayWait, limit)
	}
	if f.feed != nil && (failed || limit == 0) {
		batch, err := f.feed.Await(ctx, f.nextOffset, relayWait, f.failedAt)
		if !errors.Is(err, gateway.ErrReadDirectly) {
			if err == nil {
				f.relayed = true
				f.recordReadable()
				f.applyRelayed(batch)
			}
			return err
		}
	}
	if f.relayed {
		f.relayed = false
		f.events.Emit(EventReadDirectly, events.F("topic", f.topic), events.F("offset", f.nextOffset), events.F("relay_age_ms", f.feed.RelayAge().Milliseconds()),
			events.F("behind_ms", f.feed.Behind().Milliseconds()), events.F("failed", failed))
	}
	answer, err := f.read(ctx, wait)
	if err != nil {
		return err
	}
	if answer.epoch > f.epoch {
		f.beginEpoch(answer.epoch)
		return nil
	}
	if answer.epoch < f.epoch {
		return errors.WithType(errors.Errorf("the answer is of epoch %d, before %d", answer.epoch, f.epoch), ErrStoreUnavailable)
	}
	f.recordSuccess()
	f.apply(answer.records, answer.next, answer.begunAt)
	if len(answer.records) > 0 && answer.next >= answer.end {
		sleep(ctx, f.batchDelay)
	}
	return nil
}

// beginEpoch prepares for the listing that follows a restore of the store. The epoch in
// which the topic is listed first says nothing of a restore.
func (f *follower) beginEpoch(epoch uint64) {
	if f.listed {
		f.events.Emit(EventStoreEpochBegan, events.F("topic", f.topic), events.F("epoch", epoch), events.F("offset", f.nextOffset))
		f.reader.epochBegan()
	}
	f.epoch, f.hasOffset, f.nextOffset = epoch, false, 0
	if f.feed != nil {
		f.feed.BeginEpoch(epoch)
	}
}

// read reads records from the store. The read ends early if another daemon has
// read records that this one lacks.
func (f *follower) read(ctx context.Context, wait time.Duration) (readAnswer, error) {
	if f.feed == nil {
		return f.store.readRecords(ctx, f.topic, f.nextOffset, wait)
	}
	started := time.Now()
	read, readCtx, cancel, mayWait := f.feed.BeginWaitingRead(ctx)
	if !mayWait {
		wait = 0
	}
	answer, err := f.store.readRecords(readCtx, f.topic, f.nextOffset, wait)
	interrupted := err != nil && readCtx.Err() != nil && ctx.Err() == nil
	cancel()
	if interrupted {
		started, wait = time.Now(), 0
		read = f.feed.BeginRead()
		answer, err = f.store.readRecords(ctx, f.topic, f.nextOffset, wait)
	}
	if err != nil {
		f.feed.FailRead()
		return readAnswer{}, err
	}
	readAt := answer.begunAt
	if expired := started.Add(wait); len(answer.records) == 0 && expired.Before(readAt) {
		// The store has answered when the wait expired, and the answer was delayed.
		readAt = expired
	}
	b := batchOf(answer.records, f.nextOffset, answer.next)
	b.Epoch = answer.epoch
	f.feed.EndRead(read, b, answer.end, readAt)
	return answer, nil
}

func (f *follower) applyRelayed(b gateway.Batch) {
	records := make([]keyedRecord, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, keyedRecord(r))
	}
	f.apply(records, b.Next, f.feed.CurrentAt())
	f.feed.Applied(b)
}

func (f *follower) apply(records []keyedRecord, next int64, readAt time.Time) {
	f.nextOffset, f.staleDelay, f.lastReadWasListing = next, 0, false
	if len(records) == 0 {
		f.reader.noChanges(readAt)
		return
	}
	f.reader.applyChanges(records)
}

func batchOf(records []keyedRecord, from, next int64) gateway.Batch {
	b := gateway.Batch{From: from, Next: next}
	for _, r := range records {
		b.Records = append(b.Records, gateway.Record(r))
	}
	return b
}

func (f *follower) list(ctx context.Context) error {
	if f.first != nil {
		first := *f.first
		f.first = nil
		if f.applyListing(first) {
			return nil
		}
	}
	if f.gate != nil {
		wait := f.gate.Wait(ctx)
		f.gate = nil
		if f.awaitRelayedListing(ctx, wait) {
			return nil
		}
		if wait > 0 {
			f.events.Emit(EventListingAwaited, events.F("topic", f.topic), events.F("waited_ms", wait.Milliseconds()))
		}
	}
	l, err := f.store.newestRecords(ctx, f.topic)
	if err != nil {
		return err
	}
	f.recordSuccess()
	if !f.applyListing(l) {
		f.backOffStale(ctx)
	}
	return nil
}

// backOffStale sleeps after a stale listing, with exponential backoff.
func (f *follower) backOffStale(ctx context.Context) {
	f.staleDelay = min(max(2*f.staleDelay, followRetryMin), staleRetryMax)
	sleep(ctx, f.staleDelay)
}

func (f *follower) recordSuccess() {
	f.retryDelay, f.failedAt = 0, time.Time{}
	f.recordReadable()
}

// recordReadable records that this daemon, or another one that relays the records, has
// read the topic.
func (f *follower) recordReadable() {
	if f.lost {
		f.lost = false
		f.events.Emit(EventStoreRestored, events.F("topic", f.topic), events.F("away_ms", time.Since(f.lostAt).Milliseconds()), events.F("relayed", f.relayed))
		f.reader.storeRestored()
	}
}

func (f *follower) recordFailure(ctx context.Context, err error) {
	f.failedAt = time.Now()
	if !f.lost {
		f.lost, f.lostAt = true, f.failedAt
		f.events.Emit(EventStoreLost, events.F("topic", f.topic), events.F("error", err))
		f.reader.storeLost()
	}
	f.retryDelay = min(max(2*f.retryDelay, followRetryMin), followRetryMax)
	delay := jitter(f.retryDelay)
	if f.feed == nil {
		sleep(ctx, delay)
		return
	}
	if !f.hasOffset || f.feed.AwaitSource(ctx, delay, f.failedAt) {
		// Another daemon may reach the store.
		f.awaitRelayedListing(ctx, delay)
	}
}

// maxRelayAge returns how long after its last read from the store another daemon
// may be relied on for a topic. What remains of the propagation bound is for a
// read from the store.
func (s Settings) maxRelayAge() time.Duration {
	return time.Duration(relayAgeFraction * float64(s.propagationBound()))
}

// relayWait returns how long the reads of a daemon wait on which others rely.
func (s Settings) relayWait() time.Duration {
	return time.Duration(relayWaitFraction * float64(s.propagationBound()))
}

// propagationBound returns the time within which a change of the configuration or
// of an endpoint must have taken effect.
func (s Settings) propagationBound() time.Duration {
	if s.PropagationBound <= 0 {
		return defaultPropagationBound
	}
	return s.PropagationBound
}

// followWait returns how long reads wait. An unresponsive connection to the
// store is then detected within the contact window.
func (s Settings) followWait() time.Duration {
	return min(max(s.ContactWindow-storeWaitSlack-followWaitMargin, followWaitMin), followWaitMax)
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
