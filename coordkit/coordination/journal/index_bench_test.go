package journal_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/protocol/journalpb"
)

// BenchmarkIndex applies the records of complete bookings, as a new writer does
// when it loads its stream.
func BenchmarkIndex(b *testing.B) {
	for _, keys := range []int{20_000, 80_000, 320_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			var before, after runtime.MemStats
			var x *journal.Index
			start := time.Unix(1_000_000, 0)
			for b.Loop() {
				x = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				x = journal.NewIndex(journal.Limits{Window: 24 * time.Hour})
				x.Apply(start, &journalpb.Record{Kind: journalpb.Kind_KIND_MARK})
				for n := range keys {
					at := start.Add(time.Minute + time.Duration(n)*time.Millisecond)
					r := &journalpb.Record{
						Kind: journalpb.Kind_KIND_INTENT, Namespace: "organisation-00001", Key: fmt.Sprintf("key-%030d", n),
						Attempt: fmt.Sprintf("daemon-0001@1700000000/%d", n), IssuedUnixNano: at.UnixNano(), SendByUnixNano: at.UnixNano(),
					}
					x.Apply(at, r)
					x.Apply(at, &journalpb.Record{
						Kind: journalpb.Kind_KIND_OUTCOME, Namespace: r.Namespace, Key: r.Key, Attempt: r.Attempt,
						IssuedUnixNano: r.IssuedUnixNano, Outcome: journalpb.Outcome_OUTCOME_DONE, Summary: []byte("HTTP 200"),
					})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			if x.Len() != keys {
				b.Fatalf("%d keys held", x.Len())
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keys), "bytes/key")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(keys), "ns/booking")
			runtime.KeepAlive(x)
		})
	}
}
