package aggregation

import (
	"testing"
	"time"
)

// benchMessage returns a message of a kind between two daemons of a deployment of
// 118, and its recipient.
func benchMessage(b *testing.B, kind Kind) (m *sim, to, from *simDaemon, body []byte) {
	m = newSim(1, 118, 5)
	m.run(3 * time.Second)
	for _, from := range m.daemons {
		out, _ := from.node.Tick(m.now, Own{State: from.load(), Uses: map[uint32]uint64{1: from.used}, Synced: true})
		for _, o := range out {
			if o.Kind == kind {
				return m, m.byID[o.To], from, o.Body
			}
		}
	}
	b.Fatal("no message of the kind")
	return nil, nil, nil, nil
}

func benchmarkReceive(b *testing.B, kind Kind) {
	m, to, from, body := benchMessage(b, kind)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := to.node.Receive(m.now, m.process(from), kind, body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "bytes")
}

func BenchmarkReceiveReport(b *testing.B) { benchmarkReceive(b, KindReport) }

func BenchmarkReceiveTotal(b *testing.B) { benchmarkReceive(b, KindTotal) }

// BenchmarkTickRoot prepares the messages of a root with 23 children.
func BenchmarkTickRoot(b *testing.B) {
	m, root, _, _ := benchMessage(b, KindReport)
	b.ReportAllocs()
	for b.Loop() {
		root.node.Tick(m.now, Own{State: root.load(), Synced: true})
	}
}
