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

// heartbeatBytes is about the size of a heartbeat's body.
const heartbeatBytes = 40

// startCounter starts a mesh with default deadlines that counts its notes.
func startCounter(b *testing.B, id string, count *atomic.Int64) *Mesh {
	b.Helper()
	m, err := Start(Options{Self: instance.Process{ID: instance.ID(id), Incarnation: 1}, ListenAddress: "127.0.0.1:0"},
		func(r Registrar) {
			r.OnMessage(kindNote, func(instance.Process, Message) { count.Add(1) })
			r.OnCall(kindEcho, func(_ context.Context, _ instance.Process, m Message) (Message, error) { return m, nil })
		})
	assert.NilError(b, err)
	b.Cleanup(func() { m.Close() })
	return m
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSend is one one-way message, sent as fast as the peer reads.
func BenchmarkSend(b *testing.B) {
	for _, size := range []int{heartbeatBytes, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			var count atomic.Int64
			from, to := startCounter(b, "a", &count), startCounter(b, "b", &count)
			from.SetPeers([]Peer{{ID: "b", Address: to.Addr().String()}})
			body := make([]byte, size)
			b.SetBytes(int64(size))
			b.ResetTimer()
			cpu := processorTime()
			for range b.N {
				for from.Send("b", Message{Kind: kindNote, Body: body}) != nil {
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

// BenchmarkCall is one answered call after the other.
func BenchmarkCall(b *testing.B) {
	var count atomic.Int64
	from, to := startCounter(b, "a", &count), startCounter(b, "b", &count)
	from.SetPeers([]Peer{{ID: "b", Address: to.Addr().String()}})
	body := make([]byte, heartbeatBytes)
	cpu := processorTime()
	for b.Loop() {
		_, err := from.Call(context.Background(), "b", Message{Kind: kindEcho, Body: body})
		assert.NilError(b, err)
	}
	b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkIdleSessions reports what a session costs that carries nothing but
// its pings: processor time a second, and memory, of both ends together.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions = 100
	var count atomic.Int64
	hub := startCounter(b, "hub", &count)
	before := memoryInUse()
	for i := range sessions {
		m := startCounter(b, fmt.Sprint("n", i), &count)
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

// BenchmarkSparseMessages sends 52 messages a second to each of 26 peers in
// turn, as heartbeats do, and reports the processor time of one message with
// the work of both ends.
func BenchmarkSparseMessages(b *testing.B) {
	const peers, rounds = 26, 2
	var count atomic.Int64
	hub := startCounter(b, "hub", &count)
	var addresses []Peer
	for i := range peers {
		m := startCounter(b, fmt.Sprint("n", i), &count)
		addresses = append(addresses, Peer{ID: instance.ID(fmt.Sprint("n", i)), Address: m.Addr().String()})
	}
	hub.SetPeers(addresses)
	body := make([]byte, heartbeatBytes)
	cpu := processorTime()
	for range b.N * rounds {
		for _, p := range addresses {
			hub.Send(p.ID, Message{Kind: kindNote, Body: body})
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
