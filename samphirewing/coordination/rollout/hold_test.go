package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Guards against endpoints that get no requests for seconds after each restart of a daemon,
// and in deployments without orders after each start of another version.
func TestVersionsAreHeldOnlyWhileAnOrderMayBeUnknown(t *testing.T) {
	now := time.Now()
	endpoint := func(version string, age time.Duration) endpointset.Endpoint {
		return endpointset.Endpoint{Name: structs.EndpointName("e-" + version), Pool: simService, Version: version, StartedUnixMs: now.Add(-age).UnixMilli()}
	}
	for name, c := range map[string]struct {
		settings Settings
		age      time.Duration
		known    bool
		held     string
	}{
		"just started":                            {held: "v2"},
		"started before the daemon":               {age: 20 * time.Second},
		"appears while the daemon runs":           {known: true, held: "v2"},
		"appears where no orders are to be known": {settings: Settings{OrdersUnexpected: true}, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(c.settings, "daemon")
			old := endpoint("v1", time.Hour)
			if c.known {
				table.SetEndpoints(now, []endpointset.Endpoint{old})
			}
			table.SetEndpoints(now, []endpointset.Endpoint{old, endpoint("v2", c.age)})
			assert.Equal(t, table.Admit(now, simService, "route", false).Held, c.held)
		})
	}
}
