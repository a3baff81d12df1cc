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

// Pattern: a thousand endpoints, of which each daemon uses some dozens and tells
// every other daemon of them several times a second.
func TestReportsAreReadAsWrittenAndShort(t *testing.T) {
	const used, bytesEach = 40, 12
	work := dispatch.Report{Pools: []dispatch.PoolReport{{Pool: "engines", SlotsPerSecond: 30, Ranks: []dispatch.RankReport{{Rank: 1, Waiting: 2, PlacedPerSecond: 3}}}}}
	names := map[uint32]structs.EndpointName{}
	for i := range used {
		name := structs.EndpointName(fmt.Sprintf("i-%010x", i*7919))
		names[endpointHash(name)] = name
		work.Loads = append(work.Loads, dispatch.Load{Endpoint: name, Running: 1 + i%3, PrefillUnits: float64(i * 100), Tokens: structs.Tokens(i * 160)})
	}
	message := &peerpb.Report{}
	encodeWork(work, message)
	body, err := proto.Marshal(message)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < used*bytesEach, "%d bytes for %d endpoints", len(body), used)
	var read peerpb.Report
	assert.NilError(t, proto.Unmarshal(body, &read))
	assert.DeepEqual(t, decodeWork(&read, names), work)
	delete(names, endpointHash(work.Loads[0].Endpoint))
	assert.Equal(t, len(decodeWork(&read, names).Loads), used-1, "an endpoint that isn't known here is passed over")
}

// Lists that don't fit together come from a damaged or newer report.
func TestReportWithUnequalListsIsReadAsFarAsItGoes(t *testing.T) {
	message := &peerpb.Report{Loads: &peerpb.Loads{Endpoints: []uint32{endpointHash("a"), endpointHash("b")}, Running: []uint32{1}, ReadUnits: []uint32{1, 2}, Tokens: []uint32{1, 2}}}
	work := decodeWork(message, map[uint32]structs.EndpointName{endpointHash("a"): "a", endpointHash("b"): "b"})
	assert.Equal(t, len(work.Loads), 1)
}
