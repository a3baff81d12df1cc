package aggregation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/endpointlimit"
)

// Guards against daemons that go on by a limit which has been lifted, because few
// of them still send to the endpoint.
func TestLimitAndItsEndReachAllDaemons(t *testing.T) {
	const endpoint endpointlimit.Key = 3
	m := newSim(1, 118, 5)
	m.run(2 * time.Second)
	m.loss = 0.1
	for i, limit := range []float64{2, endpointlimit.Unlimited} {
		m.daemons[40*i].limits.Observe(m.now, endpoint, limit)
		m.run(agreementTime)
		for _, d := range m.daemons {
			assert.Equal(t, d.limits.Limit(endpoint), limit, "%s", d.id)
		}
	}
}
