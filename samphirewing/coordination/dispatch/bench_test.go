package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	benchEndpoints = 60
	benchPeers     = 33
	benchWaiting   = 10_000
)

// crowded is a daemon of a large deployment in an overload.
func crowded() *Scheduler {
	var names []string
	for i := range benchEndpoints {
		names = append(names, fmt.Sprint("engine-", i))
	}
	s := scheduler(names...)
	for peer := range benchPeers {
		var r Report
		for _, name := range names {
			r.Loads = append(r.Loads, Load{Endpoint: structs.EndpointName(name), Running: peer % 2})
		}
		ranks := []RankReport{{Rank: 0, Waiting: 1, PlacedPerSecond: 10}, {Rank: 1, Waiting: 5, PlacedPerSecond: 10}, {Rank: 2, Waiting: 20}}
		r.Pools = []PoolReport{{Pool: enginePool, SlotsPerSecond: 30, Ranks: ranks}}
		s.SetPeerReport(start, fmt.Sprint("peer-", peer), r)
	}
	for i := range benchWaiting {
		s.Offer(start, draft(fmt.Sprint(i), start, 1))
	}
	return s
}

// BenchmarkDecision is one request that is offered and leaves again, with
// 10,000 that wait.
func BenchmarkDecision(b *testing.B) {
	s := crowded()
	if s.Waiting() < benchWaiting {
		b.Fatalf("%d wait", s.Waiting())
	}
	b.ReportAllocs()
	for b.Loop() {
		r := draft("one", start, 0)
		grant, _ := s.Offer(start, r)
		if grant != nil {
			s.Release(start, grant, Abandoned)
		}
		s.Withdraw(r)
	}
}

// BenchmarkAdvance is one look at whether any of 10,000 can be placed.
func BenchmarkAdvance(b *testing.B) {
	s := crowded()
	b.ReportAllocs()
	for b.Loop() {
		s.Advance(start.Add(time.Millisecond))
	}
}
