package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// settleTime is the stated bound for a change to reach all instances.
const settleTime = 2 * time.Second

func TestStartAndChangeReachAll(t *testing.T) {
	for _, size := range []struct{ instances, domains int }{{1, 1}, {4, 3}, {5, 4}, {30, 5}, {400, 15}} {
		t.Run(fmt.Sprint(size.instances, "in", size.domains), func(t *testing.T) {
			n := newNetwork(1, Options{})
			n.populate(size.instances, size.domains)
			n.run(settleTime)
			assert.Equal(t, n.disagreement(), "")

			first := n.processes[n.order[0]]
			n.apply(first, SelfChanged{State: Draining, Revision: 7, Weight: 50})
			n.run(settleTime)
			assert.Equal(t, n.disagreement(), "")
		})
	}
}

func TestKillAndRestart(t *testing.T) {
	n := newNetwork(1, Options{})
	n.populate(60, 6)
	n.run(settleTime)
	victim := n.processes["instance-007"]
	victim.up = false
	n.run(2*DefaultDeadAfter + settleTime)
	assert.Equal(t, n.disagreement(), "")
	n.start("instance-007", victim.domain, 2)
	n.run(settleTime)
	assert.Equal(t, n.disagreement(), "")
	assert.Equal(t, victim.machine.Live()[7].Incarnation, instance.Incarnation(2))
}
