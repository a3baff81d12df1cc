package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/enginememory"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The loads of docs/design/hard-load.md, part 2, played on daemons that exchange
// summaries, and engines that run what they are sent.

const (
	loadTick     = time.Millisecond
	loadDuration = 12 * time.Second
	// The burst is from burstFrom to burstUntil.
	burstFrom, burstUntil = 2 * time.Second, 8 * time.Second
	// timeLimit is the time that a caller waits for the complete answer.
	timeLimit = 6 * time.Second
	loadSlots = 4
	// loadResidence is the time that a request with a short prompt occupies a slot.
	loadResidence = 200 * time.Millisecond
)

// tenant is an organisation of a load.
type tenant struct {
	name structs.OrganisationName
	// share is the tenant's usual share of the capacity; burst multiplies it during
	// the burst.
	share, burst float64
	// long is the fraction of requests that take four times as long.
	long float64
}

// play is one run of a load.
type play struct {
	settings         Settings
	seed             uint64
	daemons, engines int
	tenants          []tenant
	// rankShares has the fraction of the requests of each rank.
	rankShares []float64
	// lost is the number of engines that are gone in the first half of the burst.
	lost int
	// longPrompts is the fraction of requests whose prompt takes a fifth to two fifths
	// of an engine's memory.
	longPrompts float64
	// stay is the fraction of callers that return to the same daemon.
	stay float64
}

// tally counts the requests of an organisation or a rank.
type tally struct {
	asked, served, inTarget, refusedAgain int
	longAsked, longServed, returned       int
}

// value is the worth of the served requests by the callers' measure: half if late.
func (c tally) value() float64 {
	return (float64(c.inTarget) + 0.5*float64(c.served-c.inTarget)) / float64(max(c.asked, 1))
}

type result struct {
	tenants map[structs.OrganisationName]*tally
	ranks   map[structs.Rank]*tally
	total   tally
	// mostMemory is the most memory that the requests of all daemons took at an
	// engine.
	mostMemory structs.Tokens
}

func (r *result) each(c *loadCall, f func(*tally)) {
	f(&r.total)
	for key, all := range map[structs.OrganisationName]map[structs.OrganisationName]*tally{c.Organisation: r.tenants} {
		if all[key] == nil {
			all[key] = &tally{}
		}
		f(all[key])
	}
	if r.ranks[c.Rank] == nil {
		r.ranks[c.Rank] = &tally{}
	}
	f(r.ranks[c.Rank])
}

func (r *result) String() string {
	line := func(name string, c tally) string {
		return fmt.Sprintf("%-10s asked %5d served %.3f in target %.3f value %.3f returned %4d refused again %4d long %.2f\n", name, c.asked,
			float64(c.served)/float64(max(c.asked, 1)), float64(c.inTarget)/float64(max(c.asked, 1)), c.value(), c.returned, c.refusedAgain,
			float64(c.longServed)/float64(max(c.longAsked, 1)))
	}
	var text strings.Builder
	text.WriteString(line("all", r.total))
	for rank := range structs.Rank(3) {
		if c := r.ranks[rank]; c != nil {
			text.WriteString(line(fmt.Sprint("rank ", rank), *c))
		}
	}
	var names []structs.OrganisationName
	for name := range r.tenants {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		text.WriteString(line(string(name), *r.tenants[name]))
	}
	return text.String()
}

// loadCall is a caller's request, with the state of its repetition.
type loadCall struct {
	Request
	long     bool
	deadline time.Time
	repeated bool
	duration time.Duration
	node     *Scheduler
	// firstArrived is when the caller asked first.
	firstArrived time.Time
}

type playing struct {
	play
	// arrivals draws what callers ask, choices everything else, so that the same seed
	// gives the same load under different decisions.
	arrivals, choices *rand.Rand
	nodes             []*Scheduler
	calls             map[*Request]*loadCall
	running           []runningCall
	// returning holds the calls that are to be repeated, by the time in ticks.
	returning map[int][]*loadCall
	result    result
	memory    map[structs.EndpointName]structs.Tokens

	lastFingerprint retryschedule.Fingerprint
}

type runningCall struct {
	node   *Scheduler
	grant  *Grant
	endsAt time.Time
}

func (p play) run() *result {
	g := &playing{
		play: p, arrivals: rand.New(rand.NewPCG(p.seed, 7)), choices: rand.New(rand.NewPCG(p.seed, 8)), calls: map[*Request]*loadCall{}, returning: map[int][]*loadCall{}, memory: map[structs.EndpointName]structs.Tokens{},
		result: result{tenants: map[structs.OrganisationName]*tally{}, ranks: map[structs.Rank]*tally{}},
	}
	var names []string
	var engineNames []structs.EndpointName
	for i := range p.engines {
		names = append(names, fmt.Sprint("engine-", i))
		engineNames = append(engineNames, structs.EndpointName(names[i]))
	}
	var daemons []instance.ID
	for i := range p.daemons {
		daemons = append(daemons, instance.ID(fmt.Sprint(i)))
	}
	for i := range p.daemons {
		s := newTestScheduler(names...)
		s.Configure(p.settings)
		s.SetFleet(p.daemons, defaultDrawInterval)
		s.SetMemoryHolders(enginememory.Assign(engineNames, daemons, instance.ID(fmt.Sprint(i))))
		s.random = g.choices.Float64
		g.nodes = append(g.nodes, s)
	}
	for i := range int(loadDuration / loadTick) {
		g.step(i)
	}
	return &g.result
}

func (g *playing) step(i int) {
	now := start.Add(time.Duration(i) * loadTick)
	at := time.Duration(i) * loadTick
	if g.lost > 0 && (at == burstFrom || at == (burstFrom+burstUntil)/2) {
		g.setEngines(at == burstFrom)
	}
	g.end(now)
	if at%defaultDrawInterval == 0 {
		g.exchange(now, at)
	}
	for _, c := range g.returning[i] {
		g.offer(now, c)
	}
	delete(g.returning, i)
	for _, t := range g.tenants {
		g.arrive(now, at, t)
	}
	if i%5 == 0 {
		for _, s := range g.nodes {
			g.advance(now, s)
		}
	}
}

// setEngines takes the last engines away, or brings them back.
func (g *playing) setEngines(lost bool) {
	var all []endpointset.Endpoint
	for i := range g.engines {
		if !lost || i < g.engines-g.lost {
			all = append(all, engineEndpoint(fmt.Sprint("engine-", i)))
		}
	}
	for _, s := range g.nodes {
		s.SetEndpoints(all)
	}
}

func (g *playing) end(now time.Time) {
	g.running = slices.DeleteFunc(g.running, func(w runningCall) bool {
		if now.Before(w.endsAt) {
			return false
		}
		g.memory[w.grant.Endpoint.Name] -= w.grant.Request.memory()
		w.node.Release(now, w.grant, Succeeded)
		return true
	})
}

// exchange passes every daemon's state to the others.
func (g *playing) exchange(now time.Time, at time.Duration) {
	reports, shares := make([]Report, len(g.nodes)), make([]Shares, len(g.nodes))
	withShares := at%(500*time.Millisecond) == 0
	for i, s := range g.nodes {
		reports[i] = s.Report(now)
		if withShares {
			shares[i] = s.Shares(now)
		}
	}
	for i, from := range g.nodes {
		for _, promise := range from.Promises() {
			for j, to := range g.nodes {
				if i != j {
					to.AddPromise(now, promise)
				}
			}
		}
	}
	for i, s := range g.nodes {
		for j := range g.nodes {
			if i != j {
				s.SetPeerReport(now, fmt.Sprint(j), reports[j])
			}
		}
		if withShares {
			s.SetPeerShares(now, sumShares(shares, i))
		}
	}
}

// sumShares adds the shares of all daemons but one.
func sumShares(all []Shares, without int) Shares {
	sum := Shares{}
	for i, shares := range all {
		if i == without {
			continue
		}
		for group, entries := range shares {
			total := sum[group]
			for _, e := range entries.Largest {
				j := 0
				for j < len(total.Largest) && total.Largest[j].Key != e.Key {
					j++
				}
				if j == len(total.Largest) {
					total.Largest = append(total.Largest, e)
					continue
				}
				total.Largest[j].Used += e.Used
				total.Largest[j].Waiting += e.Waiting
			}
			sum[group] = total
		}
	}
	return sum
}

// arrive asks for the tenant's requests of one tick.
func (g *playing) arrive(now time.Time, at time.Duration, t tenant) {
	meanResidence := loadResidence.Seconds() * (1 + 3*t.long)
	perTick := t.share * float64(g.engines*loadSlots) / meanResidence * loadTick.Seconds()
	if at >= burstFrom && at < burstUntil {
		perTick *= t.burst
	}
	for n := poisson(g.arrivals, perTick); n > 0; n-- {
		rank, point := structs.Rank(0), g.arrivals.Float64()
		for r, share := range g.rankShares {
			if point < share {
				rank = structs.Rank(r)
				break
			}
			point -= share
		}
		c := &loadCall{Request: *newRequest("", now, rank), deadline: now.Add(timeLimit), duration: loadResidence, firstArrived: now}
		g.lastFingerprint++
		c.Fingerprint, c.Deadline = g.lastFingerprint, c.deadline
		c.Organisation, c.StartBy = t.name, now.Add(1680*time.Millisecond)
		if g.arrivals.Float64() < t.long {
			c.long, c.duration, c.Output = true, 4*loadResidence, 4*c.Output
		}
		if g.arrivals.Float64() < g.longPrompts {
			c.long = true
			c.Prompt, c.MaxOutput = structs.Tokens(20_000+g.arrivals.IntN(20_000)), 4000
		}
		g.result.each(c, func(a *tally) {
			a.asked++
			if c.long {
				a.longAsked++
			}
		})
		g.offer(now, c)
	}
}

func poisson(random *rand.Rand, mean float64) (n int) {
	for limit, product := math.Exp(-mean), random.Float64(); product > limit; product *= random.Float64() {
		n++
	}
	return n
}

// offer sends a request to one of the daemons.
func (g *playing) offer(now time.Time, c *loadCall) {
	g.calls[&c.Request] = c
	s := c.node
	if s == nil || g.choices.Float64() >= g.stay {
		s = g.nodes[g.choices.IntN(len(g.nodes))]
	}
	c.node = s
	grant, refusal := s.Offer(now, &c.Request)
	g.decided(now, s, grant, refusal)
	if s.Displaced() {
		g.advance(now, s)
	}
}

func (g *playing) advance(now time.Time, s *Scheduler) {
	grants, refusals := s.Advance(now)
	for _, grant := range grants {
		g.decided(now, s, grant, nil)
	}
	for _, refusal := range refusals {
		g.decided(now, s, nil, refusal)
	}
}

func (g *playing) decided(now time.Time, s *Scheduler, grant *Grant, refusal *Refusal) {
	if grant != nil {
		g.begin(now, s, grant)
	}
	if refusal != nil {
		g.repeat(now, g.calls[refusal.Request], refusal.RetryAfter)
	}
}

func (g *playing) begin(now time.Time, s *Scheduler, grant *Grant) {
	c := g.calls[grant.Request]
	delete(g.calls, grant.Request)
	s.RecordFirstEvent(now.Add(20*time.Millisecond), grant)
	name := grant.Endpoint.Name
	g.memory[name] += grant.Request.memory()
	g.result.mostMemory = max(g.result.mostMemory, g.memory[name])
	g.running = append(g.running, runningCall{s, grant, now.Add(c.duration)})
	g.result.each(c, func(a *tally) {
		a.served++
		if now.Sub(c.Arrived) <= c.Target {
			a.inTarget++
		}
		if c.long {
			a.longServed++
		}
	})
}

// repeat repeats a refused request once, if the delay is at most a third of the time
// left.
func (g *playing) repeat(now time.Time, c *loadCall, after time.Duration) {
	delete(g.calls, &c.Request)
	if c.repeated {
		g.result.each(c, func(a *tally) { a.refusedAgain++ })
		return
	}
	if after <= 0 || after > c.deadline.Sub(now)/3 {
		return
	}
	again := *c
	at := now.Add(after)
	again.repeated, again.queued, again.Arrived = true, queuedRequest{}, at
	again.StartBy = at.Add(min(1680*time.Millisecond, c.deadline.Sub(at)))
	g.result.each(c, func(a *tally) { a.returned++ })
	tick := int(math.Ceil(float64(at.Sub(start)) / float64(loadTick)))
	g.returning[tick] = append(g.returning[tick], &again)
}

// threeRanks has the fractions of the requests of each rank.
var threeRanks = []float64{0.3, 0.4, 0.3}

// equalTenants returns n organisations that together use a share of the capacity.
func equalTenants(n int, share, burst float64) []tenant {
	var all []tenant
	for i := range n {
		all = append(all, tenant{name: structs.OrganisationName(fmt.Sprintf("org-%02d", i)), share: share / float64(n), burst: burst, long: 0.1})
	}
	return all
}

// namedLoads returns the loads of the design note.
func namedLoads() map[string]play {
	fiveTimes := equalTenants(16, 0.8, 1)
	fiveTimes[0].share, fiveTimes[0].burst = 0.25, 5
	large := append(equalTenants(15, 0.3, 1), tenant{name: "large", share: 0.45, burst: 2.5, long: 0.1})
	return map[string]play{
		"one at five times": {daemons: 4, engines: 8, tenants: fiveTimes, rankShares: threeRanks},
		"all at once":       {daemons: 4, engines: 8, tenants: equalTenants(16, 0.7, 2.5), rankShares: threeRanks},
		"one large":         {daemons: 4, engines: 8, tenants: large, rankShares: threeRanks},
		"burst and loss":    {daemons: 4, engines: 10, tenants: fiveTimes, rankShares: threeRanks, lost: 2},
		"returning herd":    {daemons: 4, engines: 8, tenants: equalTenants(16, 0.75, 2), rankShares: threeRanks},
	}
}

// Guards against engines that end because all daemons together send them more than
// their memory holds. Engines of 100,000 tokens and 4 slots get prompts of up to 40,000.
func TestRequestsOfAllDaemonsFitIntoEngines(t *testing.T) {
	for seed := range uint64(20) {
		p := play{settings: DefaultSettings(), seed: seed, daemons: 6, engines: 10, tenants: equalTenants(16, 0.8, 2), rankShares: threeRanks, longPrompts: 0.4}
		r := p.run()
		t.Logf("seed %d: at most %d tokens at an engine, %d of %d served, long %d of %d", seed, r.mostMemory, r.total.served, r.total.asked, r.total.longServed, r.total.longAsked)
		assert.Assert(t, r.mostMemory <= 100_000, "seed %d: %d tokens at an engine", seed, r.mostMemory)
		assert.Assert(t, 2*r.total.longServed*r.total.asked >= r.total.served*r.total.longAsked, "seed %d: long requests starve", seed)
	}
}

// Guards against a request that no engine can hold being sent to one, waiting, or being
// told to come back.
func TestRefusesRequestsLargerThanEngines(t *testing.T) {
	s := newTestScheduler("a")
	r := newRequest("large", start, 0)
	r.Prompt, r.MaxOutput = 91_000, 1001
	g, refusal := s.Offer(start, r)
	assert.Assert(t, g == nil && refusal != nil)
	assert.Equal(t, refusal.Reason, ReasonTooLarge)
	assert.Equal(t, refusal.RetryAfter, time.Duration(0))
	r.MaxOutput = 1000
	mustPlace(t, s, start, r)
}

// playBoth plays a load with the decisions of before and of now, over several seeds.
func (p play) playBoth(before, after Settings, seeds int) (old, current result) {
	sum := func(settings Settings) result {
		total := result{tenants: map[structs.OrganisationName]*tally{}, ranks: map[structs.Rank]*tally{}}
		for seed := range uint64(seeds) {
			p.settings, p.seed = settings, seed
			r := p.run()
			total.total.add(r.total)
			for name, c := range r.tenants {
				if total.tenants[name] == nil {
					total.tenants[name] = &tally{}
				}
				total.tenants[name].add(*c)
			}
			for rank, c := range r.ranks {
				if total.ranks[rank] == nil {
					total.ranks[rank] = &tally{}
				}
				total.ranks[rank].add(*c)
			}
		}
		return total
	}
	return sum(before), sum(after)
}

func (c *tally) add(o tally) {
	c.asked += o.asked
	c.served += o.served
	c.inTarget += o.inTarget
	c.refusedAgain += o.refusedAgain
	c.longAsked += o.longAsked
	c.longServed += o.longServed
	c.returned += o.returned
}

// others returns the sum of the organisations but those that send more than the rest.
func (r *result) others() (sum tally) {
	for name, c := range r.tenants {
		if name != "org-00" && name != "large" {
			sum.add(*c)
		}
	}
	return sum
}

func (c tally) servedShare() float64 { return float64(c.served) / float64(max(c.asked, 1)) }

// Guards against organisations that lose most of their requests because another one
// sends several times its usual load, against long requests that starve, and against
// urgent requests that are refused before others. It prints the figures by organisation
// and rank.
func TestNamedLoads(t *testing.T) {
	loads := namedLoads()
	var names []string
	for name := range loads {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			before, now := loads[name].playBoth(Settings{}, DefaultSettings(), 4)
			t.Logf("before:\n%snow:\n%s", before.String(), now.String())
			assert.Assert(t, 2*float64(now.total.longServed)/float64(now.total.longAsked) >= now.total.servedShare())
			assert.Assert(t, now.ranks[0].servedShare() >= now.ranks[1].servedShare() && now.ranks[1].servedShare() >= now.ranks[2].servedShare())
			if name == "one at five times" || name == "burst and loss" {
				assert.Assert(t, now.others().servedShare() > before.others().servedShare())
				assert.Assert(t, now.others().servedShare() > now.tenants["org-00"].servedShare())
			}
		})
	}
}
