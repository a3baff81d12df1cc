package aggregation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
)

// contendedUses returns the uses of a daemon that has requests of n organisations
// waiting in three ranks of an engine pool and one of a plain service.
func contendedUses(n int) Organisations {
	o := Organisations{}
	for _, group := range []fairshare.Group{{Pool: "engines", Rank: 0}, {Pool: "engines", Rank: 17}, {Pool: "engines", Rank: 34}, {Pool: "orders", Rank: 17}} {
		entries := fairshare.Entries{}
		for i := range n {
			entries.Largest = append(entries.Largest, fairshare.Entry{Key: fairshare.Key(i + 1), Used: fairshare.Cost(100 + 4*i), Waiting: fairshare.Cost(8 * i)})
		}
		o[group] = entries
	}
	return o
}

// Guards against shares that are computed from a part of the daemons, or that count a
// daemon twice, and against summaries that grow with the number of daemons or
// organisations.
func TestAllDaemonsKnowTheUsesOfTheOthers(t *testing.T) {
	for _, c := range []struct{ daemons, domains, organisations int }{{4, 2, 16}, {26, 4, 16}, {80, 4, 16}, {400, 15, 16}, {26, 4, 97}} {
		t.Run(fmt.Sprint(c.daemons, " daemons ", c.organisations), func(t *testing.T) {
			perSecond := [2]float64{}
			m := newSim(1, c.daemons, c.domains)
			for i := range perSecond {
				if i == 1 {
					for _, d := range m.daemons {
						d.organisations = contendedUses(c.organisations)
					}
				}
				m.run(3 * time.Second)
				for _, d := range m.daemons {
					d.bytes = 0
				}
				m.run(time.Second)
				for _, d := range m.daemons {
					perSecond[i] = max(perSecond[i], float64(d.bytes))
				}
			}
			t.Logf("busiest daemon receives %.0f bytes per second more, on %.0f", perSecond[1]-perSecond[0], perSecond[0])
			for _, d := range m.daemons {
				for group, own := range d.organisations {
					others := d.others[group]
					total := others.Rest.Used
					for _, e := range others.Largest {
						total += e.Used
					}
					want := fairshare.Cost(0)
					for _, e := range own.Largest {
						want += e.Used * fairshare.Cost(c.daemons-1)
					}
					assert.Assert(t, math.Abs(float64(total-want)) < 0.01*float64(want)+1, "%s: %v of %v", d.id, total, want)
					assert.Assert(t, len(others.Largest) <= fairshare.MaxEntries)
				}
			}
		})
	}
}

// Guards against callers that are not recognised at another daemon than the one that
// refused them, and against promises that go round for ever.
func TestPromisesReachAllDaemonsOnce(t *testing.T) {
	for _, daemons := range []int{4, 26, 80} {
		m := newSim(1, daemons, 4)
		m.run(3 * time.Second)
		for i, d := range m.daemons {
			if i%10 == 0 {
				d.promises = []Promise{{fairshare.Group{Pool: "engines"}, retryschedule.Promise{Fingerprint: retryschedule.Fingerprint(i + 1), Due: m.now.Add(time.Second)}}}
			}
		}
		m.run(500 * time.Millisecond)
		for i, d := range m.daemons {
			for j := 0; j < daemons; j += 10 {
				n := d.known[retryschedule.Fingerprint(j+1)]
				assert.Assert(t, n >= 1 || i == j, "%d daemons: %s does not know the promise of daemon %d", daemons, d.id, j)
				assert.Assert(t, n <= 2, "%d daemons: %s hears the promise of daemon %d %d times", daemons, d.id, j, n)
			}
		}
	}
}
