package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	benchEndpoints = 170
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

// sharedScheduler returns the scheduler of one daemon with 170 endpoints and requests
// of so many organisations queued, in an overloaded deployment.
func sharedScheduler(organisations int) *Scheduler {
	var names []string
	for i := range benchEndpoints {
		names = append(names, fmt.Sprint("engine-", i))
	}
	s := newTestScheduler(names...)
	s.SetFleet(80, defaultDrawInterval)
	peers := Report{Pools: []PoolReport{{Pool: enginePool, SlotsPerSecond: 3000, Ranks: []RankReport{{Rank: 1, Waiting: 3000, PlacedPerSecond: 1000}}}}}
	for _, name := range names {
		peers.Loads = append(peers.Loads, Load{Endpoint: structs.EndpointName(name), Running: 2 * slots})
	}
	s.SetPeerReport(start, "peers", peers)
	entries := fairshare.Entries{}
	for i := range fairshare.MaxEntries {
		entries.Largest = append(entries.Largest, fairshare.Entry{Key: benchKey(i), Used: fairshare.Cost(10000 / (i + 1)), Waiting: 500})
	}
	s.SetPeerShares(start, Shares{{Pool: enginePool, Rank: 1}: entries})
	for i := range benchWaiting {
		s.Offer(start, benchRequest(i, organisations))
	}
	s.Advance(start.Add(shareInterval))
	// Waits are forecast once a request has completed.
	s.pools[enginePool].residenceMs = 200
	return s
}

func benchName(i int) structs.OrganisationName {
	return structs.OrganisationName(fmt.Sprint("organisation-", i))
}

func benchKey(i int) fairshare.Key { return fairshare.KeyOf(benchName(i)) }

func benchRequest(i, organisations int) *Request {
	r := newRequest(fmt.Sprint(i), start, 1)
	r.Organisation, r.Target, r.StartBy = benchName(i%organisations), time.Hour, start.Add(time.Hour)
	return r
}

// BenchmarkSharedDecision takes the decisions of one request: it is offered, queued,
// and checked against the free slots, while 10,000 others are queued, and removed.
func BenchmarkSharedDecision(b *testing.B) {
	for _, organisations := range []int{16, 9700} {
		s := sharedScheduler(organisations)
		if s.Waiting() < benchWaiting {
			b.Fatalf("only %d requests queued", s.Waiting())
		}
		now := start.Add(shareInterval + time.Millisecond)
		for name, decide := range map[string]func(*Request){
			"offer":   func(r *Request) { s.Offer(now, r); s.Withdraw(r) },
			"advance": func(*Request) { s.Advance(now) },
			// The wait is too long for any request with a target, so each is promised the
			// next place, or told that there is none.
			"refuse": func(r *Request) {
				r.Target, r.StartBy, r.Deadline = 400*time.Millisecond, now.Add(time.Second), now.Add(10*time.Second)
				r.Fingerprint++
				r.queued = queuedRequest{}
				if _, refusal := s.Offer(now, r); refusal == nil {
					panic("not refused")
				}
			},
		} {
			b.Run(fmt.Sprint(name, "-", organisations), func(b *testing.B) {
				r := benchRequest(7, organisations)
				b.ReportAllocs()
				for b.Loop() {
					decide(r)
				}
			})
		}
	}
}
