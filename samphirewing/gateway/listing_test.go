package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

func listingOf(records int) Listing {
	l := Listing{End: int64(records), ReadAt: time.Now()}
	for i := range records {
		l.Records = append(l.Records, Record{Key: fmt.Sprintf("endpoint-%04d", i), Value: fmt.Appendf(nil, `{"Address":"10.0.%d.%d:8000","Service":"engines","Slots":8,"State":"ready"}`, i/250, i%250), Offset: int64(i)})
	}
	return l
}

func decodeListing(t *testing.T, body []byte) (*peerpb.Listing, []Record) {
	t.Helper()
	var message peerpb.Listing
	assert.NilError(t, proto.Unmarshal(body, &message))
	records, err := decompressRecords(message.GetRecords())
	assert.NilError(t, err)
	return &message, records
}

// Guards against listings that miss the changes since they were read, and against
// those that don't fit into the queue of a peer.
func TestRelayedListingIncludesLaterChanges(t *testing.T) {
	const endpoints = 1100
	f := newFeed("topic", metrics.NewRegistry())
	assert.Assert(t, f.encodedListing(time.Now()) == nil)
	f.EndListing(listingOf(endpoints))
	f.EndRead(f.BeginRead(), Batch{From: endpoints, Next: endpoints + 2, Records: []Record{
		{Key: "endpoint-0000", Offset: endpoints}, {Key: "new", Value: []byte("v"), Offset: endpoints + 1},
	}}, endpoints+2, time.Now())
	body := f.encodedListing(time.Now())
	assert.Assert(t, len(body) > 0 && len(body) < 64<<10, "%d bytes", len(body))
	message, records := decodeListing(t, body)
	assert.Equal(t, message.GetEnd(), int64(endpoints+2))
	assert.Equal(t, len(records), endpoints)
	assert.Equal(t, records[0].Key, "endpoint-0001")
	assert.Equal(t, records[endpoints-1].Key, "new")
}

// Guards against the relay of a listing in which records are missing, or which is
// older than relayed records may be.
func TestIncompleteAndOldListingsAreNotRelayed(t *testing.T) {
	f := newFeed("topic", metrics.NewRegistry())
	f.EndListing(listingOf(5))
	f.EndRead(f.BeginRead(), batch(7, 8), 8, time.Now())
	assert.Assert(t, f.encodedListing(time.Now()) == nil, "a gap")
	f.EndListing(listingOf(9))
	f.SetMaxAge(time.Second)
	assert.Assert(t, f.encodedListing(time.Now()) != nil)
	assert.Assert(t, f.encodedListing(time.Now().Add(2*time.Second)) == nil, "too old")
}

// Guards against listings that nobody has asked for, and against one that came too
// late being taken for the newest.
func TestOnlyAwaitedListingsAreReceived(t *testing.T) {
	f := newFeed("topic", metrics.NewRegistry())
	f.receive(listingOf(3))
	_, received := f.AwaitListing(context.Background(), time.Millisecond)
	assert.Assert(t, !received)
	go func() {
		for !f.isWanted() {
			time.Sleep(time.Millisecond)
		}
		f.receive(listingOf(4))
	}()
	l, received := f.AwaitListing(context.Background(), 10*time.Second)
	assert.Assert(t, received)
	assert.Equal(t, l.End, int64(4))
	assert.Assert(t, !f.isWanted())
}

// Guards against a relayed listing that hides records which other daemons know
// already and this one lacks.
func TestRelayedListingDoesNotHideMissingRecords(t *testing.T) {
	f := relayedFeed(0)
	f.update(time.Now(), aggregation.Position{Next: 9, Connected: true, ReadAt: time.Now()})
	f.EndListing(listingOf(5))
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, f.progress.Missing())
}
