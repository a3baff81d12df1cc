package gateway

import (
	"fmt"
	"maps"
	"time"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/enginememory"
	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/state/structs"
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

// observeRefusal logs and counts refusals for reasons that operators look for.
func (g *Gateway) observeRefusal(x *exchange, r *dispatch.Refusal) {
	switch r.Reason {
	case dispatch.ReasonOverShare:
		g.metrics.displaced.Inc(1)
		g.options.Events.Emit(EventRequestDisplaced, events.F("request", x.request.ID), events.F("organisation", string(x.scheduled.Organisation)),
			events.F("pool", string(x.pool)), events.F("rank", int(x.scheduled.Rank)), events.F("waited_ms", time.Since(x.scheduled.Arrived).Milliseconds()))
	case dispatch.ReasonTooLarge:
		g.metrics.tooLarge.Inc(1)
		g.options.Events.Emit(EventLargerThanEngines, events.F("request", x.request.ID), events.F("organisation", string(x.scheduled.Organisation)),
			events.F("pool", string(x.pool)), events.F("prompt_tokens", int64(x.scheduled.Prompt)), events.F("max_output_tokens", int64(x.scheduled.MaxOutput)))
	}
}

// assignInterval is the interval at which engines are assigned to daemons.
const assignInterval = 250 * time.Millisecond

// assignMemory assigns the engines of each pool to the daemons for requests that need
// most of an engine's memory.
func (g *Gateway) assignMemory(now time.Time, self instance.ID, members []instance.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.assignedAt) < assignInterval {
		return
	}
	g.assignedAt = now
	daemons := append([]instance.ID{self}, members...)
	engines := map[structs.PoolName][]structs.EndpointName{}
	for _, e := range g.listed {
		engines[e.Pool] = append(engines[e.Pool], e.Name)
	}
	holders := map[structs.EndpointName]int{}
	for _, names := range engines {
		maps.Copy(holders, enginememory.Assign(names, daemons, self))
	}
	g.scheduler.SetMemoryHolders(holders)
}
