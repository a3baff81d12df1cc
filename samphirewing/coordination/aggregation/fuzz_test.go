package aggregation

import (
	"testing"
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/peers"
)

// A malformed message of a peer must neither cause a panic nor spoil the sums.
func FuzzReceive(f *testing.F) {
	m := newSim(1, 14, 2)
	m.run(500 * time.Millisecond)
	for _, d := range m.daemons {
		out, _ := d.node.Tick(m.now, Own{State: d.load(), Uses: map[uint32]uint64{1: 2}, Levels: map[uint32]float64{1: 3}})
		for _, o := range out {
			f.Add(byte(o.Kind), o.Body)
		}
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		self := instance.Process{ID: "self", Incarnation: 1}
		n := New(Options{Self: self, Record: peers.Record{Instance: self.ID}, Table: peers.New(self.ID)})
		from := instance.Process{ID: "peer", Incarnation: 1}
		n.Tick(start, Own{State: NewState()})
		// Only a panic or a spoilt sum is a failure.
		_, _ = n.Receive(start, from, Kind(kind%3), body)
		_, view := n.Tick(start.Add(MinInterval), Own{State: NewState()})
		for endpoint, l := range view.Loads {
			if l.Running < 0 || l.PrefillUnits < 0 || l.TokenSteps < 0 {
				t.Fatalf("load of endpoint %d is %+v", endpoint, l)
			}
		}
		for name, p := range view.Pools {
			if !(p.SlotsPerSecond >= 0) {
				t.Fatalf("pool %q has %v slots a second", name, p.SlotsPerSecond)
			}
		}
	})
}
