package poolowner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/state/structs"
)

var seeds = flag.Int("seeds", 200, "number of seeds for the randomised runs of the owner")

// replaceOwner replaces the owner with a new one without state, and lets the
// entries offer their requests again.
func (s *simulation) replaceOwner() {
	s.incarnations++
	o := New(Options{
		Pool:                       "p",
		Seed:                       s.incarnations,
		DefaultQueueLimit:          6,
		MaxPrefixBlocksPerEndpoint: 40,
		defect:                     s.defect,
	})
	s.owner = &simulatedOwner{
		owner:   o,
		granted: map[structs.RequestID]scheduling.GrantID{},
		keys:    map[string]structs.RequestID{},
		refused: map[structs.RequestID]bool{},
	}
	s.configure()
	for _, e := range s.entries {
		s.offerAll(e)
	}
	replacement := s.owner
	s.after(2*time.Second, func() {
		if s.owner == replacement {
			replacement.takeoverDone = true
			s.step(scheduling.TakeoverDone{})
		}
	})
}

func (s *simulation) configure() {
	s.owner.pool = scheduling.PoolSpec{Name: "p", Endpoints: append([]scheduling.EndpointSpec(nil), s.specs...), PreemptLower: true}
	s.step(scheduling.Configure{Pool: s.owner.pool})
}

// offerAll offers all unfinished requests of an entry.
func (s *simulation) offerAll(e *simulatedEntry) {
	if !e.alive {
		return
	}
	for _, r := range e.requests {
		if !r.ended {
			s.sendToOwner(scheduling.Offer{Request: r.spec, Running: r.dispatched, Endpoint: r.endpoint, Streamed: r.output})
		}
	}
}

func (s *simulation) addRequest(n int) {
	e := s.entries[s.random.IntN(len(s.entries))]
	targets := []structs.Target{"draft", "draft", "quote", "orders"}
	target := targets[s.random.IntN(len(targets))]
	r := &simulatedRequest{entry: e, returned: map[returnedGrant]bool{}, spec: structs.Request{
		ID:              structs.RequestID(fmt.Sprintf("r%d", n)),
		Entry:           e.incarnation,
		Kind:            structs.WorkModel,
		Target:          target,
		Rank:            structs.Rank(s.random.IntN(3)),
		Organisation:    structs.OrganisationName(fmt.Sprintf("o%d", s.random.IntN(3))),
		Weight:          1,
		PromptTokens:    structs.Tokens(10 + s.random.IntN(4000)),
		MaxOutputTokens: structs.Tokens(10 + s.random.IntN(300)),
		Deadline:        start.Add(s.now + 2*time.Second + s.randomDuration(18*time.Second)),
	}}
	if target == "orders" {
		r.spec.Kind = structs.WorkService
	}
	if s.chance(0.2) {
		r.spec.CallerKey = fmt.Sprintf("k%d", s.random.IntN(10))
		r.spec.Organisation = "o0"
	}
	for i := range int(r.spec.PromptTokens / 64) {
		r.spec.Prefix = append(r.spec.Prefix, structs.PrefixHash(s.random.IntN(3)*100+i))
	}
	s.byID[r.spec.ID] = r
	e.requests = append(e.requests, r)
	s.sendToOwner(scheduling.Offer{Request: r.spec})
	s.after(r.spec.Deadline.Sub(start.Add(s.now)), func() { s.expireRequest(r) })
}

func (s *simulation) expireRequest(r *simulatedRequest) {
	if r.ended || !r.entry.alive {
		return
	}
	if r.dispatched {
		s.sendFinish(r, structs.OutcomeFailed, structs.ReasonDeadlineRunning, 0, 0)
		return
	}
	r.ended = true
	s.sendToOwner(scheduling.Withdraw{ID: r.spec.ID, Reason: structs.ReasonDeadlineInQueue})
}

// disrupt applies one random disruption.
func (s *simulation) disrupt() {
	i := s.random.IntN(len(s.specs))
	spec := &s.specs[i]
	switch s.random.IntN(8) {
	case 0:
		s.dead[spec.Name] = !s.dead[spec.Name]
	case 1:
		spec.Leaving = !spec.Leaving
		s.configure()
	case 2:
		spec.Listed = !spec.Listed
		s.configure()
	case 3:
		spec.Drained = !spec.Drained
		s.configure()
	case 4:
		s.loseEntry(s.random.IntN(len(s.entries)))
	case 5:
		s.replaceOwner()
	case 6:
		s.sendCacheEvent(spec.Name)
	case 7:
		s.sendToOwner(scheduling.LoadReport{
			Endpoint: spec.Name, AsOf: start.Add(s.now), Waiting: s.random.IntN(3),
			TokensInUse: structs.Tokens(s.random.IntN(20_000)), TokenCapacity: 50_000,
		})
	}
}

func (s *simulation) sendCacheEvent(name structs.EndpointName) {
	e := scheduling.CacheEvent{Endpoint: name, Sequence: uint64(s.random.IntN(50)), Cleared: s.chance(0.1)}
	for range 20 {
		e.Stored = append(e.Stored, structs.PrefixHash(s.random.IntN(300)))
		e.Dropped = append(e.Dropped, structs.PrefixHash(s.random.IntN(300)))
	}
	s.sendToOwner(e)
}

func (s *simulation) loseEntry(i int) {
	lost := s.entries[i]
	lost.alive = false
	s.entries[i] = s.newEntry(i)
	s.after(s.randomDuration(3*time.Second), func() { s.step(scheduling.EntryLost{Entry: lost.incarnation}) })
}

// runSeed runs the simulation with one seed and returns the violation found, or
// nil.
func runSeed(seed uint64, injected defect) (violated error) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case invariant.Violation:
			violated = x
		case violation:
			violated = fmt.Errorf("seed %d: %s", seed, x)
		default:
			panic(x)
		}
	}()
	s := newSimulation(seed, injected)
	for range 12 {
		s.after(s.randomDuration(arrivalPeriod), s.disrupt)
	}
	s.run()
	return s.checkDrained()
}

// run simulates the arrival of all requests and processes all events.
func (s *simulation) run() {
	for n := range requestCount {
		s.after(s.randomDuration(arrivalPeriod), func() { s.addRequest(n) })
	}
	s.scheduleTicks()
	for s.queue.Len() > 0 {
		next := s.queue.Min()
		s.queue.Remove(0)
		s.now = next.at
		next.do()
	}
}

// scheduleTicks schedules the ticks and the repeated offers of the entries.
func (s *simulation) scheduleTicks() {
	for at := time.Duration(0); at < simulationPeriod; at += 100 * time.Millisecond {
		s.after(at, func() {
			s.owner.owner.Tick(start.Add(s.now))
			s.applyEffects()
		})
	}
	for at := time.Duration(0); at < arrivalPeriod*2; at += 3 * time.Second {
		s.after(at, func() {
			for _, e := range s.entries {
				s.offerAll(e)
			}
		})
	}
}

// checkDrained checks that no request or accounting is left after all requests
// have finished.
func (s *simulation) checkDrained() error {
	o := s.owner.owner
	if len(o.requests) != 0 || o.waiting.Len() != 0 || len(o.entries) != 0 || o.timers.Len() != 0 {
		return fmt.Errorf("drained owner has %d requests, %d waiting, %d entries, %d timers",
			len(o.requests), o.waiting.Len(), len(o.entries), o.timers.Len())
	}
	for _, e := range o.ordered {
		if e.running != 0 || e.inFlight != 0 || e.prefillAhead != 0 || len(e.requests) != 0 || e.reservedFor != nil {
			return fmt.Errorf("drained endpoint %s has %d requests and %d tokens", e.spec.Name, e.running, e.inFlight)
		}
	}
	t := o.totals
	if t.Offered != t.finished() {
		return fmt.Errorf("%d offered, %d finished", t.Offered, t.finished())
	}
	return nil
}

func TestRandomisedRuns(t *testing.T) {
	for seed := range uint64(*seeds) {
		assert.NilError(t, runSeed(seed, noDefect), "seed %d", seed)
	}
}

// Without disruptions, the runs must reach the states that the checks concern.
func TestRandomisedRunsCoverOutcomes(t *testing.T) {
	var done, shed, returned, released int64
	for seed := range uint64(5) {
		s := newSimulation(seed, noDefect)
		s.run()
		totals := s.owner.owner.totals
		done += totals.Done
		shed += totals.Shed
		returned += totals.Returned
		released += totals.Released
	}
	assert.Assert(t, done > 5*requestCount/4, "%d done", done)
	assert.Assert(t, shed > 0 && returned > 0 && released > 0, "%d shed, %d returned, %d released", shed, returned, released)
}

// defectCases lists each injected defect with a seed that detects it.
var defectCases = []struct {
	defect defect
	seed   uint64
}{
	{defectRegrantOnTimeout, 0},
	{defectGrantToLeaving, 3},
	{defectShedHighestTier, 0},
	{defectShedDuringTakeover, 1},
	{defectForgetFinished, 0},
	{defectLeakWindowTokens, 0},
	{defectGrantKeyTwice, 0},
	{defectCountOutcomeTwice, 0},
	{defectAcceptAnyReturn, 8},
	{defectNeverRelease, 2},
	{defectRefuseGranted, 0},
}

func TestEachDefectIsDetected(t *testing.T) {
	for _, c := range defectCases {
		violated := runSeed(c.seed, c.defect)
		assert.Assert(t, violated != nil, "seed %d did not detect the fault %q; seed %d does", c.seed, c.defect, findSeed(c.defect))
		assert.NilError(t, runSeed(c.seed, noDefect))
	}
}

// findSeed returns the first seed that detects a defect, or -1. It supplies a
// new seed for defectCases after a change of policy.
func findSeed(d defect) int {
	for seed := range 200 {
		if runSeed(uint64(seed), d) != nil {
			return seed
		}
	}
	return -1
}
