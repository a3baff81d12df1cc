package gateway

import (
	"encoding/binary"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/aggregation"
	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/enginememory"
	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
	"github.com/samphirewing/samphirewing/state/structs"
)

// overShareQuiet is how long an organisation must have been within its share before it
// is logged again.
const overShareQuiet = 10 * time.Second

const (
	// unpromisedInterval is the minimum time between two events that tell that a
	// schedule is full.
	unpromisedInterval = 10 * time.Second
	// fingerprintBytes is how much of a body identifies a request, with its length.
	fingerprintBytes = 64 << 10
)

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
	if r.Promised {
		g.metrics.promised.Inc(1)
	}
	if r.Unpromised && g.firstUnpromised(time.Now(), x) {
		g.options.Events.Emit(EventRetryScheduleFull, events.F("request", x.request.ID), events.F("pool", string(x.pool)),
			events.F("rank", int(x.scheduled.Rank)), events.F("retry_after_ms", r.RetryAfter.Milliseconds()))
	}
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

// firstUnpromised reports whether the event that a schedule is full is due for the pool
// and rank of a request.
func (g *Gateway) firstUnpromised(now time.Time, x *exchange) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	group := fairshare.Group{Pool: x.pool, Rank: x.scheduled.Rank}
	if now.Sub(g.unpromised[group]) < unpromisedInterval {
		return false
	}
	g.unpromised[group] = now
	return true
}

// fingerprint identifies the content of a request, which is the same when its caller
// sends it again.
func fingerprint(r *Request) retryschedule.Fingerprint {
	d := xxhash.New()
	for _, text := range []string{r.APIKey, r.RouteHost, r.Target, r.Method} {
		d.WriteString(text)
		d.Write([]byte{0})
	}
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[:], uint64(r.PromptTokens))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(r.MaxOutputTokens))
	binary.LittleEndian.PutUint64(numbers[16:], uint64(len(r.Body)))
	d.Write(numbers[:])
	d.Write(r.Body[:min(len(r.Body), fingerprintBytes)])
	return retryschedule.Fingerprint(d.Sum64())
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

// sharesInterval is the interval at which uses by organisation are summed up for
// summaries, which need them less often than loads.
const sharesInterval = 250 * time.Millisecond

// sharesLocked returns the use by organisation of this daemon's requests.
func (g *Gateway) sharesLocked(now time.Time) aggregation.Organisations {
	if now.Sub(g.sharesAt) >= sharesInterval {
		g.shares, g.sharesAt = aggregation.Organisations(g.scheduler.Shares(now)), now
	}
	return g.shares
}

// promisesLocked returns what this daemon has newly promised to refused callers.
func (g *Gateway) promisesLocked() []aggregation.Promise {
	promises := g.scheduler.Promises()
	all := make([]aggregation.Promise, 0, len(promises))
	for _, p := range promises {
		all = append(all, aggregation.Promise(p))
	}
	return all
}
