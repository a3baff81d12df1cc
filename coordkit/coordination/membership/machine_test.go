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

// TestChangesHaveTheirEvents checks the event of each kind of change.
func TestChangesHaveTheirEvents(t *testing.T) {
	life := func(incarnation instance.Incarnation, s State) Member {
		return Member{Process: instance.Process{ID: "a", Incarnation: incarnation}, State: s}
	}
	for _, c := range []struct {
		before, after Member
		want          int
	}{
		{Member{}, life(0, Joining), 0},
		{life(1, Ready), life(1, Ready), 0},
		{life(0, Joining), life(1, Ready), eventMemberFound.Number},
		{life(1, Ready), life(2, Ready), eventMemberFound.Number},
		{life(1, Ready), life(1, Dead), eventMemberDead.Number},
		{life(1, Dead), life(1, Ready), eventMemberBack.Number},
		{life(1, Ready), life(1, Leaving), eventMemberState.Number},
	} {
		got, ok := changeEvent(MemberChanged{Member: c.after, Previous: c.before})
		assert.Equal(t, got.Number, c.want)
		assert.Equal(t, ok, c.want != 0)
	}
}

// TestOwnPause checks that a paused process, when it goes on, neither takes
// the others for dead nor is late to see one die. The instances are
// neighbours in one case, and alone in their failure domains in the other.
func TestOwnPause(t *testing.T) {
	for _, domains := range []int{1, 4} {
		t.Run(fmt.Sprint("domains=", domains), func(t *testing.T) {
			n := newNetwork(1, Options{})
			n.populate(4, domains)
			n.run(settleTime)
			paused, victim := n.processes["instance-000"], n.processes["instance-001"]
			n.onEffect = func(p *process, e Effect) {
				if c, ok := e.(MemberChanged); ok && p == paused && c.Member.State == Dead {
					assert.Assert(t, !victim.up, "%s is taken for dead", c.Member.Process)
				}
			}
			paused.pausedUntil = n.now.Add(2 * DefaultDeadAfter)
			n.run(2*DefaultDeadAfter - DefaultPushDelay)
			victim.up = false
			n.run(DefaultDeadAfter + settleTime)
			assert.Equal(t, n.disagreement(), "")
		})
	}
}
