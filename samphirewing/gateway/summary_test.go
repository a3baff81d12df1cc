package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/state/structs"
)

func TestReportRoundTrip(t *testing.T) {
	report := dispatch.Report{Pools: []dispatch.PoolReport{{Pool: "engines", SlotsPerSecond: 30, Ranks: []dispatch.RankReport{{Rank: 1, Waiting: 2, PlacedPerSecond: 3}}}}}
	names := map[uint32]structs.EndpointName{}
	for i := range 40 {
		name := structs.EndpointName(fmt.Sprintf("i-%010x", i*7919))
		names[endpointHash(name)] = name
		report.Loads = append(report.Loads, dispatch.Load{Endpoint: name, Running: 1 + i%3, PrefillUnits: float64(i * 100), Tokens: structs.Tokens(i * 160)})
	}
	decoded := reportFromState(stateFromReport(report), names)
	assert.DeepEqual(t, decoded.Pools, report.Pools)
	loads := map[structs.EndpointName]dispatch.Load{}
	for _, l := range decoded.Loads {
		loads[l.Endpoint] = l
	}
	assert.Equal(t, len(loads), len(report.Loads))
	for _, l := range report.Loads {
		assert.DeepEqual(t, loads[l.Endpoint], l)
	}
	delete(names, endpointHash(report.Loads[0].Endpoint))
	assert.Equal(t, len(reportFromState(stateFromReport(report), names).Loads), len(report.Loads)-1, "unknown endpoints are skipped")
}

// A daemon that is partitioned from the endpoints, but not from its peers,
// queues urgent requests that it cannot place. A sum of several daemons would
// hide that, so its backlog is left out.
func TestBacklogOfDaemonThatPlacesNothingIsNotReported(t *testing.T) {
	stuck := dispatch.Report{Pools: []dispatch.PoolReport{{Pool: "engines", Ranks: []dispatch.RankReport{{Rank: 0, Waiting: 50}}}}}
	assert.Equal(t, stateFromReport(stuck).Pools["engines"].Ranks[0].Waiting, int64(0))
	stuck.Pools[0].Ranks[0].PlacedPerSecond = 1
	assert.Equal(t, stateFromReport(stuck).Pools["engines"].Ranks[0].Waiting, int64(50))
}
