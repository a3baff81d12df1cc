package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/rollout"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// fixedVersions admits all requests alike, and counts grants by version.
type fixedVersions struct {
	admission rollout.Admission
	granted   map[string]int
}

func (v *fixedVersions) Admit(time.Time, structs.PoolName, string, bool) rollout.Admission {
	return v.admission
}
func (v *fixedVersions) Granted(_ structs.PoolName, version string) { v.granted[version]++ }

// Guards against requests to a version that they may not use, and against requests
// that find no endpoint although another version may be used.
func TestAdmissionsChooseVersions(t *testing.T) {
	const total = 3 * slots
	cases := []struct {
		admission rollout.Admission
		// granted is the number of grants by version, of as many requests as there are
		// slots.
		granted map[string]int
	}{
		{rollout.Admission{}, map[string]int{"v1": slots, "v2": slots, "v3": slots}},
		{rollout.Admission{Held: "v3"}, map[string]int{"v1": slots, "v2": slots}},
		{rollout.Admission{Mode: rollout.Exclude, Version: "v2"}, map[string]int{"v1": slots, "v3": slots}},
		{rollout.Admission{Mode: rollout.Exclude, Version: "v2", Held: "v3"}, map[string]int{"v1": slots}},
		{rollout.Admission{Mode: rollout.Require, Version: "v2"}, map[string]int{"v2": slots}},
		{rollout.Admission{Mode: rollout.Prefer, Version: "v2"}, map[string]int{"v1": slots, "v2": slots, "v3": slots}},
	}
	for _, c := range cases {
		versions := &fixedVersions{admission: c.admission, granted: map[string]int{}}
		s := newTestScheduler()
		s.SetVersions(versions)
		var all []endpointset.Endpoint
		for n := 1; n <= 3; n++ {
			e := engineEndpoint(fmt.Sprint("engine-", n))
			e.Version = fmt.Sprint("v", n)
			all = append(all, e)
		}
		s.SetEndpoints(all)
		for n := range total {
			grant, _ := s.Offer(start, newRequest(fmt.Sprint(n), start, 0))
			if c.admission.Mode == rollout.Prefer && n < slots {
				assert.Equal(t, grant.Endpoint.Version, "v2")
			}
			if grant != nil {
				s.RecordFirstEvent(start, grant)
			}
		}
		assert.DeepEqual(t, versions.granted, c.granted)
	}
}

// Guards against refusals when old endpoints have stopped after a completion that a
// daemon has not read yet, and against a use of the version before.
func TestExcludedVersionWithoutOthers(t *testing.T) {
	for _, fallback := range []bool{false, true} {
		versions := &fixedVersions{admission: rollout.Admission{Mode: rollout.Exclude, Version: "v2", Fallback: fallback}, granted: map[string]int{}}
		s := newTestScheduler()
		s.SetVersions(versions)
		old, added := engineEndpoint("old"), engineEndpoint("new")
		old.Version, added.Version = "v1", "v2"
		s.SetEndpoints([]endpointset.Endpoint{old, added})
		s.Release(start, mustPlace(t, s, start, newRequest("a", start, 0)), Refused)
		grant, refusal := s.Offer(start, newRequest("b", start, 0))
		assert.Equal(t, grant != nil, fallback)
		assert.Equal(t, refusal != nil, !fallback)
	}
}
