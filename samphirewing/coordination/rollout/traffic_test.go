package rollout

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// maxReportBytes bounds what one daemon sends another about a rollout in a second:
// half of what all control work of a daemon may take.
const maxReportBytes = 10_000

// Guards against reports that grow with the number of daemons.
func TestReportsStaySmall(t *testing.T) {
	for _, daemons := range []int{26, 80, 400} {
		o := usualOptions(good)
		o.daemons, o.perSecond, o.routes = 1, 0, 4
		m := newSim(1, o)
		table := m.daemons[0].table
		m.advance(time.Second)
		sent := 0
		const seconds, step = 10, 50 * time.Millisecond
		for tick := range seconds * int(time.Second/step) {
			for n := range daemons {
				// Each daemon has responses on one route, and all of them change.
				attempt := Attempt{Service: simService, Route: fmt.Sprint("route-", (tick+n)%4), Version: "v1", Endpoint: "old"}
				table.SetIncarnation("daemon", routeMember(fmt.Sprint("daemon-", n), 1))
				table.Timed(attempt, 90*time.Millisecond, 80*time.Millisecond, 80*time.Millisecond)
				table.Ended(attempt, Succeeded)
			}
			_, down := table.Outgoing(m.now.Add(time.Duration(tick) * step))
			sent += proto.Size(down)
		}
		t.Logf("%d daemons: %d bytes per second", daemons, sent/seconds)
		assert.Assert(t, sent/seconds <= maxReportBytes, "%d daemons: %d bytes per second", daemons, sent/seconds)
	}
}

// BenchmarkAdmit decides about one request during a rollout.
func BenchmarkAdmit(b *testing.B) {
	o := usualOptions(good)
	o.daemons = 80
	m := newSim(1, o)
	m.advance(3 * time.Second)
	table := m.daemons[0].table
	b.ReportAllocs()
	for b.Loop() {
		table.Admit(m.now, simService, "route-1", false)
	}
}

// BenchmarkEvaluate evaluates the evidence of 80 daemons.
func BenchmarkEvaluate(b *testing.B) {
	o := usualOptions(good)
	o.daemons = 80
	m := newSim(1, o)
	m.advance(3 * time.Second)
	table, now := m.daemons[0].table, m.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(evaluateInterval)
		table.Evaluate(now, func(Order) Capacity { return Capacity{Endpoints: 6, Slots: 1000, Running: 500} })
	}
}
