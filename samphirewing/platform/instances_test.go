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

// A daemon whose time of day was set back still starts with a higher number
// than before.
func TestIncarnationRisesThoughTheTimeOfDayWasSetBack(t *testing.T) {
	store, err := metastore.Start()
	assert.NilError(t, err)
	defer store.Close()
	before := uint64(time.Now().Add(time.Hour).UnixMilli())
	record, err := json.Marshal(instanceEntry{Incarnation: before})
	assert.NilError(t, err)
	store.Put(topicInstances, "daemon", record)
	d := &Daemon{settings: Settings{Instance: "daemon"}, store: newStoreClient(store.Address(), metrics.NewRegistry()), events: events.Discard{}}
	assert.Equal(t, d.nextIncarnation(context.Background()), instance.Incarnation(before+1))

	d.settings.Instance = "another"
	assert.Assert(t, d.nextIncarnation(context.Background()) <= instance.Incarnation(time.Now().UnixMilli()))
}
