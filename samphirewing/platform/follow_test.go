package platform

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/standin/metastore"
)

// recordingReader records the calls for listings and for the store's
// availability.
type recordingReader struct{ calls chan string }

func (r *recordingReader) applyListing([]keyedRecord, int64) bool { r.calls <- "listed"; return true }
func (r *recordingReader) applyChanges([]keyedRecord)             {}
func (r *recordingReader) noChanges(time.Time)                    {}
func (r *recordingReader) maxWait() time.Duration                 { return 0 }
func (r *recordingReader) storeLost()                             { r.calls <- "lost" }
func (r *recordingReader) epochBegan()                            { r.calls <- "epoch" }
func (r *recordingReader) storeRestored()                         { r.calls <- "restored" }

// The store's return must be detected immediately, not after a read has waited
// on a topic without changes: the grace period of lapsed entries starts then.
func TestFollowerDetectsRestoredStoreWithoutChanges(t *testing.T) {
	const wait, timeout = 25 * time.Second, 15 * time.Second
	store, err := metastore.Start()
	assert.NilError(t, err)
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := &recordingReader{calls: make(chan string, 16)}
	f := &follower{store: newStoreClient(store.Address(), metrics.NewRegistry()), topic: topicEndpoints, wait: wait, reader: reader, events: events.Discard{}}
	go f.run(ctx)
	expect := func(want string) {
		t.Helper()
		select {
		case call := <-reader.calls:
			assert.Equal(t, call, want)
		case <-time.After(timeout):
			t.Fatalf("no call %q within %v", want, timeout)
		}
	}
	expect("listed")
	store.SetFaults(metastore.Faults{Unavailable: true})
	expect("lost")
	store.SetFaults(metastore.Faults{})
	expect("restored")
}

// Guards against the epoch that a daemon meets first being taken for a restore of the store.
func TestOnlyLaterEpochsAreRestores(t *testing.T) {
	store, err := metastore.Start()
	assert.NilError(t, err)
	defer store.Close()
	store.Restore(store.Copy())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := &recordingReader{calls: make(chan string, 16)}
	f := &follower{store: newStoreClient(store.Address(), metrics.NewRegistry()), topic: topicEndpoints, wait: time.Second, reader: reader, events: events.Discard{}}
	go f.run(ctx)
	assert.Equal(t, <-reader.calls, "listed")
	store.Restore(store.Copy())
	for call := range reader.calls {
		if call == "listed" {
			t.Fatal("listed again without notice of the restore")
		}
		if call == "epoch" {
			break
		}
	}
	for <-reader.calls != "listed" {
	}
}

// An unresponsive connection to the store must be detected within the contact
// window. Longer reads are fewer, so the wait should be as long as that allows.
func TestFollowWaitStaysBelowContactWindow(t *testing.T) {
	for window, want := range map[time.Duration]time.Duration{
		0: time.Second, 3 * time.Second: 2 * time.Second, 4 * time.Second: 3 * time.Second, time.Minute: 8 * time.Second,
	} {
		wait := Settings{ContactWindow: window}.followWait()
		assert.Equal(t, wait, want)
		assert.Assert(t, window < 2*time.Second || wait+storeWaitSlack < window)
	}
}
