package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// configChangesPerDay is the rate of configuration changes at target load.
	configChangesPerDay = 4600
	// controlBudgetBytesPerSecond bounds the control traffic that an instance
	// sends.
	controlBudgetBytesPerSecond = 20_000
	// heartbeatBudgetShare is the share of heartbeats in that budget.
	heartbeatBudgetShare = 0.25
	warmUpTime           = 5 * time.Second
)

type clusterSize struct{ instances, domains int }

func (s clusterSize) String() string {
	return fmt.Sprintf("instances=%d/domains=%d", s.instances, s.domains)
}

// costs is the traffic that an instance sends per second of virtual time.
type costs struct {
	meanBytes, maxBytes, meanMessages, maxMessages float64
}

// steadyState runs a converged network with configuration changes at the
// target's rate, and returns the traffic that an instance sends.
func steadyState(n *network, seconds int) costs {
	for _, p := range n.processes {
		p.sentBytes, p.sentHeartbeats = 0, 0
	}
	const changeEvery = 24 * time.Hour / configChangesPerDay
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
		c.meanBytes += float64(p.sentBytes)
		c.meanMessages += float64(p.sentHeartbeats)
		c.maxBytes = max(c.maxBytes, float64(p.sentBytes))
		c.maxMessages = max(c.maxMessages, float64(p.sentHeartbeats))
	}
	c.meanBytes /= float64(seconds * len(n.processes))
	c.meanMessages /= float64(seconds * len(n.processes))
	c.maxBytes /= float64(seconds)
	c.maxMessages /= float64(seconds)
	return c
}

// TestHeartbeatsFitTheirBudget checks the heartbeat traffic at the target size.
func TestHeartbeatsFitTheirBudget(t *testing.T) {
	n := newNetwork(1, Options{})
	n.populate(400, 15)
	n.run(warmUpTime)
	c := steadyState(n, 20)
	assert.Assert(t, c.maxBytes <= heartbeatBudgetShare*controlBudgetBytesPerSecond, "%.0f bytes a second", c.maxBytes)
}

// BenchmarkHeartbeats runs one second of virtual time per operation. It reports
// the traffic that an instance sends, and the processor time of its machine and
// codec without sockets.
func BenchmarkHeartbeats(b *testing.B) {
	for _, size := range []clusterSize{
		{4, 3}, {16, 4}, {64, 4}, {64, 15}, {256, 15}, {400, 15},
		{27, 1}, {54, 2}, {108, 4}, {216, 8}, {405, 15}, {810, 30},
	} {
		b.Run(size.String(), func(b *testing.B) {
			n := newNetwork(1, Options{})
			n.populate(size.instances, size.domains)
			n.run(warmUpTime)
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

// BenchmarkFailureDetection reports the time from a kill until the first and
// the last instance detect it, in virtual milliseconds.
func BenchmarkFailureDetection(b *testing.B) {
	for _, size := range []clusterSize{{4, 3}, {16, 4}, {64, 15}, {400, 15}} {
		b.Run(size.String(), func(b *testing.B) {
			n := newNetwork(1, Options{})
			n.populate(size.instances, size.domains)
			n.run(warmUpTime)
			var killedAt time.Time
			var first, last time.Duration
			n.onEffect = func(p *process, e Effect) {
				if c, ok := e.(MemberChanged); ok && c.Member.State == Dead {
					last = n.now.Sub(killedAt)
					if first == 0 {
						first = last
					}
				}
			}
			var firstSum, lastMax time.Duration
			for i := range b.N {
				killed := n.processes[n.order[i%len(n.order)]]
				killed.up = false
				killedAt, first, last = n.now, 0, 0
				n.run(3 * DefaultDeadAfter)
				firstSum += first
				lastMax = max(lastMax, last)
				n.start(killed.self.ID, killed.domain, killed.self.Incarnation+1)
				n.run(3 * DefaultDeadAfter)
			}
			b.ReportMetric(float64(firstSum.Milliseconds())/float64(b.N), "first-ms")
			b.ReportMetric(float64(lastMax.Milliseconds()), "last-max-ms")
		})
	}
}

// BenchmarkChangePropagation reports the time, in virtual milliseconds, until a
// change of state and a change of revision reach all instances. The latency is
// one way, between any two instances.
func BenchmarkChangePropagation(b *testing.B) {
	size := clusterSize{400, 15}
	for _, latency := range []time.Duration{time.Millisecond, 100 * time.Millisecond} {
		for _, change := range []SelfChanged{{State: Draining, Weight: 100}, {State: Ready, Revision: 9, Weight: 100}} {
			b.Run(fmt.Sprintf("latency=%v/state=%v", latency, change.State), func(b *testing.B) {
				n := newNetwork(1, Options{})
				n.latency = latency
				n.populate(size.instances, size.domains)
				n.run(warmUpTime)
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

// BenchmarkMachineMemory reports the heap memory of a converged machine.
func BenchmarkMachineMemory(b *testing.B) {
	for _, size := range []clusterSize{{64, 15}, {400, 15}} {
		b.Run(size.String(), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				n := newNetwork(1, Options{})
				n.populate(size.instances, size.domains)
				n.run(warmUpTime)
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
