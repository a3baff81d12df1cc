package aggregation

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Each daemon uses some dozens of a thousand endpoints and reports them several
// times a second, so the encoding must be short.
func TestStateRoundTripAndSize(t *testing.T) {
	const endpoints, maxBytesPerEndpoint = 40, 12
	s := NewState()
	s.Pools["engines"] = Pool{SlotsPerSecond: 30, Ranks: map[structs.Rank]Rank{1: {Waiting: 2, PlacedPerSecond: 3}}}
	for i := range uint32(endpoints) {
		s.Loads[i*7919*7919] = Load{Running: 1 + int64(i%3), PrefillUnits: int64(i * 100), TokenSteps: int64(i * 10)}
	}
	m := &peerpb.Summary{}
	encodeState(s, m)
	body, err := proto.Marshal(m)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < endpoints*maxBytesPerEndpoint, "%d bytes for %d endpoints", len(body), endpoints)
	var decoded peerpb.Summary
	assert.NilError(t, proto.Unmarshal(body, &decoded))
	assert.DeepEqual(t, decodeState(&decoded), s)
}

// Lists of different lengths come from a damaged message or a newer release.
func TestUnequalListsAreTruncatedToShortest(t *testing.T) {
	m := &peerpb.Summary{Loads: &peerpb.Loads{Endpoints: []uint32{1, 2}, Running: []uint32{1}, PrefillUnits: []uint32{1, 2}, Tokens: []uint32{1, 2}, Unreachable: []uint32{0, 0}}}
	assert.Equal(t, len(decodeState(m).Loads), 1)
	e := &peerpb.Estimates{Endpoints: []uint32{1, 2}, Samples: []uint32{1, 2}, SlownessSums: []uint32{1}, Outcomes: []uint32{1, 2}, Failures: []uint32{1, 2}}
	assert.Equal(t, len(decodeEstimates(e)), 1)
}

// A sum taken at one time less a part taken at another must not become negative.
func TestDifferencesAreNotNegative(t *testing.T) {
	s := NewState()
	s.Loads[1] = Load{Running: 1}
	s.Pools["engines"] = Pool{SlotsPerSecond: 1, Ranks: map[structs.Rank]Rank{0: {Waiting: 1}}}
	other := NewState()
	other.Loads[1] = Load{Running: 3, TokenSteps: 5}
	other.Pools["engines"] = Pool{SlotsPerSecond: 2, Ranks: map[structs.Rank]Rank{0: {Waiting: 2, PlacedPerSecond: 1}}}
	s.Subtract(other)
	assert.Equal(t, len(s.Loads), 0)
	assert.DeepEqual(t, s.Pools["engines"], Pool{Ranks: map[structs.Rank]Rank{0: {}}})
}

// A rate that is not a number would spoil all sums that include it.
func TestRatesThatAreNoNumbersAreIgnored(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		m := &peerpb.Summary{Pools: []*peerpb.Pool{{Pool: "engines", SlotsPerSecond: v, Ranks: []*peerpb.Rank{{PlacedPerSecond: v}}}}}
		pool := decodeState(m).Pools["engines"]
		assert.Equal(t, pool.SlotsPerSecond, 0.0)
		assert.Equal(t, pool.Ranks[0].PlacedPerSecond, 0.0)
	}
}
