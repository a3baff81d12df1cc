package aggregation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"
)

// Guards against groups in which a daemon has many children or reports to one that
// ranks below it, and against candidates that are never tried.
func TestParentOrderFormsATree(t *testing.T) {
	for _, size := range []int{1, 2, 9, 10, 32} {
		for _, children := range []int{maxChildren, maxChildrenLarge} {
			var candidates []candidate
			for i := range size {
				candidates = append(candidates, candidate{id: instance.ID(fmt.Sprint(i))})
			}
			count, depth := map[instance.ID]int{}, 0
			for rank, c := range candidates {
				order := parentOrder(c.id, candidates, children)
				assert.Equal(t, len(order), rank, "each better candidate once")
				levels := 0
				for above := c.id; above != "0"; levels++ {
					above = parentOrder(above, candidates, children)[0].id
				}
				depth = max(depth, levels)
				if rank > 0 {
					count[order[0].id]++
					assert.Assert(t, count[order[0].id] <= children)
				}
			}
			assert.Equal(t, treeDepth(size, children), depth)
		}
	}
}
