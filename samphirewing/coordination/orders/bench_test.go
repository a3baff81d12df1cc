package orders_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog/memlog"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/coordination/orders"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// BenchmarkReconcileEngines measures how long four instances take to bring all
// engines to a new declaration concurrently.
func BenchmarkReconcileEngines(b *testing.B) {
	for _, n := range []int{20, 275, 1100} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkReconcileEngines(b, n)
			}
		})
	}
}

func benchmarkReconcileEngines(b *testing.B, n int) {
	const instances = 4
	log := memlog.New(clock.System{})
	engines := make(map[structs.EndpointName]*fakeEngine)
	var specs []orders.Spec
	for i := range n {
		name := structs.EndpointName(fmt.Sprintf("e%04d", i))
		engines[name] = &fakeEngine{checksFencing: true}
		specs = append(specs, orders.Spec{Endpoint: name, ChecksFencing: true, Models: []string{"m1"}})
	}
	start := time.Now()
	for i := range instances {
		r, err := orders.Start(orders.Options{
			Log: log, Stream: "leases", Self: instance.Process{ID: instance.ID(fmt.Sprint(i)), Incarnation: 1},
			Declared: func() []orders.Spec { return specs },
			OwnerOf: func(l lease.Name) instance.ID {
				h := fnv.New32()
				_, _ = h.Write([]byte(l))
				return instance.ID(fmt.Sprint(h.Sum32() % instances))
			},
			Engine: func(e structs.EndpointName) (edge.Engine, bool) { return engines[e], true },
		})
		assert.NilError(b, err)
		defer r.Close()
	}
	for _, e := range engines {
		for len(e.currentState().Models) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	b.ReportMetric(time.Since(start).Seconds(), "all-ordered-s")
	time.Sleep(5 * time.Second)
	appends, _ := log.Counts()
	b.ReportMetric(float64(appends), "lease-appends")
	before, readsBefore := log.Counts()
	time.Sleep(5 * time.Second)
	after, reads := log.Counts()
	b.ReportMetric(float64(after-before)/5, "idle-appends/s")
	b.ReportMetric(float64(reads-readsBefore)/5, "idle-reads/s")
}
