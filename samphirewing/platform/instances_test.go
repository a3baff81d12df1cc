package platform

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/standin/metastore"
)

// A daemon whose wall clock was set back must still start with a greater
// incarnation than before.
func TestIncarnationRisesAfterClockIsSetBack(t *testing.T) {
	store, err := metastore.Start()
	assert.NilError(t, err)
	defer store.Close()
	previous := uint64(time.Now().Add(time.Hour).UnixMilli())
	record, err := json.Marshal(instanceEntry{Incarnation: previous})
	assert.NilError(t, err)
	store.Put(topicInstances, "daemon", record)
	d := &Daemon{settings: Settings{Instance: "daemon"}, store: newStoreClient(store.Address(), metrics.NewRegistry()), events: events.Discard{}}
	assert.Equal(t, d.nextIncarnation(context.Background()), instance.Incarnation(previous+1))

	d.settings.Instance = "another"
	assert.Assert(t, d.nextIncarnation(context.Background()) <= instance.Incarnation(time.Now().UnixMilli()))
}
