package gateway

import (
	"fmt"
	"time"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/fairshare"
)

// overShareQuiet is how long an organisation must have been within its share before it
// is logged again.
const overShareQuiet = 10 * time.Second

// overShares holds when organisations were last seen over their share.
type overShares map[dispatch.OverShare]time.Time

// observeSharesLocked logs and counts the organisations over their share.
func (g *Gateway) observeSharesLocked(now time.Time) {
	for over, seen := range g.overShares {
		if now.Sub(seen) > overShareQuiet {
			delete(g.overShares, over)
		}
	}
	all := g.scheduler.OverShare()
	g.metrics.overShare.Update(int64(len(all)))
	for _, over := range all {
		if _, known := g.overShares[over]; !known {
			g.options.Events.Emit(EventOverShare, events.F("organisation", g.organisationLabelLocked(over.Key)),
				events.F("pool", string(over.Group.Pool)), events.F("rank", int(over.Group.Rank)))
		}
		g.overShares[over] = now
	}
}

// organisationLabelLocked returns the name of an organisation with a quota, or the hash
// of the name.
func (g *Gateway) organisationLabelLocked(key fairshare.Key) string {
	if names := g.organisationNames[uint32(key)]; len(names) > 0 {
		return string(names[0])
	}
	return fmt.Sprintf("%08x", uint32(key))
}
