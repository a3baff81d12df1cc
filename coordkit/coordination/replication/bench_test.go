package replication_test

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/coordination/internal/localmesh"
	"github.com/samphirewing/coordkit/coordination/replication"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
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

func organisationChange(n int) configstore.ChangeSet {
	c := create(fmt.Sprintf("create-%d", n), fmt.Sprintf("organisation/organisation-%05d", n))
	c.Statement = fmt.Sprintf("create organisation organisation-%05d weight 1", n)
	c.Writes[0].Value = make([]byte, 120)
	return c
}

// fillLog appends n organisations to the stream.
func fillLog(b *testing.B, log *memlog.Log, n int) {
	for i := range n {
		data, err := configstore.EncodeChangeSet(0, organisationChange(i))
		assert.NilError(b, err)
		_, err = log.Append(context.Background(), stream, data)
		assert.NilError(b, err)
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkInForce commits changes on top of 9,700 organisations and waits
// until every instance has applied them, then measures the idle instances.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkInForce(b, n)
			}
		})
	}
}

func benchmarkInForce(b *testing.B, n int) {
	const (
		organisations = 9700
		commits       = 40
		idle          = 8 * time.Second
	)
	log := memlog.New(clock.System{})
	fillLog(b, log, organisations)
	remote := remoteLog{log, 2 * time.Millisecond}
	net := localmesh.New()
	var runners []*replication.Runner
	for i := range n {
		id := instance.ID(fmt.Sprintf("d%02d", i))
		r, err := replication.Start(replication.Options{
			Log: remote, Stream: stream, Mesh: net.Join(id), Peers: net.Members,
			Config: replication.Config{Self: id, SnapshotEvery: 1 << 30, SnapshotAge: time.Hour},
		})
		assert.NilError(b, err)
		defer r.Close()
		runners = append(runners, r)
	}
	for _, r := range runners {
		awaitRevision(b, r, organisations)
	}
	var verdicts, propagation []time.Duration
	for i := range commits {
		start := time.Now()
		v, err := runners[i%n].Commit(context.Background(), organisationChange(organisations+i))
		assert.NilError(b, err)
		verdicts = append(verdicts, time.Since(start))
		for _, r := range runners {
			for r.Revision() < v.Revision {
				time.Sleep(200 * time.Microsecond)
			}
		}
		propagation = append(propagation, time.Since(start))
	}
	_, readsBefore := log.Counts()
	cpuBefore := cpuTime()
	time.Sleep(idle)
	_, reads := log.Counts()
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/1000/idle.Seconds()/float64(n), "idle-cpu-ms/s/instance")
	b.ReportMetric(float64(reads-readsBefore)/idle.Seconds(), "idle-reads/s")
	slices.Sort(verdicts)
	slices.Sort(propagation)
	b.ReportMetric(float64(verdicts[commits/2].Microseconds())/1000, "verdict-p50-ms")
	b.ReportMetric(float64(propagation[commits/2].Microseconds())/1000, "everywhere-p50-ms")
	b.ReportMetric(float64(propagation[commits-1].Microseconds())/1000, "everywhere-max-ms")
}

// BenchmarkFreshStart measures the time from Start to the first complete state.
func BenchmarkFreshStart(b *testing.B) {
	for _, organisations := range []int{2425, 9700} {
		for _, logDown := range []bool{false, true} {
			b.Run(fmt.Sprintf("organisations=%d/logDown=%t", organisations, logDown), func(b *testing.B) {
				benchmarkFreshStart(b, organisations, logDown)
			})
		}
	}
}

func benchmarkFreshStart(b *testing.B, organisations int, logDown bool) {
	log := memlog.New(clock.System{})
	fillLog(b, log, organisations)
	remote := remoteLog{log, 2 * time.Millisecond}
	net := localmesh.New()
	if logDown {
		peer := startRunner(b, log, net, "peer")
		awaitRevision(b, peer, configstore.Revision(organisations))
		log.SetFault(func(bool) memlog.Fault { return memlog.FaultDown })
	}
	n := 0
	for b.Loop() {
		n++
		id := instance.ID(fmt.Sprintf("fresh%d", n))
		o := replication.Options{Log: remote, Stream: stream, Config: replication.Config{Self: id, SnapshotEvery: 1 << 30}}
		if logDown {
			o.Mesh, o.Peers = net.Join(id), net.Members
		}
		r, err := replication.Start(o)
		assert.NilError(b, err)
		for r.Revision() < configstore.Revision(organisations) {
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
		r.Close()
		net.Leave(id)
		b.StartTimer()
	}
}
