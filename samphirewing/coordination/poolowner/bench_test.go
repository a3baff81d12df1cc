package poolowner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

// benchRequest is one of a realistic mix: ten thousand organisations at most,
// prompts of the given number of blocks.
func benchRequest(n, blocks int) structs.Request {
	r := testRequest(fmt.Sprintf("request-%08d", n), structs.Rank(n%4))
	r.Organisation = structs.OrganisationName(fmt.Sprintf("organisation-%d", n%500))
	r.WorkClass = "layout"
	r.PromptTokens = structs.Tokens(64*blocks + 10)
	r.MaxOutputTokens = 400
	r.Deadline = start.Add(time.Hour)
	r.Prefix = make([]structs.PrefixHash, blocks)
	for i := range r.Prefix {
		r.Prefix[i] = structs.PrefixHash(n%1000*1000 + i)
	}
	return r
}

const benchBlocks = 16

// benchOwner is an owner whose endpoints are full and that has a queue.
func benchOwner(endpoints, waiting int) (*Owner, []scheduling.Grant) {
	o := testOwner(endpoints)
	o.pool.QueueLimit = 1 << 20
	var running []scheduling.Grant
	for n := 0; o.waiting.Len() < waiting; n++ {
		o.Step(start, scheduling.Offer{Request: benchRequest(n, benchBlocks)})
		for _, g := range grants(o.Ready()) {
			running = append(running, g)
			o.Step(start, scheduling.Progress{ID: g.Request, Grant: g.ID, Endpoint: g.Endpoint,
				FirstTokenAfter: 300 * time.Millisecond, Output: 1})
		}
	}
	return o, append(running, grants(o.Ready())...)
}

// BenchmarkDecision is one request's way through a loaded owner: its offer,
// and another's first token and end, which let a waiting one be placed.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ waiting, endpoints int }{
		{1000, 100}, {10_000, 100}, {100_000, 100}, {20_000, 1100}, {10_000, 10},
	} {
		b.Run(fmt.Sprintf("waiting=%d/endpoints=%d", size.waiting, size.endpoints), func(b *testing.B) {
			o, running := benchOwner(size.endpoints, size.waiting)
			now := start
			n := 1 << 24
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				b.StopTimer()
				offer := scheduling.Offer{Request: benchRequest(n, benchBlocks)}
				n++
				b.StartTimer()
				o.Step(now, offer)
				g := running[0]
				running = running[1:]
				o.Step(now, scheduling.Finish{ID: g.Request, Grant: g.ID, Endpoint: g.Endpoint,
					Outcome: structs.OutcomeDone, Duration: 4 * time.Second, PromptTokens: 1034, OutputTokens: 100})
				for _, e := range o.Ready() {
					if g, ok := e.(scheduling.Grant); ok {
						running = append(running, g)
						o.Step(now, scheduling.Progress{ID: g.Request, Grant: g.ID, Endpoint: g.Endpoint,
							FirstTokenAfter: 300 * time.Millisecond, Output: 1})
					}
				}
				if len(running) == 0 {
					b.Fatal("nothing runs")
				}
			}
		})
	}
}

// BenchmarkTick is the passing of time with nothing to do.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1100} {
		b.Run(fmt.Sprintf("waiting=10000/endpoints=%d", endpoints), func(b *testing.B) {
			o, _ := benchOwner(endpoints, 10_000)
			now := start
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				o.Tick(now)
				o.Ready()
			}
		})
	}
}

// BenchmarkMemory reports the bytes that a waiting request, an endpoint and a
// block of the prefix index take.
func BenchmarkMemory(b *testing.B) {
	for _, blocks := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("waiting/blocks=%d", blocks), func(b *testing.B) {
			reportBytes(b, 20_000, func() any {
				o := testOwner(0)
				o.pool.QueueLimit = 1 << 20
				for n := range 20_000 {
					o.Step(start, scheduling.Offer{Request: benchRequest(n, blocks)})
				}
				return o
			})
		})
	}
	b.Run("endpoint", func(b *testing.B) {
		reportBytes(b, 10_000, func() any { return testOwner(10_000) })
	})
	b.Run("prefix-block", func(b *testing.B) {
		reportBytes(b, 100_000, func() any {
			o := testOwner(100)
			for n := range 100_000 {
				o.prefixes.Insert(start, 1+n%100, []structs.PrefixHash{structs.PrefixHash(n)})
			}
			return o
		})
	})
}

func reportBytes(b *testing.B, items int, build func() any) {
	var held any
	var total uint64
	for b.Loop() {
		held = nil
		before := heapBytes()
		held = build()
		total += heapBytes() - before
	}
	runtime.KeepAlive(held)
	b.ReportMetric(float64(total)/float64(b.N)/float64(items), "B/item")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
