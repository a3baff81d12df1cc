package aggregation

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// withoutFleet returns a message as a daemon of the former release reads and writes
// it.
func withoutFleet(body []byte) []byte {
	var m peerpb.Summary
	if err := proto.Unmarshal(body, &m); err != nil {
		panic(err)
	}
	m.Fleet = nil
	return encode(&m)
}

// Guards against an upgrade in which daemons of the former release get messages that
// they can't read, or are not understood.
func TestDaemonsOfTheFormerReleaseKnowTheSumToo(t *testing.T) {
	m := newSim(1, 34, 4)
	for i, d := range m.daemons {
		d.former = i%2 == 0
	}
	m.run(3 * time.Second)
	m.checkViews(t, "mixed")
	m.checkUses(t, "mixed")
}

// Guards against wrong sums after lost entries of a dictionary.
func TestLostDictionaryEntriesAreSentAgain(t *testing.T) {
	m := newSim(1, 60, 4)
	m.run(2 * time.Second)
	m.loss = 0.3
	for i, d := range m.daemons {
		d.index += 500 + i
	}
	m.run(time.Second)
	m.loss = 0
	m.run(2 * time.Second)
	m.checkViews(t, "after losses")
}

// Guards against loads or uses that change when they are encoded by a dictionary.
func TestCompactContentsAreReadAsWritten(t *testing.T) {
	d := newDictionary(3)
	d.indexOf(99)
	loads := map[uint32]Load{7: {Running: 1, PrefillUnits: 2, TokenSteps: 3}, 1 << 31: {Running: 5, Unreachable: 4}, 9: {Unreachable: 1}}
	uses := []*peerpb.MemberUses{
		{Member: 1 << 60, Synced: true, Organisations: []uint32{8, 1 << 30}, Tokens: []uint64{1, 1 << 40}},
		{Member: 5, Organisations: []uint32{8}, Tokens: []uint64{6}},
	}
	m := &peerpb.Summary{Fleet: &peerpb.Fleet{Compact: d.compact(loads, uses)}}
	received := &receivedDictionary{}
	assert.Assert(t, !received.expand(m), "without the dictionary")
	assert.Assert(t, received.incomplete)
	received.add(d.since(1))
	assert.Assert(t, !received.expand(m), "without the first entry")
	received.add(d.since(0))
	assert.Assert(t, received.expand(m))
	assert.DeepEqual(t, decodeState(m).Loads, loads)
	byMember := map[uint64]MemberUses{}
	for _, row := range m.GetUses() {
		byMember[row.GetMember()] = decodeUses(row)
	}
	for _, row := range uses {
		assert.DeepEqual(t, byMember[row.GetMember()], decodeUses(row))
	}
}
