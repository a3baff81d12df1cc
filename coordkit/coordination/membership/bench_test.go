package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// changesADay is the target's number of changes of configuration.
	changesADay = 4600
	// controlBytesPerSecond is what an instance may send for all control.
	controlBytesPerSecond = 20_000
	// heartbeatShare is the part of it that heartbeats may take.
	heartbeatShare = 0.25
	warmUp         = 5 * time.Second
)

type clusterSize struct{ instances, domains int }

func (s clusterSize) String() string {
	return fmt.Sprintf("instances=%d/domains=%d", s.instances, s.domains)
}

// costs are what one instance sends, in a second of virtual time.
type costs struct {
	meanBytes, maxBytes, meanMessages, maxMessages float64
}

// steadyState runs a settled network with configuration changes at the
// target's rate, and returns what an instance sends.
func steadyState(n *network, seconds int) costs {
	for _, p := range n.processes {
		p.bytes, p.messages = 0, 0
	}
	const changeEvery = 24 * time.Hour / changesADay
	sinceChange := time.Duration(0)
	revision := int64(1_000_000)
	for range seconds {
		n.run(time.Second)
		if sinceChange += time.Second; sinceChange >= changeEvery {
			sinceChange -= changeEvery
			revision++
			for _, id := range n.order {
				n.apply(n.processes[id], SelfChanged{State: Ready, Revision: revision, Weight: 100})
			}
		}
	}
	var c costs
	for _, p := range n.processes {
		c.meanBytes += float64(p.bytes)
		c.meanMessages += float64(p.messages)
		c.maxBytes = max(c.maxBytes, float64(p.bytes))
		c.maxMessages = max(c.maxMessages, float64(p.messages))
	}
	c.meanBytes /= float64(seconds * len(n.processes))
	c.meanMessages /= float64(seconds * len(n.processes))
	c.maxBytes /= float64(seconds)
	c.maxMessages /= float64(seconds)
	return c
}

// TestHeartbeatsFitTheirBudget runs the target's size.
func TestHeartbeatsFitTheirBudget(t *testing.T) {
	n := newNetwork(1, Options{})
	n.populate(400, 15)
	n.run(warmUp)
	c := steadyState(n, 20)
	assert.Assert(t, c.maxBytes <= heartbeatShare*controlBytesPerSecond, "%.0f bytes a second", c.maxBytes)
}

// BenchmarkHeartbeats runs one second of virtual time an operation. It
// reports what an instance sends and the processor time that its machine and
// its codec take; sockets are not part of it.
func BenchmarkHeartbeats(b *testing.B) {
	for _, size := range []clusterSize{
		{4, 3}, {16, 4}, {64, 4}, {64, 15}, {256, 15}, {400, 15},
		{27, 1}, {54, 2}, {108, 4}, {216, 8}, {405, 15}, {810, 30},
	} {
		b.Run(size.String(), func(b *testing.B) {
			n := newNetwork(1, Options{})
			n.populate(size.instances, size.domains)
			n.run(warmUp)
			b.ResetTimer()
			c := steadyState(n, b.N)
			b.ReportMetric(c.meanBytes, "bytes/s")
			b.ReportMetric(c.maxBytes, "max-bytes/s")
			b.ReportMetric(c.meanMessages, "messages/s")
			b.ReportMetric(c.maxMessages, "max-messages/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*size.instances), "cpu-us/s")
		})
	}
}

// BenchmarkKillNoticed reports how long after a kill the first and the last
// instance see it, in virtual milliseconds.
func BenchmarkKillNoticed(b *testing.B) {
	for _, size := range []clusterSize{{4, 3}, {16, 4}, {64, 15}, {400, 15}} {
		b.Run(size.String(), func(b *testing.B) {
			n := newNetwork(1, Options{})
			n.populate(size.instances, size.domains)
			n.run(warmUp)
			var killed time.Time
			var first, last time.Duration
			n.onEffect = func(p *process, e Effect) {
				if c, ok := e.(MemberChanged); ok && c.Member.State == Dead {
					last = n.now.Sub(killed)
					if first == 0 {
						first = last
					}
				}
			}
			var firstSum, lastMax time.Duration
			for i := range b.N {
				victim := n.processes[n.order[i%len(n.order)]]
				victim.up = false
				killed, first, last = n.now, 0, 0
				n.run(3 * DefaultDeadAfter)
				firstSum += first
				lastMax = max(lastMax, last)
				n.start(victim.life.ID, victim.domain, victim.life.Incarnation+1)
				n.run(3 * DefaultDeadAfter)
			}
			b.ReportMetric(float64(firstSum.Milliseconds())/float64(b.N), "first-ms")
			b.ReportMetric(float64(lastMax.Milliseconds()), "last-max-ms")
		})
	}
}

// BenchmarkChangeReachesAll reports how long, in virtual milliseconds, a
// change of state and a change of revision take to reach all instances, with
// the given time one way between any two.
func BenchmarkChangeReachesAll(b *testing.B) {
	size := clusterSize{400, 15}
	for _, latency := range []time.Duration{time.Millisecond, 100 * time.Millisecond} {
		for _, change := range []SelfChanged{{State: Draining, Weight: 100}, {State: Ready, Revision: 9, Weight: 100}} {
			b.Run(fmt.Sprintf("latency=%v/state=%v", latency, change.State), func(b *testing.B) {
				n := newNetwork(1, Options{})
				n.latency = latency
				n.populate(size.instances, size.domains)
				n.run(warmUp)
				var longest time.Duration
				for i := range b.N {
					start := n.now
					change.Revision += int64(i)
					n.apply(n.processes[n.order[i]], change)
					for n.disagreement() != "" {
						n.run(tickInterval)
					}
					longest = max(longest, n.now.Sub(start))
				}
				b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
			})
		}
	}
}

// BenchmarkMachineMemory reports the heap that one settled machine holds.
func BenchmarkMachineMemory(b *testing.B) {
	for _, size := range []clusterSize{{64, 15}, {400, 15}} {
		b.Run(size.String(), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				n := newNetwork(1, Options{})
				n.populate(size.instances, size.domains)
				n.run(warmUp)
				n.queue, n.trace = nil, nil
				b.ReportMetric(float64(heapInUse()-before)/float64(size.instances), "bytes/machine")
				runtime.KeepAlive(n)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
