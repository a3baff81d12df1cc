package gateway

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Each daemon uses some dozens of a thousand endpoints and reports them to
// every other daemon several times a second, so the encoding must be short.
func TestReportRoundTripAndSize(t *testing.T) {
	const endpoints, maxBytesPerEndpoint = 40, 12
	report := dispatch.Report{Pools: []dispatch.PoolReport{{Pool: "engines", SlotsPerSecond: 30, Ranks: []dispatch.RankReport{{Rank: 1, Waiting: 2, PlacedPerSecond: 3}}}}}
	names := map[uint32]structs.EndpointName{}
	for i := range endpoints {
		name := structs.EndpointName(fmt.Sprintf("i-%010x", i*7919))
		names[endpointHash(name)] = name
		report.Loads = append(report.Loads, dispatch.Load{Endpoint: name, Running: 1 + i%3, PrefillUnits: float64(i * 100), Tokens: structs.Tokens(i * 160)})
	}
	message := &peerpb.Report{}
	encodeReport(report, message)
	body, err := proto.Marshal(message)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < endpoints*maxBytesPerEndpoint, "%d bytes for %d endpoints", len(body), endpoints)
	var decoded peerpb.Report
	assert.NilError(t, proto.Unmarshal(body, &decoded))
	assert.DeepEqual(t, decodeReport(&decoded, names), report)
	delete(names, endpointHash(report.Loads[0].Endpoint))
	assert.Equal(t, len(decodeReport(&decoded, names).Loads), endpoints-1, "unknown endpoints are skipped")
}

// Lists of different lengths come from a damaged report or a newer version.
func TestReportWithUnequalListsIsTruncatedToShortest(t *testing.T) {
	message := &peerpb.Report{Loads: &peerpb.Loads{Endpoints: []uint32{endpointHash("a"), endpointHash("b")}, Running: []uint32{1}, ReadUnits: []uint32{1, 2}, Tokens: []uint32{1, 2}}}
	report := decodeReport(message, map[uint32]structs.EndpointName{endpointHash("a"): "a", endpointHash("b"): "b"})
	assert.Equal(t, len(report.Loads), 1)
}
