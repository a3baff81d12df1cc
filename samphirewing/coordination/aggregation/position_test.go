package aggregation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against daemons that take records for current because their parent
// reports often, although no root can read the topic any more.
func TestAgeOfReadReachesAllDaemons(t *testing.T) {
	const usualAge, cutFor = 500 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct{ daemons, domains int }{{13, 2}, {30, 3}, {118, 5}, {400, 15}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			m := newSim(1, c.daemons, c.domains)
			m.run(2 * time.Second)
			for _, d := range m.daemons {
				if p := d.node.Position(m.now, simTopic); p.Connected {
					assert.Assert(t, m.now.Sub(p.ReadAt) <= usualAge, "%s: the topic was read %v ago", d.id, m.now.Sub(p.ReadAt))
				}
			}
			cutAt := m.now
			for _, d := range m.daemons {
				d.cutOff = true
			}
			m.run(cutFor)
			relying := 0
			for _, d := range m.daemons {
				if p := d.node.Position(m.now, simTopic); p.Connected {
					relying++
					// Ages don't include the passage of the message.
					assert.Assert(t, !p.ReadAt.After(cutAt.Add(hopDelay)), "%s: read %v after the cut", d.id, p.ReadAt.Sub(cutAt))
				}
			}
			assert.Equal(t, relying, c.daemons-m.roots())
		})
	}
}
