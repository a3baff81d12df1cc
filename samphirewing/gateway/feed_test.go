package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/coordination/catchup"
)

func batch(from, next int64) Batch {
	b := Batch{From: from, Next: next}
	for offset := from; offset < next; offset++ {
		b.Records = append(b.Records, Record{Key: "k", Value: []byte{byte(offset)}, Offset: offset})
	}
	return b
}

func relayedFeed(next int64) *Feed {
	f := newFeed("topic", metrics.NewRegistry())
	f.EndRead(f.BeginRead(), Batch{From: next, Next: next}, next, time.Now())
	f.update(time.Now(), aggregation.Position{Next: next, Connected: true})
	return f
}

func TestRelayedRecordsAreDeliveredInOrderWithoutRepeats(t *testing.T) {
	f := relayedFeed(5)
	f.add(batch(3, 7))
	f.add(batch(3, 6))
	f.add(batch(7, 8))
	got, err := f.Await(context.Background(), 5, time.Second, time.Time{})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, batch(5, 7))
	got, err = f.Await(context.Background(), 7, time.Second, time.Time{})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, batch(7, 8))
}

func TestMissingRecordsAreReadDirectly(t *testing.T) {
	f := relayedFeed(5)
	f.add(batch(6, 7))
	_, err := f.Await(context.Background(), 5, time.Second, time.Time{})
	assert.Assert(t, errors.Is(err, ErrReadDirectly))
}

// The daemon that reads the topic is lost, or cut off from the store.
func TestRecordsAreReadDirectlyWithoutRelay(t *testing.T) {
	f := relayedFeed(5)
	go func() {
		time.Sleep(20 * time.Millisecond)
		f.update(time.Now(), aggregation.Position{Next: 5})
	}()
	_, err := f.Await(context.Background(), 5, 10*time.Second, time.Time{})
	assert.Assert(t, errors.Is(err, ErrReadDirectly))
}

// Another daemon has read records, but they do not arrive: the relay has lost
// them, or they are too large.
func TestRecordsKnownToOthersAreReadDirectly(t *testing.T) {
	f := relayedFeed(5)
	now := time.Now()
	f.update(now.Add(-catchup.Tolerance), aggregation.Position{Next: 6, Connected: true})
	_, err := f.Await(context.Background(), 5, 10*time.Second, time.Time{})
	assert.Assert(t, errors.Is(err, ErrReadDirectly))
	f.EndRead(f.BeginRead(), batch(5, 5), 5, time.Now())
	got, err := f.Await(context.Background(), 5, 20*time.Millisecond, time.Time{})
	assert.NilError(t, err, "a position that the store does not confirm is ignored")
	assert.Equal(t, len(got.Records), 0)
}

// Guards against a daemon that keeps an older configuration for good: a further
// version is announced while it reads a large one, which nobody relays.
func TestRecordsAnnouncedDuringAReadAreReadDirectly(t *testing.T) {
	f := relayedFeed(5)
	read, _, cancel, _ := f.BeginWaitingRead(context.Background())
	defer cancel()
	f.update(time.Now().Add(-catchup.Tolerance), aggregation.Position{Next: 7, Connected: true})
	f.EndRead(read, batch(5, 6), 6, time.Now())
	_, err := f.Await(context.Background(), 6, 100*time.Millisecond, time.Time{})
	assert.Assert(t, errors.Is(err, ErrReadDirectly))
}

// A waiting read on a connection to the store that has gone silent ends as soon
// as another daemon has read more.
func TestSilentReadIsInterrupted(t *testing.T) {
	f := relayedFeed(5)
	_, ctx, cancel, _ := f.BeginWaitingRead(context.Background())
	defer cancel()
	now := time.Now()
	f.update(now, aggregation.Position{Next: 6})
	assert.NilError(t, ctx.Err())
	f.update(now.Add(catchup.Tolerance), aggregation.Position{Next: 6})
	assert.Assert(t, ctx.Err() != nil)
}

// Guards against the read of missing records being cancelled and sent again on a new
// connection, since the daemon is still behind when it begins.
func TestReadOfMissingRecordsIsNotInterrupted(t *testing.T) {
	f := relayedFeed(5)
	now := time.Now()
	f.update(now.Add(-catchup.Tolerance), aggregation.Position{Next: 6, Connected: true})
	_, ctx, cancel, mayWait := f.BeginWaitingRead(context.Background())
	defer cancel()
	assert.Assert(t, !mayWait)
	f.update(now, aggregation.Position{Next: 6, Connected: true})
	assert.NilError(t, ctx.Err())
}

// A relay that is cut off from the store goes on reporting that it is connected
// until its read fails. Guards against records that are relied on for longer than
// changes may take to have effect, and against a wait that outlasts this time.
func TestRelayThatHasNotReadTheStoreRecentlyIsNotReliedOn(t *testing.T) {
	const maxAge, patience = 300 * time.Millisecond, 10 * time.Second
	f := relayedFeed(5)
	f.SetMaxAge(maxAge)
	now := time.Now()
	f.update(now, aggregation.Position{Next: 5, Connected: true, ReadAt: now})
	_, err := f.Await(context.Background(), 5, patience, time.Time{})
	assert.Assert(t, errors.Is(err, ErrReadDirectly))
	elapsed := time.Since(now)
	assert.Assert(t, elapsed >= maxAge && elapsed < patience/2, "relied on for %v", elapsed)

	f.update(time.Now(), aggregation.Position{Next: 5, Connected: true, ReadAt: now})
	_, err = f.Await(context.Background(), 5, patience, time.Time{})
	assert.Assert(t, errors.Is(err, ErrReadDirectly), "a repeated report does not make the records current")

	f.update(time.Now(), aggregation.Position{Next: 5, Connected: true, ReadAt: time.Now()})
	got, err := f.Await(context.Background(), 5, maxAge/2, time.Time{})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Records), 0)
}

// Guards against a daemon between the reader and others that makes records look
// as current as its own reports.
func TestPositionOfRelayedRecordsIsAsOldAsTheRelaysRead(t *testing.T) {
	f := relayedFeed(5)
	readAt := time.Now().Add(time.Minute)
	f.update(time.Now(), aggregation.Position{Next: 6, Connected: true, ReadAt: readAt})
	f.add(batch(5, 6))
	got, err := f.Await(context.Background(), 5, time.Second, time.Time{})
	assert.NilError(t, err)
	f.Applied(got)
	assert.Equal(t, f.ownPosition(), aggregation.Position{Next: 6, Connected: true, ReadAt: readAt})
}

// Guards against records from before a restore of the store that a relay has sent, and
// against its offsets being taken for newer than those that are given out again.
func TestRecordsOfAnEarlierEpochAreIgnored(t *testing.T) {
	f := relayedFeed(9)
	f.add(batch(9, 10))
	f.BeginEpoch(1)
	f.add(batch(9, 11))
	f.EndRead(f.BeginRead(), batch(9, 12), 12, time.Now())
	assert.DeepEqual(t, f.ownPosition(), aggregation.Position{})
	f.update(time.Now(), aggregation.Position{Next: 5, Connected: true})
	f.EndListing(Listing{End: 4, ReadAt: time.Now(), Epoch: 1})
	b := batch(4, 5)
	b.Epoch = 1
	f.add(b)
	got, err := f.Await(context.Background(), 4, time.Second, time.Time{})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, b)
}
