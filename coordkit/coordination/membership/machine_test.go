package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// propagationBound is the maximum time for a change to reach all instances.
const propagationBound = 2 * time.Second

func TestStartAndChangePropagation(t *testing.T) {
	for _, size := range []struct{ instances, domains int }{{1, 1}, {4, 3}, {5, 4}, {30, 5}, {400, 15}} {
		t.Run(fmt.Sprint(size.instances, "in", size.domains), func(t *testing.T) {
			n := newNetwork(1, Options{})
			n.populate(size.instances, size.domains)
			n.run(propagationBound)
			assert.Equal(t, n.disagreement(), "")

			first := n.processes[n.order[0]]
			n.apply(first, SelfChanged{State: Draining, Revision: 7, Weight: 50})
			n.run(propagationBound)
			assert.Equal(t, n.disagreement(), "")
		})
	}
}

func TestAgreementAfterKillAndRestart(t *testing.T) {
	n := newNetwork(1, Options{})
	n.populate(60, 6)
	n.run(propagationBound)
	killed := n.processes["instance-007"]
	killed.up = false
	n.run(2*DefaultDeadAfter + propagationBound)
	assert.Equal(t, n.disagreement(), "")
	n.start("instance-007", killed.domain, 2)
	n.run(propagationBound)
	assert.Equal(t, n.disagreement(), "")
	assert.Equal(t, killed.machine.Live()[7].Incarnation, instance.Incarnation(2))
}

func TestChangeEvents(t *testing.T) {
	member := func(incarnation instance.Incarnation, s State) Member {
		return Member{Process: instance.Process{ID: "a", Incarnation: incarnation}, State: s}
	}
	for _, c := range []struct {
		before, after Member
		want          int
	}{
		{Member{}, member(0, Joining), 0},
		{member(1, Ready), member(1, Ready), 0},
		{member(0, Joining), member(1, Ready), eventMemberFound.Number},
		{member(1, Ready), member(2, Ready), eventMemberFound.Number},
		{member(1, Ready), member(1, Dead), eventMemberDead.Number},
		{member(1, Dead), member(1, Ready), eventMemberBack.Number},
		{member(1, Ready), member(1, Leaving), eventMemberState.Number},
	} {
		got, ok := changeEvent(MemberChanged{Member: c.after, Previous: c.before})
		assert.Equal(t, got.Number, c.want)
		assert.Equal(t, ok, c.want != 0)
	}
}

// TestOwnPause checks that a process that resumes after a pause neither
// considers live instances dead nor detects a real failure late. The instances
// are neighbours in one case, and alone in their failure domains in the other.
func TestOwnPause(t *testing.T) {
	for _, domains := range []int{1, 4} {
		t.Run(fmt.Sprint("domains=", domains), func(t *testing.T) {
			n := newNetwork(1, Options{})
			n.populate(4, domains)
			n.run(propagationBound)
			paused, killed := n.processes["instance-000"], n.processes["instance-001"]
			n.onEffect = func(p *process, e Effect) {
				if c, ok := e.(MemberChanged); ok && p == paused && c.Member.State == Dead {
					assert.Assert(t, !killed.up, "%s is considered dead", c.Member.Process)
				}
			}
			paused.pausedUntil = n.now.Add(2 * DefaultDeadAfter)
			n.run(2*DefaultDeadAfter - DefaultPushDelay)
			killed.up = false
			n.run(DefaultDeadAfter + propagationBound)
			assert.Equal(t, n.disagreement(), "")
		})
	}
}
