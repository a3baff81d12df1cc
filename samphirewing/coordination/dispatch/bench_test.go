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

// overloadedScheduler returns the scheduler of one daemon of a large,
// overloaded deployment.
func overloadedScheduler() *Scheduler {
	var names []string
	for i := range benchEndpoints {
		names = append(names, fmt.Sprint("engine-", i))
	}
	s := newTestScheduler(names...)
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
		s.Offer(start, newRequest(fmt.Sprint(i), start, 1))
	}
	return s
}

// BenchmarkOfferWithdraw offers one request and removes it again while 10,000
// requests are queued.
func BenchmarkOfferWithdraw(b *testing.B) {
	s := overloadedScheduler()
	if s.Waiting() < benchWaiting {
		b.Fatalf("only %d requests queued", s.Waiting())
	}
	b.ReportAllocs()
	for b.Loop() {
		r := newRequest("one", start, 0)
		grant, _ := s.Offer(start, r)
		if grant != nil {
			s.Release(start, grant, Abandoned)
		}
		s.Withdraw(r)
	}
}

// BenchmarkAdvance checks whether any of 10,000 queued requests can be placed.
func BenchmarkAdvance(b *testing.B) {
	s := overloadedScheduler()
	b.ReportAllocs()
	for b.Loop() {
		s.Advance(start.Add(time.Millisecond))
	}
}
