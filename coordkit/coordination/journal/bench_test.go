package journal_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/coordination/internal/localmesh"
	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/state/eventlog/memlog"
	"github.com/samphirewing/coordkit/transport/clock"
)

// remoteLog adds the delay of a service across a network.
type remoteLog struct {
	*memlog.Log
	delay time.Duration
}

func (l remoteLog) Append(ctx context.Context, s eventlog.Stream, data []byte) (eventlog.Offset, error) {
	time.Sleep(l.delay)
	return l.Log.Append(ctx, s, data)
}

func (l remoteLog) Read(ctx context.Context, s eventlog.Stream, from eventlog.Offset, limit int) (eventlog.Batch, error) {
	time.Sleep(l.delay)
	return l.Log.Read(ctx, s, from, limit)
}

// BenchmarkBookings runs whole bookings over four instances for a while at each
// rate and reports what the log saw.
func BenchmarkBookings(b *testing.B) {
	for _, rate := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				benchBookings(b, rate)
			}
		})
	}
}

const benchSeconds = 6

func benchBookings(b *testing.B, rate int) {
	const instances = 4
	log := remoteLog{memlog.New(clock.System{}), 2 * time.Millisecond}
	net := localmesh.New()
	var journals []*journal.Journal
	for i := range instances {
		id := instance.ID(fmt.Sprintf("d%d", i))
		j, err := journal.Start(journal.Options{
			Log: log, StreamPrefix: "bookings", Self: instance.Process{ID: id, Incarnation: 1},
			Limits:  journal.Limits{MaxFuture: time.Millisecond},
			OwnerOf: func(p int) instance.ID { return instance.ID(fmt.Sprintf("d%d", p%instances)) },
			Mesh:    net.Join(id),
		})
		assert.NilError(b, err)
		defer j.Close()
		journals = append(journals, j)
	}
	time.Sleep(500 * time.Millisecond)
	appendsBefore, readsBefore := log.Counts()
	var mu sync.Mutex
	var permits, whole []time.Duration
	var running sync.WaitGroup
	start := time.Now()
	for n := range rate * benchSeconds {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		running.Add(1)
		go func() {
			defer running.Done()
			began := time.Now()
			j := journals[n%instances]
			begun, err := j.Begin(context.Background(), journal.Intent{
				Key: journal.Key{Namespace: "org", Name: fmt.Sprint(n)}, Issued: began, SendBy: began.Add(10 * time.Second),
			})
			assert.Check(b, err)
			permit := time.Since(began)
			assert.Check(b, begun.Permit.StartSend(time.Now()))
			assert.Check(b, j.End(context.Background(), begun.Permit, journal.OutcomeDone, []byte("ok")))
			mu.Lock()
			defer mu.Unlock()
			permits, whole = append(permits, permit), append(whole, time.Since(began))
		}()
	}
	running.Wait()
	seconds := time.Since(start).Seconds()
	appends, reads := log.Counts()
	b.ReportMetric(float64(appends-appendsBefore)/seconds, "appends/s")
	b.ReportMetric(float64(reads-readsBefore)/seconds, "reads/s")
	b.ReportMetric(float64(len(permits))/seconds, "bookings/s")
	for _, q := range []struct {
		name  string
		times []time.Duration
	}{{"permit", permits}, {"whole", whole}} {
		slices.Sort(q.times)
		b.ReportMetric(float64(q.times[len(q.times)/2].Microseconds())/1000, q.name+"-p50-ms")
		b.ReportMetric(float64(q.times[len(q.times)*99/100].Microseconds())/1000, q.name+"-p99-ms")
	}
}

// TestAppendsStayUnderTheBound drives the writers of all partitions with 1,000
// bookings a second in virtual time.
func TestAppendsStayUnderTheBound(t *testing.T) {
	const (
		bookings = 1000
		seconds  = 5
		bound    = 200
	)
	limits := journal.DefaultLimits
	now := time.Unix(1_000_000, 0)
	next := make([]eventlog.Offset, limits.Partitions)
	writers := make([]*journal.Writer, limits.Partitions)
	appends := 0
	step := func(p int, e journal.WriterEvent) []journal.WriterEffect { return writers[p].Step(now, e) }
	var pending func(p int, effects []journal.WriterEffect)
	streams := make([][]eventlog.Record, limits.Partitions)
	pending = func(p int, effects []journal.WriterEffect) {
		for _, e := range effects {
			switch e := e.(type) {
			case journal.AppendBatch:
				appends++
				next[p]++
				streams[p] = append(streams[p], eventlog.Record{Offset: next[p], Time: now, Data: e.Data})
				pending(p, step(p, journal.Appended{BatchID: e.ID, Offset: next[p]}))
			case journal.ReadLog:
				b := eventlog.Batch{Oldest: 1, Next: next[p] + 1, Records: streams[p][min(int(e.From)-1, len(streams[p])):]}
				pending(p, step(p, journal.ReadCompleted{Batch: b}))
			}
		}
	}
	for p := range writers {
		writers[p] = journal.NewWriter(journal.WriterConfig{ID: fmt.Sprint(p)})
		pending(p, step(p, journal.Tick{}))
	}
	now = now.Add(time.Minute)
	appends = 0
	for n := range bookings * seconds {
		now = now.Add(time.Second / bookings)
		k := journal.Key{Namespace: "org", Name: fmt.Sprint(n)}
		p := k.Partition(limits.Partitions)
		for _, kind := range []journalpb.Kind{journalpb.Kind_KIND_INTENT, journalpb.Kind_KIND_OUTCOME} {
			pending(p, step(p, journal.Submit{Token: uint64(2*n) + uint64(kind), Record: &journalpb.Record{
				Kind: kind, Namespace: k.Namespace, Key: k.Name, Attempt: k.Name, IssuedUnixNano: now.UnixNano(),
			}}))
		}
	}
	assert.Assert(t, appends > 0 && appends <= bound*seconds, "%d appends in %d s", appends, seconds)
}
