package mesh

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// heartbeatBytes approximates the size of a heartbeat's body.
const heartbeatBytes = 40

// startCountingMesh starts a mesh with default options that counts the one-way
// messages it receives.
func startCountingMesh(b *testing.B, id string, count *atomic.Int64) *Mesh {
	b.Helper()
	m, err := Start(Options{Self: instance.Process{ID: instance.ID(id), Incarnation: 1}, ListenAddress: "127.0.0.1:0"},
		func(r Registrar) {
			r.OnMessage(kindOneWay, func(instance.Process, Message) { count.Add(1) })
			r.OnCall(kindEcho, func(_ context.Context, _ instance.Process, m Message) (Message, error) { return m, nil })
		})
	assert.NilError(b, err)
	b.Cleanup(func() { m.Close() })
	return m
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSend sends one-way messages as fast as the peer reads them.
func BenchmarkSend(b *testing.B) {
	for _, size := range []int{heartbeatBytes, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			var count atomic.Int64
			from, to := startCountingMesh(b, "a", &count), startCountingMesh(b, "b", &count)
			from.SetPeers([]Peer{{ID: "b", Address: to.Addr().String()}})
			body := make([]byte, size)
			b.SetBytes(int64(size))
			b.ResetTimer()
			cpu := processorTime()
			for range b.N {
				for from.Send("b", Message{Kind: kindOneWay, Body: body}) != nil {
					time.Sleep(100 * time.Microsecond)
				}
			}
			for count.Load() < int64(b.N) {
				time.Sleep(100 * time.Microsecond)
			}
			b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkCall makes sequential calls.
func BenchmarkCall(b *testing.B) {
	var count atomic.Int64
	from, to := startCountingMesh(b, "a", &count), startCountingMesh(b, "b", &count)
	from.SetPeers([]Peer{{ID: "b", Address: to.Addr().String()}})
	body := make([]byte, heartbeatBytes)
	cpu := processorTime()
	for b.Loop() {
		_, err := from.Call(context.Background(), "b", Message{Kind: kindEcho, Body: body})
		assert.NilError(b, err)
	}
	b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkIdleSessions reports the cost of a session that carries only pings:
// processor time per second, and memory, for both ends together.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions = 100
	var count atomic.Int64
	hub := startCountingMesh(b, "hub", &count)
	before := memoryInUse()
	for i := range sessions {
		m := startCountingMesh(b, fmt.Sprint("n", i), &count)
		m.SetPeers([]Peer{{ID: "hub", Address: hub.Addr().String()}})
		_, err := m.Call(context.Background(), "hub", Message{Kind: kindEcho})
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(memoryInUse()-before)/sessions, "bytes/session")
	cpu, start := processorTime(), time.Now()
	for range b.N {
		time.Sleep(time.Second)
	}
	perSecond := float64((processorTime() - cpu).Microseconds()) / time.Since(start).Seconds()
	b.ReportMetric(perSecond/sessions, "cpu-us/s/session")
}

// BenchmarkSparseMessages sends 52 messages per second, two to each of 26 peers,
// as heartbeats do. It reports the processor time per message for both ends
// together.
func BenchmarkSparseMessages(b *testing.B) {
	const peers, rounds = 26, 2
	var count atomic.Int64
	hub := startCountingMesh(b, "hub", &count)
	var addresses []Peer
	for i := range peers {
		m := startCountingMesh(b, fmt.Sprint("n", i), &count)
		addresses = append(addresses, Peer{ID: instance.ID(fmt.Sprint("n", i)), Address: m.Addr().String()})
	}
	hub.SetPeers(addresses)
	body := make([]byte, heartbeatBytes)
	cpu := processorTime()
	for range b.N * rounds {
		for _, p := range addresses {
			hub.Send(p.ID, Message{Kind: kindOneWay, Body: body})
		}
		time.Sleep(time.Second / rounds)
	}
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N*rounds*peers), "cpu-us/message")
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
