package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

// Guards against decisions that differ from those without shares while all requests
// are of one organisation. The digest of grants, refusals and retry times was taken on
// 9f0317e, before there were shares.
func TestDecisionsForOneOrganisationAreUnchanged(t *testing.T) {
	digest := fnv.New64a()
	waited, refused := 0, 0
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newTestScheduler("a", "b", "c")
		var open []*Grant
		now := start
		record := func(grants []*Grant, refusals ...*Refusal) {
			for _, g := range grants {
				fmt.Fprintln(digest, g.Request.ID, g.Endpoint.Name, g.Waited)
				waited += min(int(g.Waited), 1)
			}
			// The order of the refusals of one pass is not significant.
			slices.SortFunc(refusals, func(a, b *Refusal) int { return strings.Compare(a.Request.ID, b.Request.ID) })
			for _, r := range refusals {
				fmt.Fprintln(digest, r.Request.ID, r.Reason, r.RetryAfter, r.Waiting)
				refused++
			}
			open = append(open, grants...)
		}
		for n := range 1500 {
			now = now.Add(time.Duration(random.IntN(12)) * time.Millisecond)
			if n%40 == 0 {
				s.SetPeerReport(now, "peers", Report{
					Loads: []Load{{Endpoint: "a", Running: random.IntN(3), PrefillUnits: 1000, Tokens: 5000}},
					Pools: []PoolReport{{Pool: enginePool, SlotsPerSecond: 20, Ranks: []RankReport{{Rank: 1, PlacedPerSecond: 5}}}},
				})
			}
			if random.IntN(2) == 0 {
				r := newRequest(fmt.Sprint(n), now, structs.Rank(random.IntN(3)))
				r.Organisation, r.Prompt = "only", structs.Tokens(random.IntN(8000))
				g, refusal := s.Offer(now, r)
				if g != nil {
					record([]*Grant{g})
				}
				if refusal != nil {
					record(nil, refusal)
				}
			} else if len(open) > 0 {
				i := random.IntN(len(open))
				s.RecordFirstEvent(now, open[i])
				s.Release(now, open[i], Result(random.IntN(3)))
				open = append(open[:i], open[i+1:]...)
			}
			grants, refusals := s.Advance(now)
			record(grants, refusals...)
		}
	}
	t.Logf("%d grants after a wait, %d refusals", waited, refused)
	assert.Equal(t, fmt.Sprintf("%016x", digest.Sum64()), "2ae7491c9410fbc3")
}
