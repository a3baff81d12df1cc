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

// toldReader notes that the topic was lost and is back.
type toldReader struct{ told chan string }

func (r *toldReader) listed([]keyedRecord, int64) bool { r.told <- "listed"; return true }
func (r *toldReader) changed([]keyedRecord)            {}
func (r *toldReader) confirmed()                       {}
func (r *toldReader) within() time.Duration            { return 0 }
func (r *toldReader) lost()                            { r.told <- "lost" }
func (r *toldReader) back()                            { r.told <- "back" }

// A store that is back is known of at once, not when a read has waited in vain
// on a topic in which nothing happens: what lapsed is waited for from then on.
func TestReturnOfTheStoreIsKnownBeforeAnythingChanges(t *testing.T) {
	const wait, patience = 25 * time.Second, 15 * time.Second
	store, err := metastore.Start()
	assert.NilError(t, err)
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := &toldReader{told: make(chan string, 16)}
	f := &follower{store: newStoreClient(store.Address(), metrics.NewRegistry()), topic: topicEndpoints, wait: wait, reader: reader, events: events.Discard{}}
	go f.run(ctx)
	expect := func(what string) {
		t.Helper()
		select {
		case told := <-reader.told:
			assert.Equal(t, told, what)
		case <-time.After(patience):
			t.Fatalf("not told %q within %v", what, patience)
		}
	}
	expect("listed")
	store.SetFaults(metastore.Faults{Unavailable: true})
	expect("lost")
	store.SetFaults(metastore.Faults{})
	expect("back")
}

// A silent connection to the store shows before its daemon counts as in contact
// again; reads that wait longer are fewer.
func TestReadsWaitAsLongAsSilenceMayLast(t *testing.T) {
	for contact, want := range map[time.Duration]time.Duration{
		0: time.Second, 3 * time.Second: 2 * time.Second, 4 * time.Second: 3 * time.Second, time.Minute: 8 * time.Second,
	} {
		wait := Settings{ContactAfter: contact}.followWait()
		assert.Equal(t, wait, want)
		assert.Assert(t, contact < 2*time.Second || wait+storeWaitSlack < contact)
	}
}
