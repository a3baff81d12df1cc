package poolowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
)

// A running request that its entry no longer offers again has ended, and its
// report was lost: its place is given up long before its deadline.
func TestRunningRequestLeftOutOfReoffersFreesItsPlace(t *testing.T) {
	const reofferEvery = 2 * time.Second
	o := testOwner(1)
	o.options.ReofferInterval = reofferEvery
	offer := scheduling.Offer{Request: testRequest("r1", 0)}
	o.Step(start, offer)
	grant := grants(o.Ready())[0]
	running := offer
	running.Running = true
	running.Endpoint = grant.Endpoint
	lastOffer := start
	for range 10 {
		lastOffer = lastOffer.Add(reofferEvery)
		o.Step(lastOffer, running)
		o.Tick(lastOffer)
		assert.Equal(t, len(o.Snapshot().Running), 1)
	}
	o.Tick(lastOffer.Add(missedReoffers*reofferEvery - time.Millisecond))
	assert.Equal(t, len(o.Snapshot().Running), 1)
	o.Tick(lastOffer.Add(missedReoffers * reofferEvery))
	assert.Equal(t, len(o.Snapshot().Running), 0)
	assert.Equal(t, int64(o.Snapshot().Endpoints[0].InFlightTokens), int64(0))
}

func TestSiblingReportNamesTheLowestWaitingTier(t *testing.T) {
	o := testOwner(0)
	assert.Equal(t, o.SiblingReport(), scheduling.SiblingReport{})
	o.Step(start, scheduling.Offer{Request: testRequest("urgent", 0)})
	o.Step(start, scheduling.Offer{Request: testRequest("late", 2)})
	assert.Equal(t, o.SiblingReport(), scheduling.SiblingReport{LowestRank: 2, Waiting: 2})
}

func TestGaugesAgreeWithTheSnapshot(t *testing.T) {
	o := testOwner(1)
	for _, id := range []string{"a", "b", "c", "d"} {
		o.Step(start, scheduling.Offer{Request: testRequest(id, 1)})
	}
	gauges, snapshot := o.Gauges(), o.Snapshot()
	assert.Equal(t, gauges.Waiting, len(snapshot.Waiting))
	assert.Equal(t, gauges.Running, len(snapshot.Running))
	assert.Equal(t, gauges.Waiting+gauges.Running, 4)
	assert.DeepEqual(t, gauges.Endpoints, snapshot.Endpoints)
}
