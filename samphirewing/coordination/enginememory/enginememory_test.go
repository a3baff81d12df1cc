package enginememory

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Guards against a request that fits nowhere being sent to an empty engine, and against
// one that fits only there never being sent.
func TestFits(t *testing.T) {
	assert.Assert(t, Fits(Engine{Capacity: 1000, Reserve: 500, Concurrent: 2, Holders: 1}, 920))
	assert.Assert(t, !Fits(Engine{Capacity: 1000, Reserve: 500, Concurrent: 2}, 920))
	assert.Assert(t, !Fits(Engine{Capacity: 1000, Holders: 1}, 921) && LargerThanAny(1000, 921))
	assert.Assert(t, Fits(Engine{Capacity: 1000, Used: 500}, 420) && !Fits(Engine{Capacity: 1000, Used: 500}, 421))
	assert.Assert(t, Fits(Engine{Capacity: 1000, Used: 500, Reserve: 400, Concurrent: 3}, 140) && !Fits(Engine{Capacity: 1000, Used: 500, Reserve: 400, Concurrent: 3}, 141))
	assert.Assert(t, !Fits(Engine{Capacity: 1000, Used: 500, Concurrent: 2, Reserve: 300, Unassigned: 211, Holders: 1}, 211))
	assert.Assert(t, Fits(Engine{Capacity: 1000, Used: 500, Concurrent: 9, Reserve: 200}, 220) && !Fits(Engine{Capacity: 1000, Used: 500, Concurrent: 9, Reserve: 200}, 221))
	assert.Assert(t, Fits(Engine{Used: 1 << 40}, 1<<40) && !LargerThanAny(0, 1<<40), "no memory is configured")
}

// Guards against daemons without any engine for requests that only few may send, and
// against more of them at an engine than they count.
func TestAssign(t *testing.T) {
	for _, c := range []struct{ engines, daemons int }{{112, 26}, {90, 80}, {4, 80}, {7, 7}, {3, 1}} {
		var engines []structs.EndpointName
		var daemons []instance.ID
		for i := range c.engines {
			engines = append(engines, structs.EndpointName(fmt.Sprint("engine-", i)))
		}
		for i := range c.daemons {
			daemons = append(daemons, instance.ID(fmt.Sprint("daemon-", i)))
		}
		holders, counted := map[structs.EndpointName]int{}, map[structs.EndpointName]int{}
		for _, self := range slices.Clone(daemons) {
			assigned := Assign(engines, daemons, self)
			assert.Assert(t, len(assigned) > 0)
			for engine, n := range assigned {
				holders[engine]++
				counted[engine] = n
			}
		}
		assert.Equal(t, len(holders), c.engines)
		assert.DeepEqual(t, holders, counted)
	}
}
